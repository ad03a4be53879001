// The sender side: takes clients' connections, one thread for each, and speaks RESP2 with them.
#ifndef BRASSFRONT_NET_SENDER_SIDE_HPP_
#define BRASSFRONT_NET_SENDER_SIDE_HPP_

#include <atomic>
#include <chrono>
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
  struct Limits {
    std::size_t connections = 1;  // at once
    // For each command to come whole: the first from connecting on, others from their first byte
    // on. A total, so that a client that trickles is no better off than one that is silent.
    std::chrono::milliseconds command{2000};
    std::chrono::milliseconds idle{2000};  // between two commands
    // Idle ones kept of those that have handed in an envelope. Guards against clients that may open
    // only so many connections, and leave each open after one message.
    std::size_t most_idle = SIZE_MAX;
    // What newcomers take the place of, once all are taken: the longest idle of those that have
    // handed in no good envelope, and else the longest idle of all; each for so long at least.
    std::chrono::milliseconds useless{100};
    std::chrono::milliseconds least_idle{200};
    // Commands in a row that could not be used: then the connection is closed. Guards against a
    // client that sends hundreds at once, each of which costs as much as a message.
    std::size_t most_faults = 16;
  };

  // Takes connections from the listener until it is destroyed.
  SenderSide(Socket listener, const Limits& limits, Intake& intake, BufferPool& buffers);
  ~SenderSide();

  // From now on each connection is closed between two requests; new ones get one request.
  void Drain();

 private:
  struct Connection {
    Socket socket;
    Thread thread;
    SteadyTime since{};  // connected, or its last command was answered
    bool idle = true;    // waits for a first command, or for a further one to begin
    // A new connection may send its one request in a drain: only those that had theirs are cut.
    bool answered = false;
    bool useful = false;   // has handed in a good envelope
    bool dropped = false;  // for a newcomer
    bool ended = false;
    // Its thread's own.
    std::string replies;     // not written yet, of commands that came together
    std::size_t faults = 0;  // in a row
  };

  void TakeConnections();
  bool MakeRoom();
  void TrimIdle();
  void Drop(Connection& connection);
  void Serve(Connection& connection);
  const char* Exchange(Connection& connection, RespReader& reader, std::size_t& exchanges);
  bool Reply(Connection& connection, RespCommand& command, const char*& reason);
  bool HandIn(Connection& connection, RespCommand& command, const char*& reason);
  bool Say(Connection& connection, const std::string& reply);
  bool SayFault(Connection& connection, const std::string& reply, const char*& reason);
  bool Flush(Connection& connection);
  void SetIdle(Connection& connection, bool idle);
  bool Dropped(const Connection& connection);
  void Reap();

  const Limits limits_;
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
