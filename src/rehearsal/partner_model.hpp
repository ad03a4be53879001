// Model of a partner that receives calls: its limit, queue, call times, outages and warm-up. Given
// calls and the current time, it returns what to answer and when. It does no I/O and reads no
// clock; all randomness comes from one seed.
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

// Effect of an outage on calls.
enum class Outage { kNone, kShut, kSilent, kRefuse, kReset };

class PartnerModel {
 public:
  enum class What {
    kServe,   // the call runs, and 200 is sent at `at` unless the connection has ended
    kRefuse,  // refused immediately; the call never runs
    kSilent,  // no answer; the call never runs
    kReset    // the connection is reset; the call never runs, but the caller cannot know that
  };
  struct Status {
    What what = What::kServe;
    Time at{};                 // completion time, with kServe
    std::optional<Time> wait;  // wait that the answer carries, with kRefuse
    bool above_limit = false;  // with kRefuse
    bool collapsed = false;    // this call made a partner in warm-up collapse
  };

  PartnerModel(const Partner& partner, const WarmUp& warm_up, std::uint64_t seed);

  // Processes a call whose last byte was received now.
  Status Call(Time now, std::size_t messages, std::size_t forwarder);

  // Starts an outage of the whole partner. Refusals carry `wait`, or the remaining time if it is
  // not set.
  void Begin(Outage outage, Time until, std::optional<Time> wait);
  void End(Time now);
  void Slow(double factor) { slow_ = factor; }
  // Sets the limit to `factor` times the limit of the scenario.
  void ScaleLimit(double factor) { limit_scale_ = factor; }
  // Returns the limit in calls per second, or 0 without a limit.
  double limit() const { return partner_.limit ? partner_.limit->calls * limit_scale_ : 0; }
  // Refuses all calls as if the queue were full, until then. This is not an outage: no warm-up
  // follows.
  void Full(Time until, std::optional<Time> wait) {
    full_until_ = until;
    full_wait_ = wait;
  }

  Outage outage(Time now) const { return now < outage_until_ ? outage_ : Outage::kNone; }
  bool collapsed() const { return collapsed_; }
  // Returns the end of the last outage; no value if there was none or it continues.
  std::optional<Time> back_since() const { return back_since_; }
  // Returns the current share of the capacity: below 1 during the warm-up.
  double CapacityShare(Time now) const;
  // Returns the work received in the last `warm_up.fall`, by forwarder, in units of calls with one
  // message.
  std::map<std::size_t, double> RecentWork() const;

  // Registers a message that will be served. Returns true if it is a duplicate, which the partner
  // drops: its key is running or was applied within the deduplication window. This is decided on
  // arrival.
  bool IsRepeat(Time now, const std::string& key);
  // Records that a message that is no duplicate has run. Returns true if its key was applied
  // before, outside the window.
  bool Apply(Time now, const std::string& key);

 private:
  std::optional<Time> OverLimit(Time now, bool& above);  // returns the wait for a refusal
  Time ServiceTime(std::size_t messages);
  bool RecordWork(Time now, std::size_t messages, std::size_t forwarder);

  const Partner partner_;
  const WarmUp warm_up_;
  boost::random::mt19937_64 random_;
  // Times at which its workers become free.
  std::priority_queue<Time, std::vector<Time>, std::greater<>> free_at_;
  double slow_ = 1, limit_scale_ = 1;
  Outage outage_ = Outage::kNone;
  Time outage_until_{};
  std::optional<Time> outage_wait_;
  std::optional<Time> back_since_;
  Time full_until_{};
  std::optional<Time> full_wait_;
  bool collapsed_ = false;
  Time tokens_at_{};        // for a rate: theoretical arrival time of the next call
  std::int64_t span_ = -1;  // index of the current window
  std::size_t in_span_ = 0;
  struct ReceivedWork {
    Time at;
    double work;
    std::size_t forwarder;
  };
  std::deque<ReceivedWork> received_work_;
  struct Key {
    std::size_t running = 0;
    std::optional<Time> applied;  // time of the last application
  };
  std::unordered_map<std::string, Key> keys_;
};

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_PARTNER_MODEL_HPP_
