#include "nameserver/server.hpp"

#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "nameserver/client.hpp"
#include "observe/log.hpp"
#include "system/retry.hpp"

namespace brassfront::nameserver {
namespace {

using observe::Concern;
using observe::Level;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Time before a NOTIFY is first sent again; it doubles with each try (RFC 1996 §3.6).
constexpr milliseconds kFirstNoticeInterval{200};
constexpr int kNoticeTries = 6;
constexpr std::size_t kStreamThreads = 8;
constexpr milliseconds kSendTimeout{5000};  // for one answer over a stream
constexpr int kBindTries = 50;              // a port that is free for TCP may be in use for UDP

constexpr const char* kLogSide = "zone side";
constexpr milliseconds kNoticeAnswerTimeout{50};
constexpr ssize_t kHeaderBytes = 12;  // of a DNS message

std::string NotifyMessage(const dns::Name& zone, std::uint16_t id) {
  dns::Message message;
  message.id = id;
  message.opcode = dns::Opcode::kNotify;
  message.authoritative = true;
  message.question = {{zone, dns::type::kSoa, dns::klass::kIn}};
  return Encode(message);
}

}  // namespace

Server::Server(Options options, Responder& responder, std::mutex& mutex)
    : options_(std::move(options)), responder_(responder), mutex_(mutex) {
  for (int attempt = 0; attempt < kBindTries && !datagrams_.is_open(); ++attempt) {
    const bool listening = RetryAtStart(SystemCall::kBind, [this] {
      listener_ = Listen(options_.address);
      return listener_.is_open();
    });
    if (!listening) break;
    address_ = LocalAddress(listener_);
    datagrams_ = BindDatagrams(address_);
    if (!datagrams_.is_open() && !options_.address.ends_with(":0")) break;
  }
  wake_ = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (!datagrams_.is_open() || wake_ < 0) {
    throw std::runtime_error("cannot listen on " + options_.address + ": " + std::strerror(errno));
  }
  SetNonBlocking(listener_);
  threads_ = std::make_unique<ThreadPool<std::shared_ptr<Connection>>>(
      "dns-answer",
      ThreadPool<std::shared_ptr<Connection>>::Size{1, kStreamThreads, milliseconds(2000)},
      [this](std::shared_ptr<Connection> connection) { ServeConnection(std::move(connection)); });
  datagram_thread_ = Thread::Require("dns-udp", [this] { ServeDatagrams(); });
  stream_thread_ = Thread::Require("dns-tcp", [this] { ServeStreams(); });
  notice_thread_ = Thread::Require("dns-notice", [this] { SendNotices(); });
}

Server::~Server() {
  stopping_ = true;
  {
    const std::lock_guard lock(state_mutex_);
    state_changed_.notify_all();
  }
  ShutDown(datagrams_.fd());
  WakeStreams();
  datagram_thread_.Join();
  stream_thread_.Join();
  notice_thread_.Join();
  threads_.reset();
  close(wake_);
}

void Server::SetFaults(const Faults& faults) {
  const std::lock_guard lock(state_mutex_);
  faults_ = faults;
  state_changed_.notify_all();
}

void Server::WakeStreams() {
  const std::uint64_t one = 1;
  (void)!write(wake_, &one, sizeof one);
}

Faults Server::FaultsNow() {
  const std::lock_guard lock(state_mutex_);
  return faults_;
}

void Server::OnNotices(OnNotice take) {
  const std::lock_guard lock(mutex_);
  on_notice_ = std::move(take);
}

void Server::OnUpdates(OnUpdate take) {
  const std::lock_guard lock(mutex_);
  on_update_ = std::move(take);
}

std::vector<std::string> Server::Answers(std::string_view bytes, bool stream,
                                         const Faults& faults) {
  if (faults.quiet) return {};
  if (faults.delay.count() > 0) {
    std::unique_lock lock(state_mutex_);
    state_changed_.wait_for(lock, faults.delay, [this] { return stopping_.load(); });
  }
  Responder::Reply reply;
  {
    const std::lock_guard lock(mutex_);
    responder_.ClaimSerial(faults.claimed_serial);
    reply = responder_.Answer(bytes, stream, SecondsNow());
    if (reply.changed != nullptr) {
      if (on_update_) on_update_(*reply.changed, *reply.change);
      Announce(reply.changed->origin());
    }
    if (reply.notified != nullptr && on_notice_) {
      on_notice_(*reply.notified, reply.notified_serial);
    }
  }
  ++answered_;
  observe::LogRateLimited(Concern::kZones, Level::kDebug, "dns", {{"did", reply.event}});
  for (std::string& message : reply.messages) {
    if (faults.garbage) message = std::string(message.size(), '\x5a');
    if (message.size() < 12) continue;
    if (faults.truncate && !stream) message[2] = static_cast<char>(message[2] | 2);
    if (faults.refuse) {
      message = Encode(
          ReplyTo(dns::Decode(bytes).message.value_or(dns::Message{}), dns::Rcode::kServFail));
    }
  }
  return std::move(reply.messages);
}

void Server::ServeDatagrams() {
  std::vector<char> buffer(dns::kMaxMessageBytes);
  while (!stopping_) {
    sockaddr_in peer{};
    socklen_t peer_size = sizeof peer;
    const ssize_t length = recvfrom(datagrams_.fd(), buffer.data(), buffer.size(), 0,
                                    reinterpret_cast<sockaddr*>(&peer), &peer_size);
    if (stopping_) break;
    if (length < 0) continue;
    const auto answers =
        Answers({buffer.data(), static_cast<std::size_t>(length)}, false, FaultsNow());
    for (const std::string& answer : answers) {
      sendto(datagrams_.fd(), answer.data(), answer.size(), MSG_NOSIGNAL,
             reinterpret_cast<const sockaddr*>(&peer), peer_size);
    }
  }
}

void Server::Close(const Connection& connection, const char* reason) {
  LogConnectionEnd(kLogSide, connection.peer, reason, connection.exchanges);
  const std::lock_guard lock(state_mutex_);
  --open_;
}

void Server::ServeStreams() {
  Connections idle;
  while (!stopping_) {
    idle = AwaitStreams(std::move(idle));
    {
      const std::lock_guard lock(state_mutex_);
      for (auto& connection : returned_) idle.push_back(std::move(connection));
      returned_.clear();
    }
    AcceptStreams(idle);
  }
  for (const auto& connection : idle) Close(*connection, "the server ends");
}

// Waits until a connection is readable and passes the readable ones to the pool. Closes those that
// have been idle for too long and returns the others.
Server::Connections Server::AwaitStreams(Connections idle) {
  std::vector<pollfd> wanted = {{listener_.fd(), POLLIN, 0}, {wake_, POLLIN, 0}};
  auto next = steady_clock::now() + options_.idle;
  for (const auto& connection : idle) {
    wanted.push_back({connection->socket.fd(), POLLIN, 0});
    next = std::min(next, connection->until);
  }
  const auto timeout = std::chrono::ceil<milliseconds>(next - steady_clock::now()).count();
  poll(wanted.data(), wanted.size(), static_cast<int>(std::max<std::int64_t>(timeout, 0)));
  if (wanted[1].revents != 0) {
    std::uint64_t count = 0;
    (void)!read(wake_, &count, sizeof count);
  }
  Connections still;
  for (std::size_t n = 0; n < idle.size(); ++n) {
    if (wanted[n + 2].revents != 0) {
      threads_->Submit(std::move(idle[n]));
    } else if (steady_clock::now() >= idle[n]->until) {
      Close(*idle[n], "idle");
    } else {
      still.push_back(std::move(idle[n]));
    }
  }
  return still;
}

void Server::AcceptStreams(Connections& idle) {
  while (!stopping_) {
    Socket socket = Accept(listener_);
    if (!socket.is_open()) return;
    const std::string peer = PeerAddress(socket);
    bool full = false;
    {
      const std::lock_guard lock(state_mutex_);
      full = open_ >= options_.max_connections;
      if (!full) ++open_;
    }
    if (full) {
      LogConnectionEnd(kLogSide, peer, "too many connections", 0);
      continue;
    }
    auto connection = std::make_shared<Connection>();
    connection->socket = std::move(socket);
    connection->peer = peer;
    connection->until = steady_clock::now() + options_.idle;
    idle.push_back(std::move(connection));
  }
}

void Server::ServeConnection(std::shared_ptr<Connection> connection) {
  std::array<char, 4096> buffer{};
  const auto length = connection->socket.ReceiveNow(buffer);
  if (length == 0 || (length < 0 && errno != EAGAIN)) {
    Close(*connection, length == 0 ? "closed by the client" : std::strerror(errno));
    return;
  }
  if (length > 0) connection->reader.Feed({buffer.data(), static_cast<std::size_t>(length)});
  auto& messages = connection->reader.messages();
  for (; !messages.empty() && !stopping_; messages.pop_front()) {
    if (!AnswerOnStream(*connection, messages.front())) return;
  }
  connection->until = steady_clock::now() + options_.idle;
  {
    const std::lock_guard lock(state_mutex_);
    returned_.push_back(std::move(connection));
  }
  WakeStreams();
}

// Returns false if the connection has been closed.
bool Server::AnswerOnStream(Connection& connection, std::string_view message) {
  const Faults faults = FaultsNow();
  auto answers = Answers(message, true, faults);
  bool half = false;
  if (faults.half_transfers) {
    const auto asked = dns::Decode(message).message;
    half = asked && asked->opcode == dns::Opcode::kQuery;
  }
  if (half && !answers.empty()) {
    answers.resize((answers.size() + 1) / 2);
    if (answers.size() == 1) answers[0].resize(answers[0].size() / 2);
  }
  const auto until = steady_clock::now() + kSendTimeout;
  for (const std::string& answer : answers) {
    // The length prefix of half an answer is made too large, as in a stream that breaks off.
    std::string framed = dns::WithLengthPrefix(answer);
    if (half) framed[0] = static_cast<char>(framed[0] | 0x40);
    if (!connection.socket.SendAll(framed, until)) {
      Close(connection, "the client does not read");
      return false;
    }
  }
  ++connection.exchanges;
  if (!half) return true;
  Close(connection, "half a transfer by order");
  return false;
}

void Server::Announce(const dns::Name& zone) {
  const std::lock_guard lock(state_mutex_);
  if (!faults_.notices) return;
  for (const std::string& secondary : options_.notify) {
    auto& notices = due_notices_[secondary];
    // A newer notice of the zone replaces the pending one.
    std::erase_if(notices, [&zone](const Notice& notice) { return notice.zone == zone; });
    notices.push_back({zone, steady_clock::now(), kFirstNoticeInterval, kNoticeTries, RandomId()});
  }
  announced_ = true;
  state_changed_.notify_all();
}

// Returns the notices that are due and schedules the next try of each. Lowers `next` to the time at
// which the earliest notice is due.
std::vector<Server::OutgoingNotice> Server::TakeDueNotices(SteadyTime& next) {
  std::vector<OutgoingNotice> due;
  const std::lock_guard lock(state_mutex_);
  announced_ = false;
  for (auto& [secondary, notices] : due_notices_) {
    std::erase_if(notices, [](const Notice& notice) { return notice.tries_left <= 0; });
    for (Notice& notice : notices) {
      if (notice.due <= steady_clock::now()) {
        due.push_back({secondary, NotifyMessage(notice.zone, notice.id)});
        notice.due = steady_clock::now() + notice.interval;
        notice.interval *= 2;
        --notice.tries_left;
      }
      next = std::min(next, notice.due);
    }
  }
  return due;
}

// Sends the notice and removes it if the secondary confirms it at once; otherwise it is sent again
// later.
void Server::SendNotice(const OutgoingNotice& notice) {
  const Socket to = ConnectDatagrams(notice.secondary);
  if (!to.is_open()) return;
  send(to.fd(), notice.bytes.data(), notice.bytes.size(), MSG_NOSIGNAL);
  if (!to.AwaitInput(steady_clock::now() + kNoticeAnswerTimeout)) return;
  std::array<char, 512> buffer{};
  const ssize_t length = recv(to.fd(), buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (length < kHeaderBytes) return;
  const auto id = dns::Get16({buffer.data(), kHeaderBytes}, 0);
  const std::lock_guard lock(state_mutex_);
  std::erase_if(due_notices_[notice.secondary], [id](const Notice& one) { return one.id == id; });
}

void Server::SendNotices() {
  while (!stopping_) {
    SteadyTime next = steady_clock::now() + std::chrono::hours(1);
    for (const OutgoingNotice& notice : TakeDueNotices(next)) SendNotice(notice);
    std::unique_lock lock(state_mutex_);
    state_changed_.wait_until(lock, next, [this] { return stopping_ || announced_; });
  }
}

}  // namespace brassfront::nameserver
