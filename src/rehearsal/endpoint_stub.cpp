#include "rehearsal/endpoint_stub.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace brassfront::rehearsal {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxBody = std::size_t{64} * 1024;
constexpr double kGarbledShare = 0.5;
constexpr double kDoubledShare = 0.5;
constexpr std::size_t kExhaustedOneIn = 8;  // of the calls to a partner that answers twice
constexpr std::size_t kMaxCopyDelayMs = 80;

std::uint64_t NextRandom(std::uint64_t& state) {
  state = state * 6364136223846793005ULL + 1442695040888963407ULL;  // Knuth's MMIX
  return state >> 33;
}

std::string Decode64(const std::string& text) {
  namespace base64 = boost::beast::detail::base64;
  std::string out(base64::decoded_size(text.size()), '\0');
  out.resize(base64::decode(out.data(), text.data(), text.size()).first);
  return out;
}

const char* ToString(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kOk:
      return "ok";
    case CallOutcome::kError:
      return "error";
    case CallOutcome::kGone:
      return "gone";
    case CallOutcome::kExhausted:
      return "exhausted";
    case CallOutcome::kNotRun:
      break;
  }
  return "later";
}

}  // namespace

// One connection from a forwarder. It reads a call, answers it, and reads the next.
class EndpointConnection : public std::enable_shared_from_this<EndpointConnection> {
 public:
  EndpointConnection(EndpointStub& owner, std::size_t endpoint, std::size_t forwarder,
                     tcp::socket socket)
      : owner_(owner),
        context_(owner.context_),
        number_(endpoint),
        forwarder_(forwarder),
        socket_(std::move(socket)) {
    Endpoint& e = owner_.at(number_);
    connections_ = e.connections;
    over_connection_limit_ = *connections_ >= PartnerOfEndpoint().connections;
    if (!over_connection_limit_) ++*connections_;
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
  }
  ~EndpointConnection() {
    if (!over_connection_limit_) --*connections_;
  }

