// The server that clients connect to, over RESP2.
//
// One thread, the poll loop, accepts all connections and reads from them. A connection on which a
// complete command has come goes to a worker thread, which executes it and may wait for the engine
// meanwhile, and returns to the poll loop once it is answered. So the number of threads follows the
// number of commands in progress, not the number of open connections.
//
// Every end of a connection from this side is a lingering close: sending is shut down, and what
// still comes is discarded for a while. A close with unread input would make the system reset the
// connection, and the last reply could be lost with it. Commands that come meanwhile are not
// executed, so the client may safely send them elsewhere.
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

class ClientServer {
 public:
  struct Limits {
    std::size_t connections = 1;  // open at once
    // For each command to come whole: the first counted from the connection's start, others from
    // their first byte. A total, so that a client that trickles gains nothing over a silent one.
    std::chrono::milliseconds command{2000};
    std::chrono::milliseconds idle{2000};  // between two commands
    // Idle connections that have submitted a message; the longest idle is closed beyond that.
    // Clients may be allowed only so many connections and leave each open after one message.
    std::size_t max_idle = SIZE_MAX;
    // How long a connection must have been idle before a new one may take its place, once all are
    // in use: before its first valid message, and after it.
    std::chrono::milliseconds min_idle_before_first_message{100};
    std::chrono::milliseconds min_idle{200};
    // In a row; the connection is closed then. An invalid command costs as much as a message, and a
    // client may pipeline hundreds.
    std::size_t max_invalid_commands = 16;
    std::size_t workers = 32;  // threads that execute commands; more connections wait for one
  };

  // Accepts from the listener until it is destroyed. The acceptor is called by the workers; it and
  // the buffers must outlive the server. Throws std::runtime_error if the system can't provide the
  // threads or descriptors.
  ClientServer(Socket listener, const Limits& limits, MessageAcceptor& acceptor,
               BufferPool& buffers);
  // Answers the commands that workers have begun, then closes all connections.
  ~ClientServer();

  // Any thread may call what follows.

  // From now on each connection is closed once its commands are answered. New connections are still
  // accepted, for one round of commands each.
  void Drain();
  // In standby, connections are closed as in Drain, so that clients go elsewhere; PING is answered
  // with an error at once, and MSG.PUT is rejected after ClientCommands::kAcceptedInStandby.
  void StandBy(bool stand_by);
  // Connections that wait for a command to begin. One that was answered is among them once its
  // worker has returned it, which may be after the client has read the reply.
  [[nodiscard]] std::size_t idle_connections() const;

 private:
  // ---- the poll loop's, with the mutex held ----
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

  // ---- the poll loop's or a worker's, with the mutex held ----
  [[nodiscard]] bool ClosesBetweenCommands() const { return draining_ || standby_.is_on(); }
  void EvictExcessIdle(SteadyTime now);
  bool CloseIfIdle(ClientConnection& connection, CloseReason reason);
  void BeginLingeringClose(ClientConnection& connection, CloseReason reason);
  void CloseWithoutPollLoop(ClientConnection& connection, CloseReason reason, SteadyTime deadline);
  void Rearm(ClientConnection& connection);
  void RearmUnwatched();
  void Remove(ClientConnection& connection, CloseReason reason);

  // ---- a worker's, without the mutex ----
  void ServeCommands(ClientConnection& connection);

  const Limits limits_;
  BufferPool& buffers_;
  Socket listener_;
  Poller poller_;
  WakeupEvent wakeup_;
  StandbySwitch standby_;
  const ClientCommands commands_;

  mutable std::mutex mutex_;  // guards what follows, and all connections that are not being served
  bool draining_ = false;
  bool stopping_ = false;
  ClientConnectionTable connections_;
  std::set<ClientConnectionId> unwatched_;  // the poller could not be told of their next input

  // Destroyed first, the poll loop before the workers.
  ThreadPool<ClientConnection*> workers_;
  Thread poll_thread_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_CLIENT_SERVER_HPP_
