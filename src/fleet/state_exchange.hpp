// Whom this member asks for the committed state, when, and the leader that it learns of so.
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

// Owned and called by the fleet's thread.
class StateExchange {
 public:
  using Time = peers::Time;

  // Both must outlive this object.
  StateExchange(const RosterWatcher& roster, const peers::FailureDetector& failure_detector);

  // If a request is due: the leader, or any voter that is alive if none is known. Nothing if it is
  // not due, or nobody is to be asked.
  [[nodiscard]] std::optional<std::string> NextRecipient(const std::string& leader, Time now);
  // A command was submitted: its result is asked for sooner than the interval says.
  void OnCommandSubmitted(Time now);
  [[nodiscard]] Time Next() const { return timer_.next(); }

  // The leader as the last update named it; empty: none. For members that do not vote.
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
