// The sender side: takes clients' connections, one thread for each, and speaks RESP2 with them.
#ifndef BRASSFRONT_NET_SENDER_SIDE_HPP_
#define BRASSFRONT_NET_SENDER_SIDE_HPP_

#include <atomic>
#include <list>
#include <mutex>
#include <string>
#include <vector>

#include "forwarder/intake.hpp"
#include "net/buffer_pool.hpp"
#include "net/socket.hpp"
#include "net/thread.hpp"
#include "protocol/resp.hpp"

namespace brassfront {

class SenderSide {
 public:
  // Takes connections from the listener until it is destroyed, `most` at once.
  SenderSide(Socket listener, std::size_t most, Intake& intake, BufferPool& buffers);
  ~SenderSide();

  // From now on each connection is closed between two requests; new ones get one request.
  void Drain();

 private:
  struct Connection {
    Socket socket;
    Thread thread;
    bool reading = false;  // blocked between two requests
    bool ended = false;
  };

  void TakeConnections();
  void Serve(Connection& connection);
  const char* Exchange(Connection& connection, RespReader& reader, std::size_t& exchanges);
  bool Reply(Connection& connection, RespCommand& command, const char*& reason);
  bool HandIn(Connection& connection, RespCommand& command, const char*& reason);
  void SetReading(Connection& connection, bool reading);
  void Reap();

  const std::size_t most_;
  Intake& intake_;
  BufferPool& buffers_;
  Socket listener_;
  std::atomic<bool> draining_{false};
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;  // guards the list and the connections' flags
  std::list<Connection> connections_;
  Thread acceptor_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_SENDER_SIDE_HPP_
