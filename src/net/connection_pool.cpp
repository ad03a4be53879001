#include "net/connection_pool.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace brassfront {
namespace {

constexpr const char* kLogSide = "endpoint";
// Of the time after which the endpoint closes an idle connection. A call that crosses that close
// would end as a reset, and might have run.
constexpr double kIdleTimeoutShare = 0.6;

}  // namespace

void EndpointConnection::Close(CloseReason reason) {
  socket.Close();
  LogConnectionEnd(kLogSide, address, ToString(reason), calls);
}

EndpointConnection ConnectionPool::Take(std::uint64_t endpoint, const std::string& address,
                                        SteadyTime now) {
  BudgetFor(endpoint).OnCall(now);
  for (std::size_t i = idle_.size(); i-- > 0;) {
    if (idle_[i].endpoint != endpoint || idle_[i].address != address) continue;
    const bool stale = idle_[i].socket.HasInputOrEnd();
    if (!stale && !IsSettled(idle_[i], now)) continue;
    EndpointConnection connection = std::move(idle_[i]);
    idle_.erase(idle_.begin() + static_cast<std::ptrdiff_t>(i));
    if (!stale) return connection;
    Discard(std::move(connection), now);
  }
  return {.endpoint = endpoint, .address = address};
}

void ConnectionPool::Discard(EndpointConnection connection, SteadyTime now) {
  NoteUnaskedInput(connection, now);
  connection.Close(CloseReason::kStale);
}

void ConnectionPool::NoteUnaskedInput(const EndpointConnection& connection, SteadyTime now) {
  if (connection.socket.HasInput()) last_unasked_input_[connection.endpoint] = now;
}

bool ConnectionPool::IsSettled(const EndpointConnection& connection, SteadyTime now) const {
  const auto unasked = last_unasked_input_.find(connection.endpoint);
  if (unasked == last_unasked_input_.end()) return true;
  if (now - unasked->second >= kUnaskedInputMemory) return true;
  return now - connection.returned_at >= kSettleTime;
}

void ConnectionPool::Return(EndpointConnection connection, SteadyTime now) {
  if (shut_down_) return connection.Close(CloseReason::kShutdown);
  const std::uint64_t endpoint = connection.endpoint;
  const IdleConnectionBudget& budget = BudgetFor(endpoint);
  const IdleConnectionBudget::Seconds timeout =
      budget.IdleTimeout(now, options_.connection_idle * kIdleTimeoutShare);
  connection.returned_at = now;
  connection.expires_at = now + std::chrono::duration_cast<SteadyTime::duration>(timeout);
  idle_.push_back(std::move(connection));
  const auto is_to_endpoint = [endpoint](const EndpointConnection& other) {
    return other.endpoint == endpoint;
  };
  const auto idle_to_endpoint = std::count_if(idle_.begin(), idle_.end(), is_to_endpoint);
  const bool over_budget =
      static_cast<std::size_t>(idle_to_endpoint) > budget.MaxIdleConnections(now);
  if (!over_budget && idle_.size() <= options_.max_idle_connections) return;
  const auto oldest =
      over_budget ? std::find_if(idle_.begin(), idle_.end(), is_to_endpoint) : idle_.begin();
  oldest->Close(CloseReason::kIdleLimit);
  idle_.erase(oldest);
}

void ConnectionPool::OnConnectionRejected(std::uint64_t endpoint, SteadyTime now) {
  BudgetFor(endpoint).OnConnectionRejected(now);
}

void ConnectionPool::CloseExpired(SteadyTime now) {
  std::erase_if(idle_, [this, now](EndpointConnection& connection) {
    const bool closed_by_peer = connection.socket.HasInputOrEnd();
    if (!closed_by_peer && connection.expires_at > now) return false;
    NoteUnaskedInput(connection, now);
    connection.Close(closed_by_peer ? CloseReason::kPeerClosed : CloseReason::kIdle);
    return true;
  });
}

SteadyTime ConnectionPool::NextExpiry() const {
  SteadyTime next = SteadyTime::max();
  for (const EndpointConnection& connection : idle_) next = std::min(next, connection.expires_at);
  return next;
}

void ConnectionPool::RemoveEndpoint(std::uint64_t endpoint) {
  budgets_.erase(endpoint);
  last_unasked_input_.erase(endpoint);
  std::erase_if(idle_, [endpoint](EndpointConnection& connection) {
    if (connection.endpoint != endpoint) return false;
    connection.Close(CloseReason::kEndpointRemoved);
    return true;
  });
}

void ConnectionPool::Shutdown() {
  shut_down_ = true;
  for (EndpointConnection& connection : idle_) connection.Close(CloseReason::kShutdown);
  idle_.clear();
}

IdleConnectionBudget& ConnectionPool::BudgetFor(std::uint64_t endpoint) {
  return budgets_.try_emplace(endpoint, options_.group_size).first->second;
}

}  // namespace brassfront
