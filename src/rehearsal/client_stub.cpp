#include "rehearsal/client_stub.hpp"

#include <hiredis/hiredis.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <charconv>
#include <utility>

namespace brassfront::rehearsal {

using boost::system::error_code;

namespace {

// What a dead forwarder did not answer comes to another one after so long.
constexpr Time kAfterSilence = std::chrono::milliseconds(420);
constexpr std::size_t kReadBytes = 512;

std::string Command(const std::vector<std::string>& words) {
  std::vector<const char*> texts;
  std::vector<std::size_t> lengths;
  for (const std::string& word : words) {
    texts.push_back(word.data());
    lengths.push_back(word.size());
  }
  char* out = nullptr;
  const auto n =
      redisFormatCommandArgv(&out, static_cast<int>(words.size()), texts.data(), lengths.data());
  std::string command(out, n > 0 ? static_cast<std::size_t>(n) : 0);
  redisFreeCommand(out);
  return command;
}

// Bytes of any value, the same for the same message.
std::string BodyOf(std::uint64_t seed, std::uint64_t number, std::size_t bytes) {
  std::string body(bytes, '\0');
  std::uint64_t state = seed ^ (number * 0x9E3779B97F4A7C15);
  for (char& c : body) {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    c = static_cast<char>(state >> 56);
  }
  return body;
}

}  // namespace

// One connection of a client's: one request at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(ClientStub& owner, std::size_t forwarder, std::uint64_t life)
      : owner_(owner),
        context_(owner.context_),
        forwarder_(forwarder),
        life_(life),
        socket_(context_.io),
        timer_(context_.io),
        reader_(redisReaderCreate(), redisReaderFree),
        standing_(owner_.standing_) {
    owner_.max_connections_ = std::max(owner_.max_connections_, ++*standing_);
  }
  ~ClientConnection() { --*standing_; }

  void ConnectAndSend(const tcp::endpoint& to, PutId put, std::string command) {
    Begin(put, std::move(command));
    socket_.async_connect(to, [self = shared_from_this(), put](error_code error) {
      if (self->put_ != put || self->context_.closed) return;
      if (error) return self->Fail();
      error_code ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->Write();
    });
  }

  void SendOnIdle(PutId put, std::string command) {
    used_before_ = true;
    Begin(put, std::move(command));
    Write();
  }

