// How many idle connections to one next hop a forwarder keeps, and for how long. No I/O, no clock.
//
// A next hop holds few connections, idle ones counted, and each of a group of forwarders keeps its
// own. Guards against a hundred that each keep one or two: the tables are full of connections that
// nobody uses, and the calls of all others are turned away.
#ifndef BRASSFRONT_NET_IDLE_CONNECTION_BUDGET_HPP_
#define BRASSFRONT_NET_IDLE_CONNECTION_BUDGET_HPP_

#include <chrono>
#include <cstddef>

namespace brassfront {

class IdleConnectionBudget {
 public:
  using Time = std::chrono::steady_clock::time_point;
  using Seconds = std::chrono::duration<double>;

  // `group`: forwarders that call the next hop, this one among them; 0 is taken for 1.
  explicit IdleConnectionBudget(std::size_t group_size);

  // A call to the next hop begins.
  void OnCall(Time now);
  // It turned a connection away for want of room.
  void OnConnectionRejected(Time now);

  // Connections to be kept idle at once.
  [[nodiscard]] std::size_t MaxIdleConnections(Time now) const;
  // How long each may stay idle, at most `idle`. Where the share is below one connection, so much
  // of the mean time between calls that the group together keeps its share of the places.
  [[nodiscard]] Seconds IdleTimeout(Time now, Seconds max_idle) const;

 private:
  [[nodiscard]] double CautionAt(Time now) const;
  [[nodiscard]] double BudgetAt(Time now) const;

  double base_budget_;  // connections
  double caution_ = 0;  // doublings of caution after the last time it was crowded
  Time last_rejection_{};
  Time last_call_{};
  Seconds mean_call_interval_;  // mean time between calls
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_IDLE_CONNECTION_BUDGET_HPP_
