#include "rehearsal/discovery_stub.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <deque>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace brassfront::rehearsal {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Interval of empty lines on a watch without changes.
constexpr Time kKeepAlive = std::chrono::seconds(2);
constexpr Time kOldAddressGrace = std::chrono::milliseconds(1500);
constexpr std::size_t kMaxBody = 4 << 20;

std::string Chunk(const std::string& line) {
  std::ostringstream out;
  out << std::hex << line.size() << "\r\n" << line << "\r\n";
  return out.str();
}

const char* ToString(DiscoveryStub::Phase phase) {
  return phase == DiscoveryStub::Phase::kReady         ? "Ready"
         : phase == DiscoveryStub::Phase::kTerminating ? "Terminating"
                                                       : "Gone";
}

std::uint64_t RevisionOf(const std::string& target) {
  const std::size_t at = target.find("from=");
  std::uint64_t from = 0;
  if (at != std::string::npos) {
    std::from_chars(target.data() + at + 5, target.data() + target.size(), from);
  }
  return from;
}

}  // namespace

class DiscoveryStubConnection : public std::enable_shared_from_this<DiscoveryStubConnection> {
 public:
  DiscoveryStubConnection(DiscoveryStub& agent, tcp::socket socket)
      : agent_(agent),
        context_(agent.context_),
        socket_(std::move(socket)),
        keep_alive_(context_.io) {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
  }

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMaxBody);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](error_code error, std::size_t) {
                       if (error || self->context_.closed) return;
                       self->HandleRequest();
                     });
  }

  void Close() {
    error_code ignored;
    socket_.close(ignored);
    keep_alive_.cancel();
  }

  // Sends the changes after that revision if this connection is a watch.
  void Push(std::uint64_t from) {
    if (!watching_) return;
    Send(Chunk(agent_.Line(false, from)));
    agent_.EmitChanges(from);
  }

 private:
  void HandleRequest() {
    const auto& request = parser_->get();
    const std::string target(request.target());
    if (target == "/v2/finals" && request.method() == http::verb::post) {
      return Reply(HandleNotices(request.body()) ? 204 : 400, "");
    }
    if (target.rfind("/api/targets", 0) != 0) return Reply(404, "");
    if (target.find("watch=1") == std::string::npos) {
      Reply(200, agent_.Line(true, 0));
      return agent_.EmitChanges(0);
    }
    watching_ = true;
    const std::uint64_t from = RevisionOf(target);
    Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    // Send the complete list if the watcher has none, or if its revision is unknown to this agent.
    const bool whole = from == 0 || from > agent_.revision_;
    if (whole || from < agent_.revision_) {
      Send(Chunk(agent_.Line(whole, from)));
      agent_.EmitChanges(whole ? 0 : from);
    }
    KeepAlive();
  }

  void KeepAlive() {
    keep_alive_.expires_after(kKeepAlive);
    keep_alive_.async_wait([self = shared_from_this()](error_code error) {
      if (error || self->context_.closed || !self->socket_.is_open()) return;
      self->Send(Chunk("\n"));
      self->KeepAlive();
    });
  }

  bool HandleNotices(const std::string& body) {
    std::istringstream lines(body);
    struct Notice {
      SubmissionId submission;
      bool deferred;
      std::optional<Time> wait;
    };
    std::vector<Notice> notices;
    for (std::string line; std::getline(lines, line);) {
      if (line.empty()) continue;
      const auto json = nlohmann::json::parse(line, nullptr, false);
      if (!json.is_object() || !json.contains("id") || !json["id"].is_string()) return false;
      const std::string status = json.value("status", "");
      if (status != "undeliverable" && status != "deferred") return false;
      const auto it = context_.by_wire_id.find(json["id"].get<std::string>());
      Notice notice{it == context_.by_wire_id.end() ? kUnknownSubmission : it->second,
                    status == "deferred",
                    {}};
      if (json.contains("again_ms") && json["again_ms"].is_number()) {
        notice.wait = std::chrono::milliseconds(json["again_ms"].get<std::int64_t>());
      }
      notices.push_back(notice);
    }
    for (const Notice& n : notices) agent_.on_notice_(n.submission, n.deferred, n.wait);
    return true;
  }

  void Reply(int status, std::string body) {
    http::response<http::string_body> response(static_cast<http::status>(status), 11);
    response.body() = std::move(body);
    response.prepare_payload();
    std::ostringstream text;
    text << response;
    Send(text.str());
    Read();
  }

  void Send(std::string text) {
    write_queue_.push_back(std::move(text));
    if (write_queue_.size() == 1) WriteNext();
  }

  void WriteNext() {
    asio::async_write(socket_, asio::buffer(write_queue_.front()),
                      [self = shared_from_this()](error_code error, std::size_t) {
                        if (error || self->context_.closed) {
                          self->Close();
                          return;
                        }
                        self->write_queue_.pop_front();
                        if (!self->write_queue_.empty()) self->WriteNext();
                      });
  }

  DiscoveryStub& agent_;
  RunContext& context_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::deque<std::string> write_queue_;
  asio::steady_timer keep_alive_;
  bool watching_ = false;
};

