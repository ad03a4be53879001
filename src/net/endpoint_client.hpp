// The HTTP client for calls to endpoints: threads that perform the calls on pooled connections.
#ifndef BRASSFRONT_NET_ENDPOINT_CLIENT_HPP_
#define BRASSFRONT_NET_ENDPOINT_CLIENT_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

#include "concurrency/thread_pool.hpp"
#include "net/buffer_pool.hpp"
#include "net/connection_pool.hpp"
#include "net/endpoint_call.hpp"
#include "net/socket.hpp"
#include "protocol/http.hpp"

namespace brassfront {

// Performs calls to all endpoints. Thread-safe.
class EndpointClient {
 public:
  struct Options {
    std::size_t threads = 1;                // maximum number of concurrent calls; others wait
    std::size_t max_idle_connections = 64;  // to all endpoints together
    std::size_t group_size = 1;             // forwarders that call the same endpoints
    // The idle time after which an endpoint closes a connection.
    std::chrono::nanoseconds connection_idle{};
    std::chrono::milliseconds connect_timeout{};
  };
  // Called by the client's threads, once for each call that was started.
  using OnResult = std::function<void(EndpointCallResult)>;

  // The buffers must outlive the client. Throws std::runtime_error if the system can't provide a
  // thread.
  EndpointClient(const Options& options, BufferPool& buffers, OnResult on_result);
  // Cancels the calls in flight, and waits until the result of each has been passed to OnResult.
  ~EndpointClient();

  // Any thread may call the methods below. None of them waits for an endpoint.

  // Performs the call as soon as a thread is free.
  void Start(std::shared_ptr<EndpointCall> call);
  // Closes idle connections that have expired or that the endpoint has closed. To be called every
  // second, and at NextIdleExpiry.
  void CloseExpiredIdle();
  // Returns when the next idle connection expires; max() if there is none.
  [[nodiscard]] SteadyTime NextIdleExpiry() const;
  // The endpoint is no longer listed: closes its idle connections.
  void RemoveEndpoint(std::uint64_t endpoint);

 private:
  void Run(const std::shared_ptr<EndpointCall>& call);
  EndpointCallResult Perform(EndpointCall& call);
  EndpointCallResult GiveUpBeforeWrite(EndpointConnection connection, EndpointCall& call);
  // kNotTried: the call was stopped, or this machine lacked resources for a connection.
  enum class OpenResult { kOpened, kFailed, kNotTried };
  [[nodiscard]] OpenResult OpenConnection(EndpointConnection& connection, EndpointCall& call);
  EndpointCallResult ReadResponse(EndpointConnection connection, EndpointCall& call,
                                  SteadyTime written_at);
  [[nodiscard]] AnswerCertainty RecordAnswer(EndpointConnection& connection,
                                             const HttpReader& reader, SteadyTime written_at,
                                             SteadyTime first_input_at);
  EndpointConnection TakeConnection(const EndpointCall& call);
  void ReturnConnection(EndpointConnection connection);

  const Options options_;
  BufferPool& buffers_;
  const OnResult on_result_;
  mutable std::mutex mutex_;  // guards the members below
  ConnectionPool connections_;
  std::map<std::uint64_t, std::shared_ptr<EndpointCall>> in_flight_;  // by call id
  // The last member, so that its destructor, which waits for the calls, runs first.
  ThreadPool<std::shared_ptr<EndpointCall>> threads_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_ENDPOINT_CLIENT_HPP_
