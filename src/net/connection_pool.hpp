// Idle connections to endpoints, kept for later calls within the idle connection budget of each
// endpoint. No request is written before kReuseDelay has passed since the connection's last answer.
// The caller passes the current time. It has no lock: EndpointClient calls it while holding its
// mutex. It peeks at idle sockets only to detect input or that the peer has closed them.
#ifndef BRASSFRONT_NET_CONNECTION_POOL_HPP_
#define BRASSFRONT_NET_CONNECTION_POOL_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "net/answer_sequence.hpp"
#include "net/close_reason.hpp"
#include "net/idle_connection_budget.hpp"
#include "net/recent_maximum.hpp"
#include "net/socket.hpp"

namespace brassfront {

// One connection to an endpoint. Its owner closes it with EndpointConnection::Close, which logs it.
struct EndpointConnection {
  std::uint64_t id = 0;  // assigned by the pool
  Socket socket{};
  std::uint64_t endpoint = 0;  // id; the address may pass to another endpoint
  std::string address{};
  std::size_t calls = 0;       // number of calls made on it, with or without a response
  SteadyTime last_call_end{};  // if there were calls
  SteadyTime expires_at{};     // only while idle
  AnswerSequence answers{};

  // When the next request may be written on it: kReuseDelay after the end of the last call.
  [[nodiscard]] SteadyTime ReusableAt() const;
  // Closes the socket and writes the one log line that each connection gets.
  void Close(CloseReason reason);
};

// Owns the idle connections to all endpoints. Not thread-safe.
class ConnectionPool {
 public:
  struct Options {
    std::size_t max_idle_connections = 64;  // to all endpoints together
    std::size_t group_size = 1;             // forwarders that call the same endpoints
    // The idle time after which an endpoint closes a connection.
    IdleConnectionBudget::Seconds connection_idle{};
  };

  explicit ConnectionPool(const Options& options) : options_(options) {}
  // Closes the idle connections as Shutdown does.
  ~ConnectionPool() { Shutdown(); }
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  // Returns the connection for a call that begins now: an idle connection to the endpoint that the
  // peer has neither closed nor sent input on, or a connection without a socket if there is none.
  // The most recently used of those on which the next answer is not doubtful is preferred. Those
  // that do not satisfy the call's need are not returned. The caller must not write on it before
  // ReusableAt, and must check it for input then: to wait that long costs less than a handshake.
  [[nodiscard]] EndpointConnection Take(std::uint64_t endpoint, const std::string& address,
                                        SteadyTime now, AnswerNeed need = AnswerNeed::kAny);
  // Keeps a connection for later calls, and closes the oldest idle ones if there are too many.
  void Return(EndpointConnection connection, SteadyTime now);
  // An answer has been read on the connection; its first byte was received at `begin` and its last
  // one at `end`. The call was written at `written_at`.
  [[nodiscard]] AnswerCertainty OnAnswer(EndpointConnection& connection, SteadyTime written_at,
                                         SteadyTime begin, SteadyTime end);
  // The endpoint closed a new connection because it had too many: fewer are kept for a while.
  void OnConnectionRejected(std::uint64_t endpoint, SteadyTime now);

  // Closes the idle connections that have expired, were closed by the peer.
  void CloseExpired(SteadyTime now);
  // Returns when the next idle connection expires; max() if there is none.
  [[nodiscard]] SteadyTime NextExpiry() const;
  // Closes the endpoint's idle connections and forgets its budget.
  void RemoveEndpoint(std::uint64_t endpoint);
  // Closes all idle connections, and every connection that is returned later.
  void Shutdown();

 private:
  IdleConnectionBudget& BudgetFor(std::uint64_t endpoint);
  void DiscardStale(std::uint64_t endpoint);
  using IdleConnections = std::vector<EndpointConnection>;
  [[nodiscard]] IdleConnections::iterator FindReusable(std::uint64_t endpoint,
                                                       const std::string& address, SteadyTime now,
                                                       AnswerNeed need);

  const Options options_;
  bool shut_down_ = false;
  IdleConnections idle_;  // the most recently used last
  std::map<std::uint64_t, IdleConnectionBudget> budgets_;
  std::map<std::uint64_t, RecentMaximum> answer_times_;  // of each endpoint's calls
  std::uint64_t last_connection_id_ = 0;
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_CONNECTION_POOL_HPP_
