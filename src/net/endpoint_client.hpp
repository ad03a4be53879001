// The next hops' side: threads that carry out deliveries on kept connections.
#ifndef BRASSFRONT_NET_ENDPOINT_CLIENT_HPP_
#define BRASSFRONT_NET_ENDPOINT_CLIENT_HPP_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "concurrency/thread.hpp"
#include "concurrency/thread_pool.hpp"
#include "net/buffer_pool.hpp"
#include "net/endpoint_call.hpp"
#include "net/idle_connection_budget.hpp"
#include "net/socket.hpp"
#include "protocol/http.hpp"

namespace brassfront {

class EndpointClient {
 public:
  struct Options {
    std::size_t threads = 1;                     // deliveries at once; more wait for a thread
    std::size_t max_idle_connections = 64;       // kept connections
    std::size_t group_size = 1;                  // forwarders that call the same next hops
    std::chrono::nanoseconds connection_idle{};  // after which the other side closes one
    std::chrono::milliseconds connect_timeout{};
  };
  using OnResult = std::function<void(EndpointCallResult)>;  // called by the threads

  // Throws std::runtime_error where the system has no room for a thread.
  EndpointClient(const Options& options, BufferPool& buffers, OnResult on_result);
  ~EndpointClient();  // ends what is out

  void Start(std::shared_ptr<EndpointCall> call);
  // Closes connections that have been idle for long. To be called every second, and at
  // NextIdleExpiry.
  void CloseExpiredIdle();
  // When the next of the kept connections has been idle for long enough; max() if none is kept.
  SteadyTime NextIdleExpiry() const;
  // The next endpoint is gone: its idle connections are closed.
  void RemoveEndpoint(std::uint64_t endpoint);

 private:
  struct Connection {
    Socket socket;
    std::uint64_t endpoint = 0;
    std::string address;
    SteadyTime expires_at{};
    std::size_t exchanges = 0;
  };

  void Run(const std::shared_ptr<EndpointCall>& call);
  EndpointCallResult Perform(EndpointCall& call);
  bool ConnectTo(Connection& connection, EndpointCall& call);
  EndpointCallResult ReadResponse(Connection& connection, EndpointCall& call);
  void Close(Connection& connection, const char* reason);
  Connection TakeIdle(const EndpointCall& call);
  void ReturnIdle(Connection connection);
  IdleConnectionBudget& BudgetFor(std::uint64_t endpoint);

  const Options options_;
  BufferPool& buffers_;
  const OnResult on_result_;
  mutable std::mutex mutex_;  // guards what follows
  bool closed_ = false;
  std::vector<Connection> idle_;  // the newest last
  std::map<std::uint64_t, IdleConnectionBudget> budgets_;
  std::map<std::uint64_t, std::shared_ptr<EndpointCall>> in_flight_;
  ThreadPool<std::shared_ptr<EndpointCall>> threads_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_ENDPOINT_CLIENT_HPP_
