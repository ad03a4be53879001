// HTTP/1.1 server at the forwarder's second address. Each connection carries one request, which
// OperatorCommands answers. One thread serves all clients without blocking on a slow one.
#ifndef BRASSFRONT_OPERATORS_OPERATOR_SERVER_HPP_
#define BRASSFRONT_OPERATORS_OPERATOR_SERVER_HPP_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <list>
#include <string>

#include "concurrency/thread.hpp"
#include "net/buffer_pool.hpp"
#include "net/poller.hpp"
#include "net/socket.hpp"
#include "operators/operator_commands.hpp"
#include "protocol/http_request.hpp"

namespace brassfront {

class OperatorServer {
 public:
  // Maximum number of descriptors: connections, the listener, the wake-up event.
  static constexpr std::size_t kMaxConnections = 16;
  static constexpr std::size_t kMaxDescriptors = kMaxConnections + 2;

  // Starts serving. If the server cannot listen on the address, it retries until it can; the
  // forwarder works without operator commands meanwhile. The arguments must outlive the server.
  OperatorServer(std::string address, OperatorCommands& commands, BufferPool& buffers);
  ~OperatorServer();

 private:
  struct Connection {
    Socket socket;
    SteadyTime deadline{};
    HttpRequestReader reader{};
    bool answered = false;  // further input is discarded until the client closes the connection
  };

  void Run();
  void Listen();
  void WaitForInput();
  void AcceptCallers();
  void Serve(Connection& connection);
  void Answer(Connection& connection, const OperatorReply& reply);
  void CloseExpired(SteadyTime now);

  const std::string address_;
  OperatorCommands& commands_;
  BufferPool& buffers_;
  WakeupEvent wakeup_;
  std::atomic<bool> stopping_{false};
  Socket listener_;
  std::list<Connection> connections_;  // the oldest first
  Thread thread_;                      // the last member, because it uses the others
};

}  // namespace brassfront

#endif  // BRASSFRONT_OPERATORS_OPERATOR_SERVER_HPP_