  void AwaitCall() {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
      if (error || self->context_.closed) return;
      self->ReadCall();
    });
  }

  // Closes the connection with a TCP reset, so that unread data is discarded on both sides.
  void Reset() {
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
    Cut();
  }

 private:
  struct Message {
    SubmissionId submission = kUnknownSubmission;
    std::string key;
    bool repeat = false;  // the partner drops it as a duplicate
  };

  const Partner& PartnerOfEndpoint() const {
    return context_.scenario.partners[owner_.at(number_).partner];
  }

  void ReadCall() {
    first_byte_ = context_.Now();
    parser_.emplace();
    parser_->body_limit(kMaxBody + 4096);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](error_code error, std::size_t) {
                       // usually closed between two calls
                       if (error || self->context_.closed) return;
                       self->HandleCall();
                     });
  }

  void HandleCall() {
    call_ = context_.next_call++;
    awaiting_answer_ = true;
    const auto& request = parser_->get();
    const std::string target(request.target());
    Event first{.what = Event::What::kFirstByte, .at = first_byte_};
    first.call = call_;
    first.forwarder = forwarder_;
    first.endpoint = number_;
    context_.Emit(std::move(first));
    messages_.clear();
    bool readable = true;
    if (target == "/events") {
      readable = AddMessage(std::string(request["X-Correlation-Id"]),
                            std::string(request["Idempotency-Key"]), request.body());
    } else if (target == "/events/bundle") {
      readable = AddBundle(request.body());
    } else if (target != "/-/healthy" && target != "/-/load") {
      readable = false;
    }
    Event event{.what = Event::What::kCall};
    event.call = call_;
    event.forwarder = forwarder_;
    event.endpoint = number_;
    event.partner = owner_.at(number_).partner;
    for (const Message& m : messages_) event.parts.push_back({m.submission, CallOutcome::kNotRun});
    context_.Emit(std::move(event));
    if (!readable) return Answer(400, {}, CallOutcome::kNotRun);
    if (over_connection_limit_) {
      close_after_answer_ = true;
      return Answer(503, {}, CallOutcome::kNotRun);
    }
    WatchForEnd();
    const Time delay = calls_++ == 0 ? PartnerOfEndpoint().handshake : Time{};
    if (delay == Time{}) return AskModel();
    context_.At(context_.Now() + delay, [self = shared_from_this()] { self->AskModel(); });
  }

  bool AddMessage(const std::string& id, const std::string& key, const std::string& body) {
    const auto it = context_.by_wire_id.find(id);
    if (it == context_.by_wire_id.end()) {
      messages_.push_back({kUnknownSubmission, key});
      return false;
    }
    Submission& submission = context_.submissions[it->second];
    messages_.push_back({it->second, key});
    ++submission.attempts;
    if (submission.key == key && submission.body == body) return true;
    messages_.back().submission = kUnknownSubmission;  // key or body differ from what was submitted
    return false;
  }

  bool AddBundle(const std::string& body) {
    const auto items = nlohmann::json::parse(body, nullptr, false);
    if (!items.is_array() || items.empty() || items.size() > PartnerOfEndpoint().batch) {
      return false;
    }
    for (const auto& item : items) {
      if (!item.is_object()) return false;
      if (!AddMessage(item.value("id", ""), item.value("key", ""),
                      Decode64(item.value("body", "")))) {
        return false;
      }
    }
    return true;
  }

  // The forwarder may cancel the call by closing the connection or shutting down its sending side.
  void WatchForEnd() {
    socket_.async_wait(
        tcp::socket::wait_read, [self = shared_from_this(), call = call_](error_code error) {
          if (self->call_ != call || !self->awaiting_answer_) return;
          if (!error) {
            char byte = 0;
            error_code peeked;
            const std::size_t n =
                self->socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, peeked);
            if (!peeked && n > 0) return;  // the next call has arrived; it is read after the answer
          }
          self->Cut();
          error_code ignored;
          self->socket_.close(ignored);
        });
  }

  void Cut() {
    if (!std::exchange(awaiting_answer_, false)) return;
    Event event{.what = Event::What::kCut};
    event.call = call_;
    context_.Emit(std::move(event));
  }

  void AskModel() {
    Endpoint& endpoint = owner_.at(number_);
    PartnerModel& model = owner_.model(endpoint.partner);
    const Time now = context_.Now();
    PartnerModel::Status status =
        model.Call(now, std::max<std::size_t>(1, messages_.size()), forwarder_);
    if (status.collapsed) {
      Event event{.what = Event::What::kCollapsed};
      event.partner = endpoint.partner;
      event.recent_work = model.RecentWork();
      context_.Emit(std::move(event));
    }
    if (endpoint.outage == Outage::kSilent || endpoint.outage == Outage::kRefuse) return;
    if (endpoint.outage == Outage::kReset) return Reset();
    if (endpoint.outage == Outage::kShut) return Answer(503, {}, CallOutcome::kNotRun);
    switch (status.what) {
      case PartnerModel::What::kSilent:
        return;
      case PartnerModel::What::kReset:
        return Reset();
      case PartnerModel::What::kRefuse:
        if (messages_.empty()) {
          // The answer to a health check carries no wait.
          return Answer(503, {}, CallOutcome::kNotRun);
        }
        return Answer(status.wait ? 429 : 503, status.wait, CallOutcome::kNotRun,
                      status.above_limit);
      case PartnerModel::What::kServe:
        break;
    }
    if (RefusesFurtherAttempts()) return Answer(504, {}, CallOutcome::kExhausted);
    for (Message& m : messages_) m.repeat = model.IsRepeat(now, m.key);
    // The call runs at that time, whether or not the forwarder still waits for the answer.
    context_.At(std::max(status.at, now),
                [self = shared_from_this(), call = call_, messages = messages_] {
                  const std::vector<Event::Part> parts = self->RunAll(call, messages);
                  if (self->call_ == call && self->awaiting_answer_) self->AnswerRun(parts);
                });
  }

  [[nodiscard]] bool AnswersTwice() const {
    return owner_.doubled_share_[owner_.at(number_).partner] > 0;
  }

  // A partner that answers twice also refuses some calls for good. On a connection with an
  // unsolicited answer, the forwarder might read that one instead.
  [[nodiscard]] bool RefusesFurtherAttempts() {
    if (!AnswersTwice() || messages_.empty() || unsolicited_answers_ > 0) return false;
    return NextRandom(owner_.random_) % kExhaustedOneIn == 0;
  }

  std::vector<Event::Part> RunAll(CallId call, const std::vector<Message>& messages) {
    PartnerModel& model = owner_.model(owner_.at(number_).partner);
    std::vector<Event::Part> parts;
    for (const Message& m : messages) {
      const Submission& submission = context_.submissions[m.submission];
      if (!m.repeat) {
        Event event{.what = Event::What::kRan};
        event.call = call;
        event.submission = m.submission;
        event.applied_before = model.Apply(context_.Now(), m.key);
        context_.Emit(std::move(event));
      }
      // The client has given up or the deadline has passed, so the message needs no delivery.
      const bool gone =
          submission.unanswered || context_.Now() > submission.deadline + Auditor::kEndGrace;
      parts.push_back({m.submission, gone ? CallOutcome::kGone : CallOutcome::kOk});
    }
    return parts;
  }

  void AnswerRun(const std::vector<Event::Part>& parts) {
    if (parts.empty()) return Answer(200, {}, CallOutcome::kOk);  // a health check
    const bool bundle = parser_->get().target() == "/events/bundle";
    const std::size_t partner = owner_.at(number_).partner;
    if (static_cast<double>(NextRandom(owner_.random_) % 1000) <
        owner_.garbled_share_[partner] * 1000) {
      return AnswerGarbled(parts, bundle);
    }
    if (!bundle) {
      const bool gone = parts[0].outcome == CallOutcome::kGone;
      return Write(gone ? 410 : 200, {}, parts, "", false);
    }
    nlohmann::json items = nlohmann::json::array();
    for (const Event::Part& part : parts) {
      items.push_back(
          {{"id", context_.submissions[part.submission].id}, {"state", ToString(part.outcome)}});
    }
    Write(200, {}, parts, items.dump(), false);
  }

  // Sends a garbled answer to a call that has run. It reports success only if its status line is
  // 200 and the call had one message.
  void AnswerGarbled(std::vector<Event::Part> parts, bool bundle) {
    const std::size_t how = NextRandom(owner_.random_) % 3;
    const bool told = how != 0 && !bundle;
    for (Event::Part& part : parts) {
      if (!told && part.outcome == CallOutcome::kOk) part.outcome = CallOutcome::kError;
    }
    const std::string text = how == 0   ? std::string("\x00\xff\x01noise\r\n\r\n", 12)
                             : how == 1 ? "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc"
                                        : "HTTP/1.1 200 OK\r\nX-Never-Ends: xxxx";
    EmitAnswered(told ? 200 : 0, {}, parts, false);
    SendText(text);
  }

  void Answer(int status, std::optional<Time> wait, CallOutcome outcome, bool above_limit = false) {
    std::vector<Event::Part> parts;
    for (const Message& m : messages_) parts.push_back({m.submission, outcome});
    Write(status, wait, parts, "", above_limit);
  }

  void EmitAnswered(int status, std::optional<Time> wait, const std::vector<Event::Part>& parts,
                    bool above_limit) {
    awaiting_answer_ = false;
    Event event{.what = Event::What::kAnswered};
    event.call = call_;
    event.status = status;
    event.parts = parts;
    event.wait = wait;
    event.above_limit = above_limit;
    context_.Emit(std::move(event));
  }

  void Write(int status, std::optional<Time> wait, const std::vector<Event::Part>& parts,
             std::string body, bool above_limit) {
    if (!awaiting_answer_) return;
    EmitAnswered(status, wait, parts, above_limit);
    http::response<http::string_body> response(static_cast<http::status>(status), 11);
    response.body() = std::move(body);
    if (wait) {
      const auto ms = std::chrono::ceil<std::chrono::milliseconds>(*wait).count();
      response.set("Wait-Ms", std::to_string(ms));
    }
    if (PartnerOfEndpoint().limit) SetLoadHeader(response);
    response.keep_alive(!close_after_answer_);
    response.prepare_payload();
    std::ostringstream text;
    text << response;
    SendText(text.str());
  }

  // Sets the load report. x1 is the limit in calls per second; x0, the remaining share of the
  // limit, is not sent.
  void SetLoadHeader(http::response<http::string_body>& response) {
    std::array<char, 64> text{};
    const double limit = owner_.model(owner_.at(number_).partner).limit();
    std::snprintf(text.data(), text.size(), "x1=%g", limit);
    response.set("X-Backend-Load", text.data());
  }

  void SendText(std::string text) {
    auto held = std::make_shared<std::string>(std::move(text));
    asio::async_write(socket_, asio::buffer(*held),
                      [self = shared_from_this(), held](error_code error, std::size_t) {
                        if (error || self->context_.closed) return;
                        if (self->close_after_answer_) {
                          error_code ignored;
                          self->socket_.shutdown(tcp::socket::shutdown_both, ignored);
                          self->socket_.close(ignored);
                          return;
                        }
                        self->AwaitNextCall(held);
                      });
  }

  // Awaits the next call once the answer has been sent again, if it is to be sent twice.
  void AwaitNextCall(const std::shared_ptr<std::string>& answer) {
    if (!AnswersTwice()) return AwaitCall();
    const double share = owner_.doubled_share_[owner_.at(number_).partner];
    const bool twice = static_cast<double>(NextRandom(owner_.random_) % 1000) < share * 1000;
    if (!twice) return AwaitCall();
    const std::chrono::milliseconds delay(1 + NextRandom(owner_.random_) % kMaxCopyDelayMs);
    ++unsolicited_answers_;
    context_.At(context_.Now() + delay, [self = shared_from_this(), answer] {
      asio::async_write(self->socket_, asio::buffer(*answer),
                        [self, answer](error_code error, std::size_t) {
                          if (!error && !self->context_.closed) self->AwaitCall();
                        });
    });
  }

  EndpointStub& owner_;
  RunContext& context_;
  const std::size_t number_, forwarder_;
  tcp::socket socket_;
  std::shared_ptr<std::size_t> connections_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::vector<Message> messages_;
  Time first_byte_{};
  CallId call_ = 0;
  bool awaiting_answer_ = false;  // a call was received and is not answered yet
  std::size_t calls_ = 0;
  std::size_t unsolicited_answers_ = 0;
  bool over_connection_limit_ = false, close_after_answer_ = false;
};

