// The sender side: takes clients' connections and speaks RESP2 with them.
//
// One thread, the lobby, waits for all clients and reads from them. A connection with a whole
// command goes to a worker, which may wait for the engine, and comes back once it is answered. So
// threads follow the commands being answered, not the connections that stand.
#ifndef BRASSFRONT_NET_CLIENT_SERVER_HPP_
#define BRASSFRONT_NET_CLIENT_SERVER_HPP_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "acceptance/message_acceptor.hpp"
#include "concurrency/thread.hpp"
#include "concurrency/thread_pool.hpp"
#include "net/buffer_pool.hpp"
#include "net/socket.hpp"
#include "protocol/resp.hpp"

namespace brassfront {

class ClientServer {
 public:
  struct Limits {
    std::size_t connections = 1;  // at once
    // For each command to come whole: the first from connecting on, others from their first byte
    // on. A total, so that a client that trickles is no better off than one that is silent.
    std::chrono::milliseconds command{2000};
    std::chrono::milliseconds idle{2000};  // between two commands
    // Idle ones kept of those that have handed in an request. Guards against clients that may open
    // only so many connections, and leave each open after one message.
    std::size_t most_idle = SIZE_MAX;
    // What newcomers take the place of, once all are taken: the longest idle of those that have
    // handed in no good request, and else the longest idle of all; each for so long at least.
    std::chrono::milliseconds min_idle_before_first_message{100};
    std::chrono::milliseconds min_idle{200};
    // Commands in a row that could not be used: then the connection is closed. Guards against a
    // client that sends hundreds at once, each of which costs as much as a message.
    std::size_t max_invalid_commands = 16;
    std::size_t workers = 32;  // commands being answered at once; more wait
  };

  // Takes connections from the listener until it is destroyed. Throws std::runtime_error where the
  // system has no room for its threads or descriptors.
  ClientServer(Socket listener, const Limits& limits, MessageAcceptor& acceptor,
               BufferPool& buffers);
  ~ClientServer();

  // From now on each connection is closed between two requests; new ones get one request.
  void Drain();
  // The same, until it is told otherwise, so that clients go elsewhere: PING is answered with an
  // error at once, and hand-ins are deferred once kTakenInStandby has passed.
  void StandBy(bool stand_by);
  static constexpr std::chrono::milliseconds kTakenInStandby{1000};

 private:
  using ConnectionId = std::uint64_t;  // never reused
  using Order = std::set<std::pair<SteadyTime, ConnectionId>>;

  // Waiting: the poll loop's. Serving: a worker's. Leaving: the lobby's, and what still comes is passed
  // over, so that the last reply is not overtaken by a reset.
  enum class State { kWaiting, kServing, kLingering };

  struct Connection {
    ConnectionId id = 0;
    Socket socket;
    RespReader reader{};
    State state = State::kWaiting;
    SteadyTime idle_since{};  // connected, or its last command was answered
    SteadyTime deadline{};    // of what it waits for
    std::size_t exchanges = 0;
    bool has_submitted = false;        // has handed in a good request
    std::size_t discarded_bytes = 0;   // bytes, while leaving
    const char* close_reason = "";     // the reason
    std::string replies{};             // not written yet, of commands that came together
    std::size_t invalid_commands = 0;  // in a row

    // Waits for a first command, or for a further one to begin.
    [[nodiscard]] bool IsIdle() const { return exchanges == 0 || reader.between_commands(); }
  };

  // ---- the poll loop's, under the lock ----
  void RunPollLoop();
  void AcceptConnections();
  bool EvictOne(SteadyTime now);
  void EvictExcessIdle(SteadyTime now);
  bool CloseIfIdle(ConnectionId id, const char* reason);
  bool Read(Connection& connection);
  void CloseExpired(SteadyTime now);
  bool ClosesBetweenCommands() const { return draining_ || standing_by_; }
  void CloseIdleForDrain();
  void Schedule(Connection& connection, SteadyTime deadline);
  void Unschedule(Connection& connection);
  void WatchInput(Connection& connection, int how);
  void BeginLingeringClose(Connection& connection, const char* reason);
  void LingerAndRemove(Connection& connection, const char* reason, SteadyTime until);
  bool FinishOldestLinger();
  void Remove(Connection& connection, const char* reason);

  // ---- a worker's; the connection is its own meanwhile ----
  void ServeCommands(Connection& connection);
  bool ExecutePendingCommands(Connection& connection, const char*& reason);
  bool Execute(Connection& connection, RespCommand& command, const char*& reason);
  bool Submit(Connection& connection, RespCommand& command, const char*& reason);
  bool HasStoodByFor(std::chrono::milliseconds duration);
  bool AppendReply(Connection& connection, const std::string& reply);
  bool ReplyInvalid(Connection& connection, const std::string& reply, const char*& reason);
  bool FlushReplies(Connection& connection);

  const Limits limits_;
  MessageAcceptor& acceptor_;
  BufferPool& buffers_;
  Socket listener_;
  Socket epoll_;   // epoll
  Socket wakeup_;  // eventfd

  std::mutex mutex_;  // guards what follows, and all connections that are not being served
  bool draining_ = false;
  std::atomic<bool> standing_by_{false};  // read without the lock as well
  SteadyTime standby_since_{};
  bool stopping_ = false;
  ConnectionId next_id_ = 0;
  std::unordered_map<ConnectionId, std::unique_ptr<Connection>> connections_;
  Order by_deadline_;  // all that wait or leave
  Order idle_before_first_message_,
      idle_after_first_message_;  // of those that wait, the longest first
  Order lingering_;               // of those, the one due first leads

  ThreadPool<Connection*> workers_;
  Thread poll_thread_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_CLIENT_SERVER_HPP_
