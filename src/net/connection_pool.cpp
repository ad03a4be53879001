#include "net/connection_pool.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "net/reuse_delay.hpp"

namespace brassfront {
namespace {

constexpr const char* kLogSide = "endpoint";
// The share of the endpoint's own idle timeout for which a connection is kept. If the endpoint
// closed a connection while a call is sent on it, the call would end with a reset, and might have
// run.
constexpr double kIdleTimeoutShare = 0.6;
// Added to the longest time that an endpoint's answers took lately, to expect the next one by.
constexpr std::chrono::milliseconds kAnswerTimeMargin{100};
constexpr SteadyTime::duration kMaxAnswerTime = std::chrono::seconds(2);

}  // namespace

SteadyTime EndpointConnection::ReusableAt() const {
  return calls == 0 ? SteadyTime{} : last_call_end + kReuseDelay;
}

void EndpointConnection::Close(CloseReason reason) {
  socket.Close();
  LogConnectionEnd(kLogSide, address, ToString(reason), calls);
}

EndpointConnection ConnectionPool::Take(std::uint64_t endpoint, const std::string& address,
                                        SteadyTime now, AnswerNeed need) {
  BudgetFor(endpoint).OnCall(now);
  DiscardStale(endpoint);
  const auto chosen = FindReusable(endpoint, address, now, need);
  if (chosen == idle_.end()) {
    return {.id = ++last_connection_id_, .endpoint = endpoint, .address = address};
  }
  EndpointConnection connection = std::move(*chosen);
  idle_.erase(chosen);
  return connection;
}

// Of the connections that satisfy the need, returns the most recently used one on which the next
// answer is not doubtful. If there is none, returns the most recently used of those that may be
// written on now, or the one for which that is the case first.
ConnectionPool::IdleConnections::iterator ConnectionPool::FindReusable(std::uint64_t endpoint,
                                                                       const std::string& address,
                                                                       SteadyTime now,
                                                                       AnswerNeed need) {
  auto preferred = idle_.end();
  auto doubtful = idle_.end();
  for (auto candidate = idle_.begin(); candidate != idle_.end(); ++candidate) {
    if (candidate->endpoint != endpoint || candidate->address != address) continue;
    if (!candidate->answers.Satisfies(need, now)) continue;
    if (candidate->answers.CertaintyAt(now) != AnswerCertainty::kDoubtful) {
      preferred = candidate;
    } else if (doubtful == idle_.end() || candidate->ReusableAt() <= now) {
      doubtful = candidate;
    }
  }
  return preferred != idle_.end() ? preferred : doubtful;
}

void ConnectionPool::DiscardStale(std::uint64_t endpoint) {
  std::erase_if(idle_, [&](EndpointConnection& connection) {
    if (connection.endpoint != endpoint || !connection.socket.HasInputOrEnd()) return false;
    connection.Close(CloseReason::kStale);
    return true;
  });
}

void ConnectionPool::Return(EndpointConnection connection, SteadyTime now) {
  if (shut_down_) return connection.Close(CloseReason::kShutdown);
  const std::uint64_t endpoint = connection.endpoint;
  const IdleConnectionBudget& budget = BudgetFor(endpoint);
  const IdleConnectionBudget::Seconds timeout =
      budget.IdleTimeout(now, options_.connection_idle * kIdleTimeoutShare);
  connection.expires_at = now + std::chrono::duration_cast<SteadyTime::duration>(timeout);
  idle_.push_back(std::move(connection));
  const auto is_to_endpoint = [&](const EndpointConnection& other) {
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

AnswerCertainty ConnectionPool::OnAnswer(EndpointConnection& connection, SteadyTime written_at,
                                         SteadyTime begin, SteadyTime end) {
  RecentMaximum& answer_time = answer_times_[connection.endpoint];
  answer_time.Add(begin - written_at, end);
  const auto expected = std::min(answer_time.Get(end) + kAnswerTimeMargin, kMaxAnswerTime);
  return connection.answers.Add(begin, end, written_at + expected);
}

void ConnectionPool::OnConnectionRejected(std::uint64_t endpoint, SteadyTime now) {
  BudgetFor(endpoint).OnConnectionRejected(now);
}

void ConnectionPool::CloseExpired(SteadyTime now) {
  std::erase_if(idle_, [this, now](EndpointConnection& connection) {
    const bool closed_by_peer = connection.socket.HasInputOrEnd();
    if (!closed_by_peer && connection.expires_at > now) return false;
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
  answer_times_.erase(endpoint);
  std::erase_if(idle_, [&](EndpointConnection& connection) {
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