EndpointStub::EndpointStub(RunContext& context, std::string prefix)
    : context_(context),
      prefix_(std::move(prefix)),
      garbled_share_(context.scenario.partners.size()),
      doubled_share_(context.scenario.partners.size()),
      random_(context.seed) {
  for (std::size_t p = 0; p < context.scenario.partners.size(); ++p) {
    models_.emplace_back(context.scenario.partners[p], context.scenario.warm_up,
                         context.seed * 1000 + p);
    for (std::size_t i = 0; i < context.scenario.partners[p].endpoints; ++i) Add(p);
  }
}

Endpoint& EndpointStub::Add(std::size_t partner) {
  auto endpoint = std::make_unique<Endpoint>();
  endpoint->number = endpoints_.size();
  endpoint->id = "e" + std::to_string(endpoint->number);
  endpoint->partner = partner;
  endpoint->connections = std::make_shared<std::size_t>(0);
  const std::size_t forwarders = context_.scenario.forwarders.count;
  endpoint->acceptors.resize(forwarders);
  endpoint->addresses.resize(forwarders);
  endpoints_.push_back(std::move(endpoint));
  Endpoint& added = *endpoints_.back();
  for (std::size_t f = 0; f < forwarders; ++f) {
    added.addresses[f] = {asio::ip::make_address(prefix_ + std::to_string(f + 1)), 0};
    Listen(added, f);
    added.addresses[f] = added.acceptors[f]->local_endpoint();
  }
  return added;
}

