// How many idle connections to one endpoint a forwarder keeps, and for how long. No I/O, no clock.
//
// An endpoint accepts a small number of connections, including idle ones, and each forwarder of a
// group has its own. If each of a hundred forwarders kept one or two, idle connections would use up
// the endpoint's limit, and the calls of all other forwarders would be rejected.
#ifndef BRASSFRONT_NET_IDLE_CONNECTION_BUDGET_HPP_
#define BRASSFRONT_NET_IDLE_CONNECTION_BUDGET_HPP_

#include <chrono>
#include <cstddef>

namespace brassfront {

// The budget of one forwarder for one endpoint. Not thread-safe.
class IdleConnectionBudget {
 public:
  using Time = std::chrono::steady_clock::time_point;
  using Seconds = std::chrono::duration<double>;

  // `group_size`: number of forwarders that call the endpoint, including this one; 0 counts as 1.
  explicit IdleConnectionBudget(std::size_t group_size);

  // A call to the endpoint begins.
  void OnCall(Time now);
  // The endpoint rejected a connection because it had too many. Halves the budget, which returns to
  // its full size within several seconds.
  void OnConnectionRejected(Time now);

  // Returns the maximum number of idle connections to keep.
  [[nodiscard]] std::size_t MaxIdleConnections(Time now) const;
  // Returns how long each of them may stay idle, at most `max_idle`. With a budget below one
  // connection, this is that fraction of the mean time between calls, so that on average the group
  // as a whole keeps no more than its budget.
  [[nodiscard]] Seconds IdleTimeout(Time now, Seconds max_idle) const;

 private:
  [[nodiscard]] double HalvingsAt(Time now) const;
  [[nodiscard]] double BudgetAt(Time now) const;

  const double full_budget_;  // connections
  double halvings_ = 0;       // of the budget, as of the last rejection
  Time last_rejection_{};
  Time last_call_{};
  Seconds mean_call_interval_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_IDLE_CONNECTION_BUDGET_HPP_
