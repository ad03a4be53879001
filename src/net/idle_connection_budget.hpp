// How many idle connections to one endpoint a forwarder keeps, and for how long. No I/O, no clock.
//
// An endpoint accepts few connections, idle ones included, and each forwarder of a group keeps its
// own. If a hundred of them kept one or two each, the endpoint's limit would be used up by idle
// connections, and the calls of all the others would be rejected.
#ifndef BRASSFRONT_NET_IDLE_CONNECTION_BUDGET_HPP_
#define BRASSFRONT_NET_IDLE_CONNECTION_BUDGET_HPP_

#include <chrono>
#include <cstddef>

namespace brassfront {

class IdleConnectionBudget {
 public:
  using Time = std::chrono::steady_clock::time_point;
  using Seconds = std::chrono::duration<double>;

  // `group_size`: forwarders that call the endpoint, this one among them; 0 counts as 1.
  explicit IdleConnectionBudget(std::size_t group_size);

  // A call to the endpoint begins.
  void OnCall(Time now);
  // The endpoint rejected a connection because it had too many. The budget is halved, and returns
  // to its full size within some seconds.
  void OnConnectionRejected(Time now);

  // Idle connections to be kept at once.
  [[nodiscard]] std::size_t MaxIdleConnections(Time now) const;
  // How long each of them may stay idle, at most `max_idle`. With a budget of less than one
  // connection, it is that fraction of the mean time between calls, so that on average the group
  // together keeps no more than its budget.
  [[nodiscard]] Seconds IdleTimeout(Time now, Seconds max_idle) const;

 private:
  [[nodiscard]] double HalvingsAt(Time now) const;
  [[nodiscard]] double BudgetAt(Time now) const;

  const double full_budget_;  // connections
  double halvings_ = 0;       // of the budget, after the last rejection
  Time last_rejection_{};
  Time last_call_{};
  Seconds mean_call_interval_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_IDLE_CONNECTION_BUDGET_HPP_