std::vector<std::size_t> EndpointStub::Of(std::size_t partner) const {
  std::vector<std::size_t> numbers;
  for (const auto& e : endpoints_) {
    if (e->partner == partner && !e->gone) numbers.push_back(e->number);
  }
  return numbers;
}

void EndpointStub::Listen(Endpoint& endpoint, std::size_t forwarder) {
  auto& acceptor = endpoint.acceptors[forwarder];
  acceptor = std::make_shared<tcp::acceptor>(context_.io, endpoint.addresses[forwarder]);
  Accept(endpoint.number, forwarder);
}

void EndpointStub::Accept(std::size_t number, std::size_t forwarder) {
  const auto acceptor = at(number).acceptors[forwarder];
  acceptor->async_accept([this, number, forwarder, acceptor](error_code error, tcp::socket socket) {
    if (context_.closed || !acceptor->is_open()) return;
    if (!error) {
      auto connection =
          std::make_shared<EndpointConnection>(*this, number, forwarder, std::move(socket));
      auto& open = at(number).open;
      std::erase_if(open, [](const auto& c) { return c.expired(); });
      open.push_back(connection);
      connection->AwaitCall();
    }
    Accept(number, forwarder);
  });
}

void EndpointStub::StopListening(Endpoint& endpoint) {
  for (auto& acceptor : endpoint.acceptors) acceptor->close();
  for (const auto& weak : endpoint.open) {
    if (const auto connection = weak.lock()) connection->Reset();
  }
  endpoint.open.clear();
}

