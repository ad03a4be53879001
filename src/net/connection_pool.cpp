#include "net/connection_pool.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace brassfront {
namespace {

constexpr const char* kLogSide = "endpoint";
// The share of the endpoint's own idle timeout for which a connection is kept. If the endpoint
// closed a connection while a call is sent on it, the call would end with a reset, and might have
// run.
constexpr double kIdleTimeoutShare = 0.6;

}  // namespace

void EndpointConnection::Close(CloseReason reason) {
  socket.Close();
  LogConnectionEnd(kLogSide, address, ToString(reason), calls);
}

EndpointConnection ConnectionPool::Take(std::uint64_t endpoint, const std::string& address,
                                        SteadyTime now) {
  BudgetFor(endpoint).OnCall(now);
  DiscardStale(endpoint, now);
  for (std::size_t i = idle_.size(); i-- > 0;) {
    if (idle_[i].endpoint != endpoint || idle_[i].address != address) continue;
    if (!IsReady(idle_[i], now)) continue;
    EndpointConnection connection = std::move(idle_[i]);
    idle_.erase(idle_.begin() + static_cast<std::ptrdiff_t>(i));
    unsettled_answers_.OnReuse(connection.id, now);
    return connection;
  }
  return {.id = ++last_connection_id_, .endpoint = endpoint, .address = address};
}

void ConnectionPool::DiscardStale(std::uint64_t endpoint, SteadyTime now) {
  std::erase_if(idle_, [&](EndpointConnection& connection) {
    if (connection.endpoint != endpoint || !connection.socket.HasInputOrEnd()) return false;
    CloseIdle(connection, CloseReason::kStale, now);
    return true;
  });
}

void ConnectionPool::Discard(EndpointConnection connection, SteadyTime now) {
  if (connection.socket.HasInput()) OnUnsolicitedInput(connection.endpoint, now);
  Close(std::move(connection), CloseReason::kStale, now);
}

void ConnectionPool::Close(EndpointConnection connection, CloseReason reason, SteadyTime now) {
  unsettled_answers_.OnIdle(connection.id, now);
  connection.Close(reason);
}

void ConnectionPool::CloseIdle(EndpointConnection& connection, CloseReason reason, SteadyTime now) {
  if (connection.socket.HasInput()) OnUnsolicitedInput(connection.endpoint, now);
  connection.Close(reason);
}

// Closes the connection unless it has unsettled answers: only further input on the same connection
// shows that such an answer is wrong, so the connection stays open until they are settled.
bool ConnectionPool::CloseIfSettled(EndpointConnection& connection, CloseReason reason,
                                    SteadyTime now) {
  if (unsettled_answers_.AwaitsSettleTime(connection.id) && !connection.socket.HasInputOrEnd()) {
    connection.pending_close_reason = reason;
    return false;
  }
  CloseIdle(connection, reason, now);
  return true;
}

void ConnectionPool::OnCallWritten(const EndpointConnection& connection, SteadyTime now) {
  unsettled_answers_.OnCallWritten(connection.endpoint, now);
}

void ConnectionPool::OnCallEnded(const EndpointConnection& connection, SteadyTime written_at,
                                 UnsettledAnswers::CallEnd end, SteadyTime now) {
  unsettled_answers_.OnCallEnded(connection.endpoint, written_at, end, now);
}

SharedAnswerCertainty ConnectionPool::OnAnswer(const EndpointConnection& connection,
                                               SteadyTime now) {
  return unsettled_answers_.Add(connection.id, connection.endpoint, now);
}

void ConnectionPool::OnUnsolicitedInput(std::uint64_t endpoint, SteadyTime now) {
  std::erase_if(last_unsolicited_input_,
                [now](const auto& entry) { return now - entry.second >= kUnsolicitedInputWindow; });
  last_unsolicited_input_[endpoint] = now;
  unsettled_answers_.OnUnsolicitedInput(endpoint);
}

