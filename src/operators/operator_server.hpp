// HTTP/1.1 at the forwarder's second address: one call to a connection, answered by
// OperatorCommands. One thread serves all callers, so that a slow one holds nobody up.
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
  // Descriptors that it uses at most: connections, the listener, the wake-up.
  static constexpr std::size_t kMaxConnections = 16;
  static constexpr std::size_t kMaxDescriptors = kMaxConnections + 2;

  // Serves from now on. Where the address can't be listened on, that is tried again until it can:
  // the forwarder goes on without operators meanwhile. The arguments outlive the server.
  OperatorServer(std::string address, OperatorCommands& commands, BufferPool& buffers);
  ~OperatorServer();

 private:
  struct Connection {
    Socket socket;
    SteadyTime deadline{};
    HttpRequestReader reader{};
    bool answered = false;  // what still comes is discarded until the caller closes
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
  Thread thread_;                      // the last member: it uses the others
};

}  // namespace brassfront

#endif  // BRASSFRONT_OPERATORS_OPERATOR_SERVER_HPP_