void EndpointStub::BeginOutage(const FaultAction& action, std::size_t partner, Outage outage) {
  const Time until = action.lasts == Time{} ? Time::max() : action.at + action.lasts;
  for (const std::size_t number : Of(partner)) {
    if (action.endpoint && number != Of(partner)[*action.endpoint]) continue;
    if (outage == Outage::kRefuse) StopListening(at(number));
    if (action.endpoint) at(number).outage = outage;
  }
  if (action.endpoint) return;
  models_[partner].Begin(outage, until, action.wait);
  Event event{.what = Event::What::kDown};
  event.partner = partner;
  context_.Emit(std::move(event));
}

void EndpointStub::EndOutage(const FaultAction& action, std::size_t partner) {
  for (const std::size_t number : Of(partner)) {
    Endpoint& endpoint = at(number);
    endpoint.outage = Outage::kNone;
    for (std::size_t f = 0; f < endpoint.acceptors.size(); ++f) {
      if (!endpoint.acceptors[f]->is_open()) Listen(endpoint, f);
    }
  }
  if (action.endpoint) return;
  models_[partner].End(context_.Now());
  Event event{.what = Event::What::kBack};
  event.partner = partner;
  context_.Emit(std::move(event));
}

void EndpointStub::Play(const FaultAction& action) {
  for (const std::size_t partner : action.partners) {
    std::function<void()> end;
    Outage outage = Outage::kNone;
    switch (action.kind) {
      case FaultKind::kSlow:
        models_[partner].Slow(action.factor);
        end = [this, partner] { models_[partner].Slow(1); };
        break;
      case FaultKind::kFull:
        models_[partner].Full(action.at + action.lasts, action.wait);
        break;
      case FaultKind::kLimit:
        models_[partner].ScaleLimit(action.factor);
        limit_changed(partner, models_[partner].limit());
        end = [this, partner] {
          models_[partner].ScaleLimit(1);
          limit_changed(partner, models_[partner].limit());
        };
        break;
      case FaultKind::kGarble:
        garbled_share_[partner] = kGarbledShare;
        end = [this, partner] { garbled_share_[partner] = 0; };
        break;
      case FaultKind::kDouble:
        doubled_share_[partner] = kDoubledShare;
        end = [this, partner] { doubled_share_[partner] = 0; };
        break;
      case FaultKind::kShut:
        outage = Outage::kShut;
        break;
      case FaultKind::kSilent:
        outage = Outage::kSilent;
        break;
      case FaultKind::kRefuse:
        outage = Outage::kRefuse;
        break;
      case FaultKind::kReset:
        outage = Outage::kReset;
        break;
      default:
        return;
    }
    if (outage != Outage::kNone) {
      BeginOutage(action, partner, outage);
      end = [this, action, partner] { EndOutage(action, partner); };
    }
    if (end && action.lasts != Time{}) context_.At(action.at + action.lasts, std::move(end));
  }
}

void EndpointStub::Close() {
  for (auto& endpoint : endpoints_) {
    for (auto& acceptor : endpoint->acceptors) acceptor->close();
  }
}

}  // namespace brassfront::rehearsal
