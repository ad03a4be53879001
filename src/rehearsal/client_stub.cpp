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

// Delay before a message that received no answer is submitted to another forwarder.
constexpr Time kRetryAfterSilence = std::chrono::milliseconds(420);
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

// Returns pseudo-random bytes, always the same for the same message.
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

// One connection of a client, with one request at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(ClientStub& owner, std::size_t forwarder, std::uint64_t incarnation)
      : owner_(owner),
        context_(owner.context_),
        forwarder_(forwarder),
        incarnation_(incarnation),
        socket_(context_.io),
        timer_(context_.io),
        reader_(redisReaderCreate(), redisReaderFree),
        open_connections_(owner_.open_connections_) {
    owner_.max_connections_ = std::max(owner_.max_connections_, ++*open_connections_);
  }
  ~ClientConnection() { --*open_connections_; }

  void ConnectAndSend(const tcp::endpoint& to, SubmissionId submission, std::string command) {
    Begin(submission, std::move(command));
    socket_.async_connect(to, [self = shared_from_this(), submission](error_code error) {
      if (self->submission_ != submission || self->context_.closed) return;
      if (error) return self->Fail();
      error_code ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->Write();
    });
  }

  void SendOnIdle(SubmissionId submission, std::string command) {
    used_before_ = true;
    Begin(submission, std::move(command));
    Write();
  }

  // Returns whether the other side has closed the idle connection.
  bool IsStale() {
    if (!socket_.is_open()) return true;
    char byte = 0;
    error_code error;
    socket_.non_blocking(true, error);
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error != asio::error::would_block;
  }
  std::uint64_t incarnation() const { return incarnation_; }
  void Close() {
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

 private:
  void Begin(SubmissionId submission, std::string command) {
    submission_ = submission;
    command_ = std::move(command);
    got_bytes_ = false;
    timer_.expires_after(context_.scenario.clients.answer_within);
    timer_.async_wait([self = shared_from_this(), submission](error_code error) {
      if (error || self->submission_ != submission || self->context_.closed) return;
      self->submission_ = kUnknownSubmission;
      self->Close();
      self->owner_.Unanswered(submission);
    });
  }

  void Write() {
    asio::async_write(
        socket_, asio::buffer(command_),
        [self = shared_from_this(), submission = submission_](error_code error, std::size_t) {
          if (self->submission_ != submission || self->context_.closed) return;
          if (error) return self->Fail();
          self->Read();
        });
  }

  void Read() {
    socket_.async_read_some(
        asio::buffer(bytes_),
        [self = shared_from_this(), submission = submission_](error_code error, std::size_t n) {
          if (self->submission_ != submission || self->context_.closed) return;
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
    const SubmissionId submission = std::exchange(submission_, kUnknownSubmission);
    timer_.cancel();
    auto& target = owner_.targets_[forwarder_];
    if (target.incarnation == incarnation_) target.idle.push_back(shared_from_this());
    owner_.Answered(submission, text, is_error);
  }

  // The connection ended. If it was idle before, it may have been closed just as the request was
  // sent, so the request is sent once more on a new connection.
  void Fail() {
    const SubmissionId submission = std::exchange(submission_, kUnknownSubmission);
    Close();
    if (used_before_ && !got_bytes_) return owner_.Send(submission, false, false);
    owner_.Unanswered(submission);
  }

  ClientStub& owner_;
  RunContext& context_;
  const std::size_t forwarder_;
  const std::uint64_t incarnation_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::unique_ptr<redisReader, void (*)(redisReader*)> reader_;
  const std::shared_ptr<std::size_t> open_connections_;  // may outlive the ClientStub
  std::array<char, kReadBytes> bytes_{};
  std::string command_;
  SubmissionId submission_ = kUnknownSubmission;
  bool used_before_ = false, got_bytes_ = false;
};

ClientStub::ClientStub(RunContext& context)
    : context_(context), targets_(context.scenario.forwarders.count) {}
ClientStub::~ClientStub() = default;

void ClientStub::Ready(std::size_t forwarder, const tcp::endpoint& address) {
  Target& target = targets_[forwarder];
  target.address = address;
  target.alive = true;
  ++target.incarnation;
  target.idle.clear();
}

void ClientStub::Dead(std::size_t forwarder) {
  const std::uint64_t incarnation = targets_[forwarder].incarnation;
  context_.At(context_.Now() + context_.scenario.notice, [this, forwarder, incarnation] {
    if (targets_[forwarder].incarnation == incarnation) targets_[forwarder].alive = false;
  });
}

void ClientStub::Play(const Plan& plan) {
  arrivals_ = plan.arrivals;
  submission_counts_.resize(arrivals_.size());
  retries_.resize(arrivals_.size());
  finished_.resize(arrivals_.size());
  for (const Arrival& arrival : arrivals_) {
    context_.At(arrival.at, [this, &arrival] { Submit(arrival, 0, context_.Now(), false); });
  }
}

void ClientStub::Submit(const Arrival& arrival, std::size_t sequence, Time first, bool again) {
  const auto submission = static_cast<SubmissionId>(context_.submissions.size());
  rehearsal::Submission h;
  h.id = WireId(context_.seed, arrival.number, sequence);
  h.key = WireKey(context_.seed, arrival.number);
  h.body = BodyOf(context_.seed, arrival.number, context_.scenario.clients.body);
  h.origin = arrival.number;
  h.partner = arrival.partner;
  h.merchant = arrival.merchant;
  h.first = first;
  h.deadline = first + context_.scenario.message_class.deadline;
  // The front distributes messages in turn over the forwarders that it believes to be alive, except
  // for those that `skew` sends to the first forwarder.
  due_to_first_ += context_.scenario.clients.skew;
  const bool first_alone = due_to_first_ >= 1 && targets_[0].alive;
  if (due_to_first_ >= 1) due_to_first_ -= 1;
  for (std::size_t i = 0; i < targets_.size() && !first_alone; ++i) {
    next_target_ = (next_target_ + 1) % targets_.size();
    if (targets_[next_target_].alive) break;
  }
  h.forwarder = first_alone ? 0 : next_target_;
  context_.by_wire_id[h.id] = submission;
  Event event{.what = Event::What::kSubmitted};
  event.submission = submission;
  event.forwarder = h.forwarder;
  event.origin = h.origin;
  event.partner = h.partner;
  event.merchant = h.merchant;
  event.deadline = h.deadline;
  context_.submissions.push_back(std::move(h));
  context_.Emit(std::move(event));
  Send(submission, again, true);
}

void ClientStub::Send(SubmissionId submission, bool again, bool may_reuse) {
  const rehearsal::Submission& h = context_.submissions[submission];
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(h.deadline - context_.Now());
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
    if (connection->incarnation() != target.incarnation || connection->IsStale()) continue;
    return connection->SendOnIdle(submission, std::move(command));
  }
  std::make_shared<ClientConnection>(*this, h.forwarder, target.incarnation)
      ->ConnectAndSend(target.address, submission, std::move(command));
}

void ClientStub::ScheduleRetry(SubmissionId submission, Time after, bool again) {
  const std::uint64_t origin = context_.submissions[submission].origin;
  if (finished_[origin] || retries_[origin] >= context_.scenario.clients.retries) return;
  // A keyed message that may have taken effect is not submitted again, because the partner's
  // deduplication window may have passed.
  if (context_.auditor.MayHaveRun(submission)) return;
  const Time first = context_.submissions[submission].first;
  const Time at = context_.Now() + after;
  if (at >= context_.submissions[submission].deadline) return;
  ++retries_[origin];
  context_.At(at, [this, origin, first, again] {
    Submit(arrivals_[origin], ++submission_counts_[origin], first, again);
  });
}

void ClientStub::Answered(SubmissionId submission, const std::string& text, bool is_error) {
  Event event{.what = Event::What::kAccepted};
  event.submission = submission;
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
  ScheduleRetry(submission, after, false);
}

void ClientStub::Unanswered(SubmissionId submission) {
  context_.submissions[submission].unanswered = true;
  Event event{.what = Event::What::kUnanswered};
  event.submission = submission;
  context_.Emit(std::move(event));
  ScheduleRetry(submission, kRetryAfterSilence, true);
}

void ClientStub::Noticed(SubmissionId submission, bool deferred, std::optional<Time> wait) {
  if (!deferred) {
    finished_[context_.submissions[submission].origin] = true;  // final: the client does not retry
    return;
  }
  Time after = context_.scenario.clients.pause;
  if (wait && *wait > Time{} && context_.scenario.clients.heed_waits) after = *wait;
  ScheduleRetry(submission, after, false);
}

void ClientStub::MachineLost(std::size_t forwarder) {
  for (SubmissionId submission = 0; submission < context_.submissions.size(); ++submission) {
    if (context_.submissions[submission].forwarder == forwarder &&
        context_.auditor.IsPending(submission)) {
      ScheduleRetry(submission, kRetryAfterSilence, true);
    }
  }
}

}  // namespace brassfront::rehearsal
