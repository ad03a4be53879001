// Schedules this member's requests for the committed state, chooses their recipient, and stores the
// leader named in the replies.
#ifndef BRASSFRONT_FLEET_STATE_EXCHANGE_HPP_
#define BRASSFRONT_FLEET_STATE_EXCHANGE_HPP_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/periodic_timer.hpp"
#include "fleet/roster_watcher.hpp"
#include "peers/failure_detector.hpp"

namespace brassfront::fleet {

// Used only by the fleet's thread.
class StateExchange {
 public:
  using Time = peers::Time;

  // The references must outlive this object.
  StateExchange(const RosterWatcher& roster, const peers::FailureDetector& failure_detector);

  // Returns the recipient of the next request if one is due: the leader, or any alive voter if no
  // leader is known. Returns nothing if no request is due or there is no suitable recipient.
  [[nodiscard]] std::optional<std::string> NextRecipient(const std::string& leader, Time now);
  // To be called when a command was submitted: its result is requested sooner than the interval
  // would have it.
  void OnCommandSubmitted(Time now);
  [[nodiscard]] Time Next() const { return timer_.next(); }

  // The leader named in the last update; empty if none. Used by members that do not vote.
  [[nodiscard]] const std::string& reported_leader() const { return reported_leader_; }
  void SetReportedLeader(std::string leader) { reported_leader_ = std::move(leader); }

 private:
  [[nodiscard]] bool HasState(const std::string& member, peers::State state) const;
  [[nodiscard]] std::vector<std::string> AliveVoters() const;

  const RosterWatcher& roster_;
  const peers::FailureDetector& failure_detector_;
  PeriodicTimer timer_;
  std::string reported_leader_;
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_STATE_EXCHANGE_HPP_
