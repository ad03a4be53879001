// The schema of a roster file: types, bounds and defaults of its fields.
#include "peers/roster.hpp"

namespace brassfront::peers {

std::string_view RosterSchema() {
  return R"(
#Member: {
  name:  string & !=""
  hall:  string & !=""
  peer:  string & !=""                  // IPv4:PORT, where its datagrams go
  voter: bool | *false                  // of the settled log; none named: the first 3 or 5
}

#Listed: {
  destination: int & >=0
  calls:       rate & >0/s
}

#Sharing: {
  limits:   bool | *true
  verdicts: bool | *true
  term:     duration & >=200ms & <=1m | *1s       // of a lease
  drift:    number & >=0 & <=0.1 | *1%            // by which two members' clocks may run apart
  floor:    number & >0 & <=1 | *90%            // of a limit, set aside in even parts
  burst:    duration & >=1ms & <=1s | *100ms      // of a member's rate, what may come at once
  told:     bool | *true                          // limits that endpoints report hold as well
  kept:     duration & >=500ms & <=5m | *10s      // of a word on an endpoint
  listed:   [...#Listed] | *[]
}

#Fleet: {
  fleet:   string & !=""
  key:     string & !=""                // a file with the secret in Base64, from this folder
  out: {
    all:  int & >=1 & <=299 | *1
    hall: int & >=1 & <=299 | *1
  }
  timings: {
    probe:     duration & >=20ms & <=10s | *200ms
    answer:    duration & >=5ms & <=5s | *100ms
    suspicion: duration & >=100ms & <=1m | *800ms
    heartbeat: duration & >=20ms & <=5s | *100ms
    election:  duration & >=100ms & <=30s | *500ms
    drain:     duration & >=1s & <=1h | *1m
    back:      duration & >=1s & <=1h | *1m
  }
  sharing: false | #Sharing | *false
  members: [#Member, ...#Member]
}
)";
}

}  // namespace brassfront::peers
