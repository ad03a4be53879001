// The sockets of the name server: UDP and TCP on one address, NOTIFY messages to secondaries, and
// injected faults, since it simulates foreign name servers in tests and rehearsals.
//
// One thread reads datagrams, one polls all TCP connections, and a small pool answers the requests
// on them. One mutex guards all zones; an update holds it until the change is durable on disk.
#ifndef BRASSFRONT_NAMESERVER_SERVER_HPP_
#define BRASSFRONT_NAMESERVER_SERVER_HPP_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "concurrency/thread.hpp"
#include "concurrency/thread_pool.hpp"
#include "nameserver/responder.hpp"
#include "net/socket.hpp"

namespace brassfront::nameserver {

// Injected faults of a name server. They may be changed at any time.
struct Faults {
  bool quiet = false;                           // requests are read but not answered
  std::chrono::milliseconds delay{0};           // before each answer
  bool refuse = false;                          // every answer is SERVFAIL
  bool truncate = false;                        // every answer over UDP has TC set
  std::optional<std::uint32_t> claimed_serial;  // serial in SOA answers instead of the real one
  bool half_transfers = false;                  // the stream is closed in the middle of an answer
  bool garbage = false;                         // answers consist of meaningless bytes
  bool notices = true;                          // false: no NOTIFY messages are sent

  [[nodiscard]] bool any() const {
    return quiet || delay.count() > 0 || refuse || truncate || claimed_serial || half_transfers ||
           garbage;
  }
};

class Server {
 public:
  struct Options {
    std::string address = "127.0.0.1:0";  // IPv4:PORT
    std::vector<std::string> notify;      // IPv4:PORT of secondaries
    std::size_t max_connections = 100;
    std::chrono::seconds idle{10};  // a connection without a request is closed after this time
  };
  // Called with the zones' mutex locked.
  using OnNotice = std::function<void(const dns::Name& zone, std::optional<std::uint32_t> serial)>;
  using OnUpdate = std::function<void(const dns::Zone& zone, const dns::Change& change)>;

  // Starts to listen. Throws std::runtime_error on failure. The mutex guards the responder and its
  // zones.
  Server(Options options, Responder& responder, std::mutex& mutex);
  ~Server();

  [[nodiscard]] const std::string& address() const { return address_; }
  void SetFaults(const Faults& faults);
  void OnNotices(OnNotice take);
  void OnUpdates(OnUpdate take);
  // Sends a NOTIFY about the zone to all secondaries.
  void Announce(const dns::Name& zone);
  [[nodiscard]] std::uint64_t answered() const { return answered_; }

 private:
  struct Connection {
    Socket socket;
    dns::StreamReader reader;
    std::string peer;
    SteadyTime until;
    std::size_t exchanges = 0;
  };
  struct Notice {
    dns::Name zone;
    SteadyTime due;
    std::chrono::milliseconds interval{};
    int tries_left = 0;
    std::uint16_t id = 0;
  };

  using Connections = std::vector<std::shared_ptr<Connection>>;
  struct OutgoingNotice {
    std::string secondary;  // its address
    std::string bytes;
  };

  void ServeDatagrams();
  void ServeStreams();
  Connections AwaitStreams(Connections idle);
  void AcceptStreams(Connections& idle);
  bool AnswerOnStream(Connection& connection, std::string_view message);
  void ServeConnection(std::shared_ptr<Connection> connection);
  void SendNotices();
  std::vector<OutgoingNotice> TakeDueNotices(SteadyTime& next);
  void SendNotice(const OutgoingNotice& notice);
  void Close(const Connection& connection, const char* reason);
  // Returns the messages of the answer, with the faults applied; empty if nothing is to be sent.
  std::vector<std::string> Answers(std::string_view bytes, bool stream, const Faults& faults);
  Faults FaultsNow();
  void WakeStreams();

  const Options options_;
  Responder& responder_;
  std::mutex& mutex_;
  std::string address_;
  Socket datagrams_;
  Socket listener_;
  int wake_ = -1;  // an eventfd, signaled when a connection is returned or the server stops
  std::atomic<bool> stopping_ = false;
  std::atomic<std::uint64_t> answered_ = 0;

  std::mutex state_mutex_;  // guards the members below, up to open_
  std::condition_variable state_changed_;
  Faults faults_;
  OnNotice on_notice_;
  OnUpdate on_update_;
  std::vector<std::shared_ptr<Connection>> returned_;
  std::map<std::string, std::vector<Notice>> due_notices_;  // by secondary
  bool announced_ = false;  // since the due notices were last collected
  std::size_t open_ = 0;

  std::unique_ptr<ThreadPool<std::shared_ptr<Connection>>> threads_;
  Thread datagram_thread_;
  Thread stream_thread_;
  Thread notice_thread_;
};

}  // namespace brassfront::nameserver

#endif  // BRASSFRONT_NAMESERVER_SERVER_HPP_