DiscoveryStub::DiscoveryStub(RunContext& context, EndpointStub& endpoints, std::size_t forwarder,
                             std::string host, OnNotice on_notice)
    : context_(context),
      endpoints_(endpoints),
      forwarder_(forwarder),
      host_(std::move(host)),
      on_notice_(std::move(on_notice)) {
  for (std::size_t e = 0; e < endpoints_.count(); ++e) entries_[e] = {};
  Listen();
}

std::string DiscoveryStub::address() const {
  const auto at = acceptor_->local_endpoint();
  return at.address().to_string() + ":" + std::to_string(at.port());
}

void DiscoveryStub::Listen() {
  acceptor_ =
      std::make_shared<tcp::acceptor>(context_.io, tcp::endpoint(asio::ip::make_address(host_), 0));
  Accept(acceptor_);
}

void DiscoveryStub::Accept(const std::shared_ptr<tcp::acceptor>& acceptor) {
  acceptor->async_accept([this, acceptor](error_code error, tcp::socket socket) {
    if (context_.closed || !acceptor->is_open()) return;
    if (!error) {
      auto connection = std::make_shared<DiscoveryStubConnection>(*this, std::move(socket));
      std::erase_if(open_, [](const auto& c) { return c.expired(); });
      open_.push_back(connection);
      connection->Read();
    }
    Accept(acceptor);
  });
}

std::string DiscoveryStub::Line(bool whole, std::uint64_t from) const {
  nlohmann::json members = nlohmann::json::array();
  for (const auto& [number, entry] : entries_) {
    const Endpoint& e = endpoints_.at(number);
    if (whole ? entry.phase == Phase::kGone : entry.revision <= from) continue;
    const Partner& partner = context_.scenario.partners[e.partner];
    const auto& address = e.addresses[forwarder_];
    members.push_back(
        {{"id", e.id},
         {"host_port", address.address().to_string() + ":" + std::to_string(address.port())},
         {"locality", "a"},
         {"flavor", partner.kind},
         {"cell", partner.destination},
         {"phase", ToString(entry.phase)},
         {"size", partner.limit ? partner.limit->calls : partner.capacity},
         {"up_since_ms", 0}});
  }
  return nlohmann::json{{"revision", revision_}, {"complete", whole}, {"members", members}}.dump() +
         "\n";
}

void DiscoveryStub::EmitChanges(std::uint64_t from) {
  if (omit_from_audit_) return;
  for (const auto& [number, entry] : entries_) {
    if (entry.revision <= from) continue;
    Event event{.what = Event::What::kEndpointChange};
    event.forwarder = forwarder_;
    event.endpoint = number;
    event.draining = entry.phase != Phase::kReady;
    context_.Emit(std::move(event));
  }
}

void DiscoveryStub::ApplyChange(std::size_t endpoint, Phase phase) {
  const std::uint64_t from = revision_++;
  entries_[endpoint] = {phase, revision_};
  for (const auto& weak : open_) {
    if (const auto connection = weak.lock()) connection->Push(from);
  }
}

void DiscoveryStub::Move() {
  auto old = std::exchange(acceptor_, nullptr);
  old->close();
  std::vector<std::weak_ptr<DiscoveryStubConnection>> open;
  open.swap(open_);
  Listen();
  context_.At(context_.Now() + kOldAddressGrace, [open] {
    for (const auto& weak : open) {
      if (const auto connection = weak.lock()) connection->Close();
    }
  });
}

void DiscoveryStub::Close() {
  acceptor_->close();
  for (const auto& weak : open_) {
    if (const auto connection = weak.lock()) connection->Close();
  }
}

}  // namespace brassfront::rehearsal
