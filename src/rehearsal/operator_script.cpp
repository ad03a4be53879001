#include "rehearsal/operator_script.hpp"

#include <array>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <memory>

namespace brassfront::rehearsal {

using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

constexpr Time kPollInterval = milliseconds(100);
constexpr Time kPingTimeout = milliseconds(400);
constexpr Time kAnswerTimeout = milliseconds(5500);
constexpr Time kRetryDelay = milliseconds(500);

}  // namespace

OperatorScript::OperatorScript(RunContext& context, FleetAuditor& auditor, std::string out,
                               Hooks hooks)
    : context_(context), auditor_(auditor), out_(std::move(out)), hooks_(std::move(hooks)) {}

void OperatorScript::Begin() {
  for (std::size_t f = 0; f < context_.scenario.forwarders.count; ++f) Poll(f);
}

void OperatorScript::Poll(std::size_t f) {
  if (closed_) return;
  context_.At(context_.Now() + kPollInterval, [this, f] { Poll(f); });
  if (!hooks_.runs(f)) return;
  struct Ping {
    explicit Ping(asio::io_context& io) : socket(io), timer(io) {}
    tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, 64> bytes{};
  };
  auto ping = std::make_shared<Ping>(context_.io);
  ping->timer.expires_after(kPingTimeout);
  ping->timer.async_wait([ping](error_code error) {
    error_code ignored;
    if (!error) ping->socket.close(ignored);
  });
  ping->socket.async_connect(hooks_.address(f), [this, ping, f](error_code error) {
    if (error) return;
    asio::async_write(ping->socket, asio::buffer("*1\r\n$4\r\nPING\r\n", 14),
                      [](error_code, std::size_t) {});
    ping->socket.async_read_some(asio::buffer(ping->bytes),
                                 [this, ping, f](error_code failed, std::size_t n) {
                                   ping->timer.cancel();
                                   if (failed || closed_ || !hooks_.runs(f)) return;
                                   const std::string reply(ping->bytes.data(), n);
                                   const bool away = reply.rfind("-STANDBY", 0) == 0;
                                   if (!away && reply.rfind("+PONG", 0) != 0) return;
                                   auditor_.SetStandby(f, away, context_.Now());
                                   hooks_.takes_clients(f, !away);
                                 });
  });
}

void OperatorScript::RequestWork(const FaultAction& action, const std::string& name) {
  actions_[name] = &action;
  if (name == "all" || name.rfind("hall:", 0) == 0) group_action_ = &action;
  const bool machine = !action.machine.empty();
  auditor_.WorkRequested(context_.Now());
  Start("/fleet/maintenance/ask?name=" + name + (machine ? "" : "&kind=endpoint"),
        action.forwarders.front(), true);
}

void OperatorScript::Start(std::string target, std::size_t forwarder, bool is_ask) {
  const std::uint64_t token = (context_.seed << 20) + requests_.size() + 1;
  target += "&token=" + std::to_string(token);
  requests_.push_back({std::move(target), forwarder, context_.Now(), is_ask});
  Send(requests_.size() - 1);
}

void OperatorScript::Send(std::size_t number) {
  if (closed_) return;
  Request& request = requests_[number];
  const std::size_t count = context_.scenario.forwarders.count;
  for (std::size_t i = 0; i < count && !hooks_.runs(request.forwarder); ++i) {
    request.forwarder = (request.forwarder + 1) % count;
  }
  struct Post {
    explicit Post(asio::io_context& io) : socket(io), timer(io) {}
    asio::local::stream_protocol::socket socket;
    asio::steady_timer timer;
    std::string request, answer;
    bool over = false;
  };
  auto post = std::make_shared<Post>(context_.io);
  post->request =
      "POST " + request.target + " HTTP/1.1\r\nHost: fleet\r\nContent-Length: 0\r\n\r\n";
  const auto done = [this, post, number] {
    if (std::exchange(post->over, true) || closed_) return;
    post->timer.cancel();
    error_code ignored;
    post->socket.close(ignored);
    Answered(number, post->answer);
  };
  post->timer.expires_after(kAnswerTimeout);
  post->timer.async_wait([done](error_code error) {
    if (!error) done();
  });
  const std::string path = out_ + "/n" + std::to_string(request.forwarder) + "/fleet/control";
  post->socket.async_connect(path, [post, done](error_code error) {
    if (error) return done();
    asio::async_write(post->socket, asio::buffer(post->request), [](error_code, std::size_t) {});
    asio::async_read(post->socket, asio::dynamic_buffer(post->answer),
                     [done](error_code, std::size_t) { done(); });
  });
}

// 200 and 409 are decisions of the fleet. After any other result the request goes to the next
// forwarder.
void OperatorScript::Answered(std::size_t number, const std::string& text) {
  Request& request = requests_[number];
  const bool good = text.rfind("HTTP/1.1 200", 0) == 0;
  if (good && request.is_ask) auditor_.WorkGranted(context_.Now() - request.since);
  if (good || text.rfind("HTTP/1.1 409", 0) == 0) return;
  request.forwarder = (request.forwarder + 1) % context_.scenario.forwarders.count;
  context_.At(context_.Now() + kRetryDelay, [this, number] { Send(number); });
}

void OperatorScript::Line(const std::string& line) {
  if (closed_ || line.rfind("work request=", 0) != 0) return;
  const std::string request = FieldOf(line, "request"), name = FieldOf(line, "name");
  if (FieldOf(line, "state") != "out" || !returned_.insert(request).second) return;
  const auto it = actions_.find(name);
  const FaultAction* action = it == actions_.end() ? group_action_ : it->second;
  if (action == nullptr) return;
  const bool machine = !action->machine.empty();
  if (machine && action->restart && name.size() > 1) hooks_.restart(std::stoul(name.substr(1)));
  context_.At(context_.Now() + action->stay, [this, name, machine, action] {
    if (!machine) auditor_.SetEndpointOut(name, false, context_.Now());
    Start("/fleet/maintenance/back?name=" + name + (machine ? "" : "&kind=endpoint"),
          action->forwarders.front(), false);
  });
}

}  // namespace brassfront::rehearsal
