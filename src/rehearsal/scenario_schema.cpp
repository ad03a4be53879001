#include "rehearsal/scenario.hpp"

namespace brassfront::rehearsal {

namespace {

constexpr std::string_view kSchema = R"(
#Limit: {
  kind:           "rate" | "window"
  calls:          rate & >0/s
  span:           duration & >=100ms & <=60s | *1s   // length of a window
  counts_refused: bool | *false                      // whether refused calls use up the limit
  told:           number & >=0 & <=1 | *50%          // share of refusals that carry a wait
}

#Partner: {
  name:        string & !=""
  // a big retailer accepts calls with many messages
  kind:        "big-retail" | *"small-shop"
  endpoints:   int & >=1 & <=32 | *1
  // share of the traffic, relative to the other partners
  weight:      number & >=0 | *1
  pace:        duration & >=1ms & <=30s | *100ms     // median time of a call
  spread:      number & >=0 & <=3 | *40%
  capacity:    rate & >0/s | *30/s                   // calls with one message, over all endpoints
  limit:       false | #Limit | *false
  wait:        duration & >=1ms & <=60s | *400ms
  queue:       duration & >=0s & <=60s | *600ms
  connections: int & >=1 & <=10000 | *16
  handshake:   duration & >=0s & <=1s | *3ms
  dedup:       duration & >=0s & <=10m | *5s
}

#Merchant: {
  name:  string & !=""
  share: number & >0 & <=1
}

#Act: {
  at:  duration & >=0s
  for: duration & >0s | *0s
  do:  "slow" | "full" | "shut" | "silent" | "refuse" | "reset" | "garble" | "drain" | "replace" | "churn" | "vanish" | "stale" | "move-discovery" | "terminate" | "kill" | "roll" | "lose-machine" | "burst" | "clump" | "name-server" | "pause" | "cut" | "lossy" | "slow-link" | "flap" | "work" | "full-disk" | "roster" | "limit" | "wrong-peer" | "double"
  partner?:   string               // name of a partner, or "all"
  endpoint?:  int & >=0            // only this endpoint of the partner
  forwarder?: int & >=0
  forwarders: number & >0 & <=1 | *1   // share of all forwarders, if none is named
  merchant?:  string
  factor:     number & >0 & <=1000 | *4
  wait?:      duration & >=1ms
  down:       duration & >=0s & <=60s | *1s
  fault?:     "quiet" | "refuse" | "garbage" | "half-transfers" | "lost-notices"  // for name-server
  // For work, requested from `forwarder`: a machine such as "n1", "all" or "hall:east", or an
  // endpoint of `partner`. Operators return it once it has been out for `stay`.
  machine?: string & !=""
  // for roster: maximum out in total and in each hall; 0: `machine` is removed
  places:  int & >=0 & <=31 | *0
  stay:    duration & >=0s & <=1m | *1s
  restart: bool | *false                     // restart the process while it is out
  lie: "dead" | "healthy" | "waits" | "no-limit" | "huge-limit" | *"all"   // for wrong-peer
  // For links between forwarders: from each of `from` to each of `to`, or to all others.
  from?:  [int & >=0, ...int & >=0]
  to?:    [int & >=0, ...int & >=0]
  both:   bool | *true                       // also in the opposite direction
  // for lossy: share of lost frames; `twice`: share of duplicated frames
  loss:   number & >=0 & <=1 | *0
  twice:  number & >=0 & <=1 | *0
  // for slow-link; jitter reorders frames, also for lossy
  delay:  duration & >=0s & <=10s | *0s
  jitter: duration & >=0s & <=10s | *0s
  rate:   size & >=0B & <=100MiB | *0B       // for slow-link: per second; 0: no limit
  period: duration & >=50ms & <=1m | *2s     // for flap: down for the first half of each period
}

#Scenario: {
  name:     string & !=""
  about:    string | *""
  duration: duration & >=2s & <=4m
  class: {
    name:       string & !="" | *"plan-event"
    effect:     "pure" | *"keyed" | "once"
    goal:       duration & >=100ms & <=60s | *2500ms
    deadline:   duration & >=500ms & <=2m | *20s
    late_worth: number & >=0 & <=1 | *30%
  }
  merchants: [#Merchant, ...#Merchant] | *[{name: "all", share: 100%}]
  partners:  [#Partner, ...#Partner]
  cold: {
    share:    number & >0 & <=1 | *31%
    warm:     duration & >0s & <=2m | *14s
    multiple: number & >=1 & <=100 | *1.5
    fall:     duration & >=100ms & <=1m | *3s
  }
  clients: {
    rate:          rate & >0/s & <=5000/s | *48/s
    clumps:        number & >=0 & <=0.9 | *10%
    clump:         duration & >=100ms & <=30s | *2s
    retries:       int & >=0 & <=10 | *2
    pause:         duration & >=1ms & <=30s | *500ms
    heed_waits:    bool | *true
    answer_within: duration & >=50ms & <=10s | *400ms
    body:          size & >=1B & <=48KiB | *200B
    skew:          number & >=0 & <=1 | *0     // share sent to the first forwarder only
  }
  forwarders: {
    count:   int & >=1 & <=32 | *2
    memory:  size & >=16MiB | *48MiB
    sockets: int & >=128 & <=65536 | *384
    disk:    size & >=256KiB | *3MiB
    slots:   int & >=0 | *0      // calls in flight; 0: derived from the traffic
    held:    int & >=0 | *0      // pending messages; 0: derived from the traffic
  }
  fleet: {
    on:     bool | *false
    halls:  [string, ...string] | *["east", "west"]
    voters: int & >=0 & <=7 | *0             // 0: the first 3 or 5
    out: {
      all:  int & >=1 & <=31 | *1
      hall: int & >=1 & <=31 | *1
    }
    probe:     duration & >=20ms & <=10s | *200ms
    answer:    duration & >=5ms & <=5s | *100ms
    suspicion: duration & >=100ms & <=1m | *800ms
    election:  duration & >=300ms & <=30s | *500ms
    sharing: {                               // as in a roster; the limits are those of the partners
      limits:   bool | *false
      verdicts: bool | *false
      term:     duration & >=400ms & <=1m | *1s
      drift:    number & >=0 & <=0.1 | *1%
      floor:    number & >0 & <=1 | *90%
      burst:    duration & >=1ms & <=1s | *100ms
      kept:     duration & >=500ms & <=5m | *10s
    }
  }
  front:     notice: duration & >=0s & <=30s | *2s
  discovery: {
    delay: duration & >=0s & <=30s | *500ms
    // zones: a name server announces changes at once, the platform's list later
    by:    "zones" | *"platform"
  }
  void: {
    late:  duration & >=1ms & <=10s | *50ms   // an action this late counts as late
    share: number & >0 & <=1 | *1%            // above this share of late actions the run is void
  }
  acts:   [...#Act] | *[]
  expect: [...string] | *[]
}
)";

}  // namespace

std::string_view ScenarioSchema() { return kSchema; }

}  // namespace brassfront::rehearsal