  // Closed by the other side meanwhile.
  bool IsStale() {
    if (!socket_.is_open()) return true;
    char byte = 0;
    error_code error;
    socket_.non_blocking(true, error);
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error != asio::error::would_block;
  }
  std::uint64_t life() const { return life_; }
  void Close() {
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

 private:
  void Begin(PutId put, std::string command) {
    put_ = put;
    command_ = std::move(command);
    got_bytes_ = false;
    timer_.expires_after(context_.scenario.clients.answer_within);
    timer_.async_wait([self = shared_from_this(), put](error_code error) {
      if (error || self->put_ != put || self->context_.closed) return;
      self->put_ = kUnknownPut;
      self->Close();
      self->owner_.Unanswered(put);
    });
  }

  void Write() {
    asio::async_write(socket_, asio::buffer(command_),
                      [self = shared_from_this(), put = put_](error_code error, std::size_t) {
                        if (self->put_ != put || self->context_.closed) return;
                        if (error) return self->Fail();
                        self->Read();
                      });
  }

  void Read() {
    socket_.async_read_some(asio::buffer(bytes_), [self = shared_from_this(), put = put_](
                                                      error_code error, std::size_t n) {
      if (self->put_ != put || self->context_.closed) return;
      if (error) return self->Fail();
      self->got_bytes_ = true;
      redisReaderFeed(self->reader_.get(), self->bytes_.data(), n);
      void* found = nullptr;
      if (redisReaderGetReply(self->reader_.get(), &found) != REDIS_OK) return self->Fail();
      if (found == nullptr) return self->Read();
      const std::unique_ptr<redisReply, void (*)(void*)> reply(static_cast<redisReply*>(found),
                                                               freeReplyObject);
      self->Done(std::string(reply->str == nullptr ? "" : reply->str, reply->len),
                 reply->type == REDIS_REPLY_ERROR);
    });
  }

  void Done(const std::string& text, bool is_error) {
    const PutId put = std::exchange(put_, kUnknownPut);
    timer_.cancel();
    auto& target = owner_.targets_[forwarder_];
    if (target.life == life_) target.idle.push_back(shared_from_this());
    owner_.Answered(put, text, is_error);
  }

  // It ended. A connection that was idle may have been closed as the request came: then the request
  // goes out once more on a new one.
  void Fail() {
    const PutId put = std::exchange(put_, kUnknownPut);
    Close();
    if (used_before_ && !got_bytes_) return owner_.Send(put, false, false);
    owner_.Unanswered(put);
  }

  ClientStub& owner_;
  RunContext& context_;
  const std::size_t forwarder_;
  const std::uint64_t life_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::unique_ptr<redisReader, void (*)(redisReader*)> reader_;
  const std::shared_ptr<std::size_t> standing_;  // outlives its owner
  std::array<char, kReadBytes> bytes_{};
  std::string command_;
  PutId put_ = kUnknownPut;
  bool used_before_ = false, got_bytes_ = false;
};

ClientStub::ClientStub(RunContext& context)
    : context_(context), targets_(context.scenario.forwarders.count) {}
ClientStub::~ClientStub() = default;

void ClientStub::Ready(std::size_t forwarder, const tcp::endpoint& address) {
  Target& target = targets_[forwarder];
  target.address = address;
  target.known = true;
  ++target.life;
  target.idle.clear();
}

void ClientStub::Dead(std::size_t forwarder) {
  const std::uint64_t life = targets_[forwarder].life;
  context_.At(context_.Now() + context_.scenario.notice, [this, forwarder, life] {
    if (targets_[forwarder].life == life) targets_[forwarder].known = false;
  });
}

void ClientStub::Play(const Plan& plan) {
  arrivals_ = plan.arrivals;
  hand_ins_of_.resize(arrivals_.size());
  retries_.resize(arrivals_.size());
  over_.resize(arrivals_.size());
  for (const Arrival& arrival : arrivals_) {
    context_.At(arrival.at, [this, &arrival] { Submission(arrival, 0, context_.Now(), false); });
  }
}

void ClientStub::Submission(const Arrival& arrival, std::size_t submission, Time first,
                            bool again) {
  const auto put = static_cast<PutId>(context_.submissions.size());
  rehearsal::Submission h;
  h.id = WireId(context_.seed, arrival.number, submission);
  h.key = WireKey(context_.seed, arrival.number);
  h.body = BodyOf(context_.seed, arrival.number, context_.scenario.clients.body);
  h.origin = arrival.number;
  h.partner = arrival.partner;
  h.merchant = arrival.merchant;
  h.first = first;
  h.until = first + context_.scenario.message_class.deadline;
  // The front deals messages out over the forwarders that it takes for alive, but for those that
  // come to the first one alone.
  to_first_ += context_.scenario.clients.skew;
  const bool first_alone = to_first_ >= 1 && targets_[0].known;
  if (to_first_ >= 1) to_first_ -= 1;
  for (std::size_t i = 0; i < targets_.size() && !first_alone; ++i) {
    next_target_ = (next_target_ + 1) % targets_.size();
    if (targets_[next_target_].known) break;
  }
  h.forwarder = first_alone ? 0 : next_target_;
  context_.by_wire_id[h.id] = put;
  Event event{.what = Event::What::kSubmitted};
  event.put = put;
  event.forwarder = h.forwarder;
  event.origin = h.origin;
  event.partner = h.partner;
  event.merchant = h.merchant;
  event.until = h.until;
  context_.submissions.push_back(std::move(h));
  context_.Emit(std::move(event));
  Send(put, again, true);
}

void ClientStub::Send(PutId put, bool again, bool may_reuse) {
  const rehearsal::Submission& h = context_.submissions[put];
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(h.until - context_.Now());
  std::string fields = "c=" + context_.scenario.message_class.name +
                       ",t=" + context_.scenario.merchants[h.merchant].name +
                       ",d=" + std::to_string(std::max<std::int64_t>(0, left.count())) +
                       ",k=" + h.key +
                       ",dest=" + std::to_string(context_.scenario.partners[h.partner].destination);
  if (again) fields += ",again=1";
  std::string command = Command({"MSG.PUT", "0000000000000000", h.id, fields, h.body});
  Target& target = targets_[h.forwarder];
  while (may_reuse && !target.idle.empty()) {
    const auto connection = std::move(target.idle.back());
    target.idle.pop_back();
    if (connection->life() != target.life || connection->IsStale()) continue;
    return connection->SendOnIdle(put, std::move(command));
  }
  std::make_shared<ClientConnection>(*this, h.forwarder, target.life)
      ->ConnectAndSend(target.address, put, std::move(command));
}

void ClientStub::ComeAgain(PutId put, Time after, bool again) {
  const std::uint64_t origin = context_.submissions[put].origin;
  if (over_[origin] || retries_[origin] >= context_.scenario.clients.retries) return;
  // A keyed message that may have accepted effect is not sent again: its partner's window may pass.
  if (context_.auditor.MayHaveRun(put)) return;
  const Time first = context_.submissions[put].first;
  const Time at = context_.Now() + after;
  if (at >= context_.submissions[put].until) return;
  ++retries_[origin];
  context_.At(at, [this, origin, first, again] {
    Submission(arrivals_[origin], ++hand_ins_of_[origin], first, again);
  });
}

void ClientStub::Answered(PutId put, const std::string& text, bool is_error) {
  Event event{.what = Event::What::kAccepted};
  event.put = put;
  if (!is_error) return context_.Emit(std::move(event));
  if (text.rfind("BUSY", 0) != 0) {
    event.what = Event::What::kRejected;
    return context_.Emit(std::move(event));
  }
  event.what = Event::What::kRefused;
  std::int64_t ms = 0;
  if (text.size() > 5) std::from_chars(text.data() + 5, text.data() + text.size(), ms);
  Time after = context_.scenario.clients.pause;
  if (ms > 0) {
    event.wait = std::chrono::milliseconds(ms);
    if (context_.scenario.clients.heed_waits) after = *event.wait;
  }
  context_.Emit(std::move(event));
  ComeAgain(put, after, false);
}

void ClientStub::Unanswered(PutId put) {
  context_.submissions[put].unanswered = true;
  Event event{.what = Event::What::kUnanswered};
  event.put = put;
  context_.Emit(std::move(event));
  ComeAgain(put, kAfterSilence, true);
}

void ClientStub::Noticed(PutId put, bool deferred, std::optional<Time> wait) {
  if (!deferred) {
    over_[context_.submissions[put].origin] = true;  // final: the client does not come again
    return;
  }
  Time after = context_.scenario.clients.pause;
  if (wait && *wait > Time{} && context_.scenario.clients.heed_waits) after = *wait;
  ComeAgain(put, after, false);
}

void ClientStub::MachineLost(std::size_t forwarder) {
  for (PutId put = 0; put < context_.submissions.size(); ++put) {
    if (context_.submissions[put].forwarder == forwarder && context_.auditor.IsHeld(put)) {
      ComeAgain(put, kAfterSilence, true);
    }
  }
}

}  // namespace brassfront::rehearsal