void ConnectionPool::SettleAnswers(SteadyTime now) {
  std::erase_if(idle_, [&](EndpointConnection& connection) {
    if (!unsettled_answers_.AwaitsSettleTime(connection.id)) return false;
    if (!connection.socket.HasInputOrEnd()) return false;
    CloseIdle(connection, CloseReason::kStale, now);
    return true;
  });
  unsettled_answers_.Settle(now);
  std::erase_if(idle_, [&](EndpointConnection& connection) {
    return connection.pending_close_reason &&
           CloseIfSettled(connection, *connection.pending_close_reason, now);
  });
}

bool ConnectionPool::IsReady(const EndpointConnection& connection, SteadyTime now) const {
  if (connection.pending_close_reason) return false;
  if (now - connection.returned_at >= kSettleTime) return true;
  return !HasSentUnsolicitedInput(connection.endpoint, now) &&
         !unsettled_answers_.MustSettleBeforeReuse(connection.id, now);
}

bool ConnectionPool::HasSentUnsolicitedInput(std::uint64_t endpoint, SteadyTime now) const {
  const auto found = last_unsolicited_input_.find(endpoint);
  return found != last_unsolicited_input_.end() && now - found->second < kUnsolicitedInputWindow;
}

void ConnectionPool::Return(EndpointConnection connection, SteadyTime now) {
  if (shut_down_) return Close(std::move(connection), CloseReason::kShutdown, now);
  const std::uint64_t endpoint = connection.endpoint;
  const IdleConnectionBudget& budget = BudgetFor(endpoint);
  const IdleConnectionBudget::Seconds timeout =
      budget.IdleTimeout(now, options_.connection_idle * kIdleTimeoutShare);
  connection.returned_at = now;
  connection.expires_at = now + std::chrono::duration_cast<SteadyTime::duration>(timeout);
  unsettled_answers_.OnIdle(connection.id, now);
  idle_.push_back(std::move(connection));
  const auto is_kept = [](const EndpointConnection& other) { return !other.pending_close_reason; };
  const auto is_to_endpoint = [&](const EndpointConnection& other) {
    return is_kept(other) && other.endpoint == endpoint;
  };
  const auto idle_to_endpoint = std::count_if(idle_.begin(), idle_.end(), is_to_endpoint);
  const bool over_budget =
      static_cast<std::size_t>(idle_to_endpoint) > budget.MaxIdleConnections(now);
  if (!over_budget && idle_.size() <= options_.max_idle_connections) return;
  const auto oldest = over_budget ? std::find_if(idle_.begin(), idle_.end(), is_to_endpoint)
                                  : std::find_if(idle_.begin(), idle_.end(), is_kept);
  if (CloseIfSettled(*oldest, CloseReason::kIdleLimit, now)) idle_.erase(oldest);
}

void ConnectionPool::OnConnectionRejected(std::uint64_t endpoint, SteadyTime now) {
  BudgetFor(endpoint).OnConnectionRejected(now);
}

void ConnectionPool::CloseExpired(SteadyTime now) {
  SettleAnswers(now);
  std::erase_if(idle_, [this, now](EndpointConnection& connection) {
    const bool closed_by_peer = connection.socket.HasInputOrEnd();
    if (!closed_by_peer && connection.expires_at > now) return false;
    CloseIdle(connection, closed_by_peer ? CloseReason::kPeerClosed : CloseReason::kIdle, now);
    return true;
  });
}

SteadyTime ConnectionPool::NextExpiry() const {
  SteadyTime next = SteadyTime::max();
  for (const EndpointConnection& connection : idle_) next = std::min(next, connection.expires_at);
  return next;
}

void ConnectionPool::RemoveEndpoint(std::uint64_t endpoint, SteadyTime now) {
  budgets_.erase(endpoint);
  std::erase_if(idle_, [&](EndpointConnection& connection) {
    if (connection.endpoint != endpoint) return false;
    return CloseIfSettled(connection, CloseReason::kEndpointRemoved, now);
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
