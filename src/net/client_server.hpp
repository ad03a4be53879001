// The server that clients connect to, over RESP2.
//
// One thread, the poll loop, accepts all connections and reads from them. Once a connection has
// received a complete command, the poll loop passes it to a worker thread. The worker executes the
// command, which may block until the engine has decided, and returns the connection to the poll
// loop after the reply. So the number of threads depends on the number of commands in progress, not
// on the number of open connections.
//
// The server ends connections by a lingering close: it shuts down sending and discards further
// input for a while. If it closed a socket with unread input, the system would reset the
// connection, and the last reply could be lost. Commands that arrive during a lingering close are
// not executed, so the client may safely send them elsewhere.
#ifndef BRASSFRONT_NET_CLIENT_SERVER_HPP_
#define BRASSFRONT_NET_CLIENT_SERVER_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <set>
#include <span>

#include "acceptance/message_acceptor.hpp"
#include "concurrency/thread.hpp"
#include "concurrency/thread_pool.hpp"
#include "net/buffer_pool.hpp"
#include "net/client_commands.hpp"
#include "net/client_connection_table.hpp"
#include "net/poller.hpp"
#include "net/socket.hpp"
#include "net/standby_switch.hpp"

namespace brassfront {

// Accepts client connections and executes their commands until it is destroyed.
class ClientServer {
 public:
  struct Limits {
    std::size_t connections = 1;  // open at once
    // Maximum time until a command is complete, counted from the start of the connection for the
    // first command and from the first byte for others. The limit is for the whole command, so that
    // a client that sends single bytes has no advantage over a silent one.
    std::chrono::milliseconds command{2000};
    std::chrono::milliseconds idle{2000};  // between two commands
    // Maximum number of idle connections that have submitted a message; beyond it the longest idle
    // one is closed. Clients whose number of connections is limited may leave each one open after a
    // single message.
    std::size_t max_idle = SIZE_MAX;
    // Minimum idle time of a connection before it may be closed for a new one when the maximum
    // number of connections is open: without a valid message so far, and with one.
    std::chrono::milliseconds min_idle_before_first_message{100};
    std::chrono::milliseconds min_idle{200};
    // After this many consecutive invalid commands the connection is closed. An invalid command
    // costs as much as a message, and a client may pipeline hundreds.
    std::size_t max_invalid_commands = 16;
    std::size_t workers = 32;  // threads that execute commands; further connections wait
  };

  // Accepts connections from the listener until the server is destroyed. The workers call the
  // acceptor; it and the buffers must outlive the server. Throws std::runtime_error if the system
  // can't provide the threads or descriptors.
  ClientServer(Socket listener, const Limits& limits, MessageAcceptor& acceptor,
               BufferPool& buffers);
  // Waits until the workers have answered the commands in progress, then closes all connections.
  ~ClientServer();

  // Any thread may call the methods below.

  // Closes each connection once its commands are answered. New connections are still accepted and
  // are closed after their first commands.
  void Drain();
  // Turns standby on or off. In standby, connections are closed as in Drain, so that clients go
  // elsewhere; PING is answered with an error immediately, and MSG.PUT is rejected after
  // ClientCommands::kStandbyAcceptPeriod.
  void StandBy(bool stand_by);
  // Returns the number of connections that wait for a command to begin. A connection counts again
  // once its worker has returned it, which may be after the client has read the reply.
  [[nodiscard]] std::size_t idle_connections() const;

 private:
  // ---- called by the poll loop, with the mutex held ----
  void RunPollLoop();
  void HandleReady(Poller::Token token);
  enum class AcceptResult { kDone, kFailed };
  AcceptResult HandleAllReady(std::span<const Poller::Token> ready);
  AcceptResult AcceptConnections();
  bool EvictOne(SteadyTime now);
  bool FinishOldestLingering();
  bool ReadOnce(ClientConnection& connection);
  void DiscardInput(ClientConnection& connection, ssize_t received);
  void CloseExpired(SteadyTime now);
  void CloseBetweenCommands();
  void CloseAllNotServing();

  // ---- called by the poll loop or a worker, with the mutex held ----
  [[nodiscard]] bool ClosesBetweenCommands() const { return draining_ || standby_.is_on(); }
  void EvictExcessIdle(SteadyTime now);
  bool CloseIfIdle(ClientConnection& connection, CloseReason reason);
  void BeginLingeringClose(ClientConnection& connection, CloseReason reason);
  void CloseWithoutPollLoop(ClientConnection& connection, CloseReason reason, SteadyTime deadline);
  void Rearm(ClientConnection& connection);
  void RearmUnwatched();
  void Remove(ClientConnection& connection, CloseReason reason);

  // ---- called by a worker, without the mutex ----
  void ServeCommands(ClientConnection& connection);

  const Limits limits_;
  BufferPool& buffers_;
  Socket listener_;
  Poller poller_;
  WakeupEvent wakeup_;
  StandbySwitch standby_;
  const ClientCommands commands_;

  mutable std::mutex mutex_;  // guards the members below and all connections not being served
  bool draining_ = false;
  bool stopping_ = false;
  ClientConnectionTable connections_;
  std::set<ClientConnectionId> unwatched_;  // connections for which rearming the poller failed

  // These are destroyed first: the poll thread before the workers.
  ThreadPool<ClientConnection*> workers_;
  Thread poll_thread_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_CLIENT_SERVER_HPP_
