#include "nameserver/client.hpp"

#include <sys/random.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <thread>
#include <vector>

namespace brassfront::nameserver {
namespace {

constexpr std::size_t kReadBytes = std::size_t{16} * 1024;

using dns::Message;
using dns::TsigError;

// Encodes the message; signs it with a new session if there is a key.
std::string EncodeSigned(const RequestOptions& options, const Message& message,
                         std::optional<dns::TsigSession>& session) {
  std::string bytes = Encode(message);
  if (!options.key) return bytes;
  return session.emplace(*options.key).Sign(std::move(bytes), SecondsNow());
}

// Returns why the bytes are not a valid answer to the message; empty if they are. Only a valid
// answer changes the session.
std::string ValidateAnswer(const Message& asked, std::string_view bytes,
                           const dns::Decoded& decoded, std::optional<dns::TsigSession>& session) {
  if (!decoded.message) return "an answer that cannot be read: " + decoded.why;
  const Message& answer = *decoded.message;
  if (!answer.response || answer.id != asked.id || answer.opcode != asked.opcode) {
    return "an answer to something else";
  }
  for (std::size_t n = 0; n < answer.question.size(); ++n) {
    if (n >= asked.question.size() || !(answer.question[n].name == asked.question[n].name) ||
        answer.question[n].type != asked.question[n].type) {
      return "an answer to something else";
    }
  }
  if (!session) return {};
  dns::TsigSession tried = *session;
  TsigError error = tried.Check(bytes, answer, SecondsNow());
  // Some TSIG errors arrive unsigned. They are reported, but not trusted otherwise.
  if (TsigErrorOf(answer) != TsigError::kNone) error = TsigErrorOf(answer);
  if (error != TsigError::kNone) {
    return "the signature does not hold: " + dns::RcodeText(static_cast<std::uint16_t>(error));
  }
  session = std::move(tried);
  return {};
}

RequestResult ByDatagram(const RequestOptions& options, const Message& message) {
  RequestResult asked{{}, "no answer"};
  Socket socket = ConnectDatagrams(options.server);
  if (!socket.is_open()) {
    return {{}, "cannot send to " + options.server + ": " + std::strerror(errno)};
  }
  std::vector<char> buffer(dns::kMaxMessageBytes);
  for (int attempt = 0; attempt < options.tries; ++attempt) {
    std::optional<dns::TsigSession> session;
    const std::string bytes = EncodeSigned(options, message, session);
    const auto until = std::chrono::steady_clock::now() + options.timeout;
    if (send(socket.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) {
      asked.why = std::strerror(errno);
    }
    while (socket.AwaitInput(until)) {
      const ssize_t length = recv(socket.fd(), buffer.data(), buffer.size(), MSG_DONTWAIT);
      if (length < 0) {
        // The port may be closed for now (ECONNREFUSED): wait before the next try.
        asked.why = std::strerror(errno);
        std::this_thread::sleep_until(until);
        break;
      }
      const std::string_view got(buffer.data(), static_cast<std::size_t>(length));
      dns::Decoded decoded = dns::Decode(got);
      asked.why = ValidateAnswer(message, got, decoded, session);
      // An invalid answer may be forged by a third party: continue to wait for the real one.
      if (asked.why.empty()) return {std::move(decoded.message), {}};
    }
  }
  return asked;
}

// Calls `take` with each message of the answer until it returns true. Returns the reason if it
// never does, else an empty string.
template <typename Take>
std::string ByStream(const RequestOptions& options, const std::string& bytes, Take take) {
  const auto until = std::chrono::steady_clock::now() + options.timeout * options.tries;
  Socket socket = NewSocket();
  if (!Connect(socket, options.server, options.timeout)) {
    return "no connection to " + options.server + ": " + std::strerror(errno);
  }
  if (!socket.SendAll(dns::WithLengthPrefix(bytes), until)) {
    return "the connection ended while asking";
  }
  dns::StreamReader reader;
  std::vector<char> buffer(kReadBytes);
  auto last = until;
  while (socket.AwaitInput(last)) {
    const auto length = socket.ReceiveNow(buffer);
    if (length < 0 && errno == EAGAIN) continue;
    if (length <= 0) return "the connection ended before the answer did";
    reader.Feed({buffer.data(), static_cast<std::size_t>(length)});
    for (; !reader.messages().empty(); reader.messages().pop_front()) {
      if (take(reader.messages().front())) return {};
    }
    last = std::chrono::steady_clock::now() + options.timeout * options.tries;
  }
  return "no answer in time";
}

}  // namespace

std::uint64_t SecondsNow() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::seconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

double SteadySeconds() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::uint16_t RandomId() {
  std::uint16_t id = 0;
  while (getrandom(&id, sizeof id, 0) != sizeof id) {
  }
  return id;
}

RequestResult SendRequest(const RequestOptions& options, Message message) {
  message.id = RandomId();
  if (!options.stream && message.opcode != dns::Opcode::kUpdate) {
    RequestResult asked = ByDatagram(options, message);
    if (!asked.answer || !asked.answer->truncated) return asked;
  }
  std::optional<dns::TsigSession> session;
  const std::string bytes = EncodeSigned(options, message, session);
  RequestResult asked;
  std::string why = ByStream(options, bytes, [&](std::string_view got) {
    dns::Decoded decoded = dns::Decode(got);
    asked.why = ValidateAnswer(message, got, decoded, session);
    if (asked.why.empty()) asked.answer = std::move(decoded.message);
    return true;
  });
  if (!why.empty()) asked.why = std::move(why);
  return asked;
}

dns::TransferResult Transfer(const RequestOptions& options, const dns::Name& zone,
                             const std::optional<dns::Record>& have) {
  const Message request = TransferRequest(zone, have, RandomId());
  std::optional<dns::TsigSession> session;
  const std::string bytes = EncodeSigned(options, request, session);
  dns::TransferReader reader(zone, have, request.id, std::move(session));
  std::optional<dns::TransferResult> done;
  std::string why = ByStream(options, bytes, [&](std::string_view got) {
    done = reader.Take(got, SecondsNow());
    return done.has_value();
  });
  if (!done) return reader.Interrupted(std::move(why));
  const auto* unfit = std::get_if<dns::ValidationError>(&*done);
  if (unfit != nullptr && unfit->ixfr_unsupported) return Transfer(options, zone, std::nullopt);
  return *std::move(done);
}

}  // namespace brassfront::nameserver
