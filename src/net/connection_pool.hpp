// Idle connections to endpoints, kept for later calls within the idle connection budget of each
// endpoint. It takes the time from its caller, and no lock: EndpointClient calls it with its mutex
// held. It reads from idle sockets only to see whether the peer has closed them.
#ifndef BRASSFRONT_NET_CONNECTION_POOL_HPP_
#define BRASSFRONT_NET_CONNECTION_POOL_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "net/close_reason.hpp"
#include "net/idle_connection_budget.hpp"
#include "net/socket.hpp"
#include "net/unsettled_answers.hpp"

namespace brassfront {

// One connection to an endpoint; its owner closes it by EndpointConnection::Close, which logs it.
struct EndpointConnection {
  UnsettledAnswers::ConnectionId id = 0;  // as the pool counts them
  Socket socket{};
  std::uint64_t endpoint = 0;  // its id; another endpoint may take over the address
  std::string address{};
  std::size_t calls = 0;     // that were answered, or not, on it
  SteadyTime expires_at{};   // while idle
  SteadyTime returned_at{};  // while idle: since then
  // While idle: it is not used again, and is closed once its answers are settled.
  std::optional<CloseReason> closes_for{};

  // Closes the socket and leaves the one line in the log that each connection leaves.
  void Close(CloseReason reason);
};

class ConnectionPool {
 public:
  struct Options {
    std::size_t max_idle_connections = 64;  // to all endpoints together
    std::size_t group_size = 1;             // forwarders that call the same endpoints
    // After which the endpoint closes an idle connection.
    IdleConnectionBudget::Seconds connection_idle{};
  };

  // After input that nobody had asked for, an endpoint's connections are taken for ready only once
  // they have been idle for the first of these times, for as long as the second: what comes late
  // would be read as the answer to the next call.
  static constexpr std::chrono::milliseconds kSettleTime = UnsettledAnswers::kSettleTime;
  static constexpr std::chrono::seconds kUnaskedInputMemory{60};

  explicit ConnectionPool(const Options& options) : options_(options) {}
  // Idle connections are closed as at the end of the process.
  ~ConnectionPool() { Shutdown(); }
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  // For a call that begins now: the most recently used idle connection to the endpoint that the
  // peer has neither closed nor sent anything on, or one without a socket if there is none.
  [[nodiscard]] EndpointConnection Take(std::uint64_t endpoint, const std::string& address,
                                        SteadyTime now);
  // Keeps a connection for later calls, and closes the oldest one if there are too many.
  void Return(EndpointConnection connection, SteadyTime now);
  // The endpoint closed a new connection because it had too many: fewer are kept for a while.
  void OnConnectionRejected(std::uint64_t endpoint, SteadyTime now);

  // The idle or reused connection can't be used any more: its peer has closed it, or has sent what
  // nobody had asked for. Closes it.
  void Discard(EndpointConnection connection, SteadyTime now);
  // Closes a connection that was in use.
  void Close(EndpointConnection connection, CloseReason reason, SteadyTime now);

  // A call was written on a connection, and has ended.
  void OnCallWritten(const EndpointConnection& connection, SteadyTime now);
  void OnCallEnded(const EndpointConnection& connection, SteadyTime written_at,
                   UnsettledAnswers::CallEnd end, SteadyTime now);
  // An answer has come on a reused connection. Whether it is the answer to its call is known once
  // the connection has rested, and the endpoint has answered later calls.
  [[nodiscard]] SharedAnswerCertainty OnAnswer(const EndpointConnection& connection,
                                               SteadyTime now);
  // Input that nobody had asked for has come from this endpoint.
  void OnUnaskedInput(std::uint64_t endpoint, SteadyTime now);
  // Looks at the connections that rest behind unsettled answers, and settles what can be by now.
  void SettleAnswers(SteadyTime now);

  // Closes what has expired or was closed by the peer.
  void CloseExpired(SteadyTime now);
  // When the next connection expires; max() if none is idle.
  [[nodiscard]] SteadyTime NextExpiry() const;
  // Closes the endpoint's idle connections and forgets its budget.
  void RemoveEndpoint(std::uint64_t endpoint, SteadyTime now);
  // Closes all, and from now on whatever is returned.
  void Shutdown();

 private:
  IdleConnectionBudget& BudgetFor(std::uint64_t endpoint);
  void CloseIdle(EndpointConnection& connection, CloseReason reason, SteadyTime now);
  [[nodiscard]] bool CloseIfSettled(EndpointConnection& connection, CloseReason reason,
                                    SteadyTime now);
  void DiscardStale(std::uint64_t endpoint, SteadyTime now);
  [[nodiscard]] bool IsReady(const EndpointConnection& connection, SteadyTime now) const;
  [[nodiscard]] bool HasShownUnaskedInput(std::uint64_t endpoint, SteadyTime now) const;

  const Options options_;
  bool shut_down_ = false;
  std::vector<EndpointConnection> idle_;  // the most recently used last
  std::map<std::uint64_t, IdleConnectionBudget> budgets_;
  std::map<std::uint64_t, SteadyTime> last_unasked_input_;  // by endpoint
  UnsettledAnswers unsettled_answers_;
  UnsettledAnswers::ConnectionId last_connection_id_ = 0;
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_CONNECTION_POOL_HPP_
