// What a partner does with calls: its limit, its queue, its pace, its outages and its warm_up
// returns. Fed calls and a clock, returns what to answer and when. No I/O, no wall clock; one seed.
#ifndef BRASSFRONT_REHEARSAL_PARTNER_MODEL_HPP_
#define BRASSFRONT_REHEARSAL_PARTNER_MODEL_HPP_

#include <boost/random/mersenne_twister.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "rehearsal/scenario.hpp"

namespace brassfront::rehearsal {

// What an outage does to calls.
enum class Outage { kNone, kShut, kSilent, kRefuse, kReset };

class PartnerModel {
 public:
  enum class What {
    kServe,   // 200 at `at`, unless the connection has ended; it runs then all the same
    kRefuse,  // turned away at once, never ran
    kSilent,  // nothing is said; it never runs
    kReset    // the connection is reset; it never ran, which nobody can know
  };
  struct Status {
    What what = What::kServe;
    Time at{};                 // when it has run, with kServe
    std::optional<Time> wait;  // told, with kRefuse
    bool above_limit = false;  // with kRefuse
    bool collapsed = false;    // this call was one too many for a warm_up partner
  };

  PartnerModel(const Partner& partner, const WarmUp& warm_up, std::uint64_t seed);

  // A call with so many messages, from that forwarder, whose last byte came now.
  Status Call(Time now, std::size_t messages, std::size_t forwarder);

  // Outages of the whole partner, until then; `wait` is told with refusals, or else the time left.
  void Begin(Outage outage, Time until, std::optional<Time> wait);
  void End(Time now);
  void Slow(double factor) { slow_ = factor; }
  // Its limit is so many times the one of the scenario from now on.
  void ScaleLimit(double factor) { limit_scale_ = factor; }
  // Calls a second; 0: none.
  double limit() const { return partner_.limit ? partner_.limit->calls * limit_scale_ : 0; }
  // Answers full whatever there is room for, until then. No outage: it does not come back warm_up.
  void Full(Time until, std::optional<Time> wait) {
    full_until_ = until;
    full_wait_ = wait;
  }

  Outage outage(Time now) const { return now < outage_until_ ? outage_ : Outage::kNone; }
  bool collapsed() const { return collapsed_; }
  // When the last outage ended; nothing if there was none or it goes on.
  std::optional<Time> back_since() const { return back_since_; }
  // Share of its capacity that it has just now.
  double CapacityShare(Time now) const;
  // Work that reached it in the last `warm_up.fall`, by forwarder, in calls with one message.
  std::map<std::size_t, double> RecentWork() const;

  // A message that will be served has come: true if it is a repeat, which the partner drops. That
  // is decided on its arrival: its key is being run, or was applied within the window.
  bool IsRepeat(Time now, const std::string& key);
  // One that is none has run: true if its key was applied before, longer ago.
  bool Apply(Time now, const std::string& key);

 private:
  std::optional<Time> OverLimit(Time now, bool& above);  // the wait it would tell, if above
  Time ServiceTime(std::size_t messages);
  bool RecordWork(Time now, std::size_t messages, std::size_t forwarder);

  const Partner partner_;
  const WarmUp warm_up_;
  boost::random::mt19937_64 random_;
  std::priority_queue<Time, std::vector<Time>, std::greater<>> free_at_;  // of its workers
  double slow_ = 1, limit_scale_ = 1;
  Outage outage_ = Outage::kNone;
  Time outage_until_{};
  std::optional<Time> outage_wait_;
  std::optional<Time> back_since_;
  Time full_until_{};
  std::optional<Time> full_wait_;
  bool collapsed_ = false;
  Time tokens_at_{};        // of the plain rate: when the next call conforms
  std::int64_t span_ = -1;  // of the window
  std::size_t in_span_ = 0;
  struct ReceivedWork {
    Time at;
    double work;
    std::size_t forwarder;
  };
  std::deque<ReceivedWork> received_work_;
  struct Key {
    std::size_t running = 0;
    std::optional<Time> applied;  // the last time
  };
  std::unordered_map<std::string, Key> keys_;
};

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_PARTNER_MODEL_HPP_
