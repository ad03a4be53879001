#include "net/client_commands.hpp"

#include <utility>

#include "protocol/delivery_request.hpp"

namespace brassfront {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReplyTimeout{500};  // an unread reply may block a worker for this time
// Replies to pipelined commands are collected up to this size, so that one system call writes
// hundreds of them.
constexpr std::size_t kMaxPendingReplyBytes = std::size_t{16} * 1024;
constexpr const char* kStandbyRetryAfterMs = "1000";

// Returns false if the replies could not be written in time.
bool FlushReplies(ClientConnection& connection) {
  if (connection.pending_replies.empty()) return true;
  const std::string replies = std::exchange(connection.pending_replies, {});
  return connection.socket.SendAll(replies, std::chrono::steady_clock::now() + kReplyTimeout);
}

bool AppendReply(ClientConnection& connection, const std::string& reply) {
  connection.pending_replies += reply;
  if (connection.pending_replies.size() < kMaxPendingReplyBytes) return true;
  return FlushReplies(connection);
}

std::optional<CloseReason> Reply(ClientConnection& connection, const std::string& reply) {
  if (AppendReply(connection, reply)) return std::nullopt;
  return CloseReason::kReset;
}

// Converts ASCII letters only; command names are ASCII.
std::string ToUpper(std::string text) {
  for (char& letter : text) {
    if (letter >= 'a' && letter <= 'z') letter = static_cast<char>(letter - 'a' + 'A');
  }
  return text;
}

std::string BusyReply(const SubmitResult& result) {
  if (!result.retry_after) return RespError("BUSY", "");
  return RespError("BUSY", std::to_string(result.retry_after->count()));
}

}  // namespace

std::optional<CloseReason> ClientCommands::ExecutePending(ClientConnection& connection) const {
  auto& commands = connection.reader.commands();
  while (!commands.empty()) {
    RespCommand command = std::move(commands.front());
    commands.pop_front();
    ++connection.commands;
    const std::optional<CloseReason> close_reason = Execute(connection, command);
    if (!close_reason) continue;
    FlushReplies(connection);
    return close_reason;
  }
  if (connection.reader.broken()) {
    AppendReply(connection, RespError("ERR", "protocol error"));
    FlushReplies(connection);
    return CloseReason::kMalformed;
  }
  if (!FlushReplies(connection)) return CloseReason::kReset;
  return std::nullopt;
}

std::optional<CloseReason> ClientCommands::Execute(ClientConnection& connection,
                                                   RespCommand& command) const {
  if (command.oversize) return ReplyInvalid(connection, RespError("ERR", "over 64 KiB"));
  const std::string name = ToUpper(command.words[0]);
  if (name == "MSG.PUT") return ExecutePut(connection, command);
  if (name == "PING") return ExecutePing(connection, command);
  if (name == "QUIT") {
    const bool replied = AppendReply(connection, RespSimple("OK"));
    return replied ? CloseReason::kQuit : CloseReason::kReset;
  }
  return ReplyInvalid(connection, RespError("ERR", "unknown command"));
}

std::optional<CloseReason> ClientCommands::ExecutePing(ClientConnection& connection,
                                                       const RespCommand& command) const {
  if (standby_.is_on()) return Reply(connection, RespError("STANDBY", "taken out for work"));
  const bool has_text = command.words.size() > 1;
  return Reply(connection, has_text ? RespBulk(command.words[1]) : RespSimple("PONG"));
}

std::optional<CloseReason> ClientCommands::ExecutePut(ClientConnection& connection,
                                                      RespCommand& command) const {
  if (standby_.HasBeenOnFor(kStandbyAcceptPeriod, std::chrono::steady_clock::now())) {
    return Reply(connection, RespError("BUSY", kStandbyRetryAfterMs));
  }
  DeliveryRequest request;
  try {
    request = ParseDeliveryRequest(std::move(command.words));
  } catch (const InvalidDeliveryRequest& error) {
    return ReplyInvalid(connection, RespError("ERR", error.what()));
  }
  request.received_at = connection.received_at;
  const SubmitResult result = acceptor_.Submit(std::move(request));
  if (result.status == SubmitResult::Status::kInvalid) {
    return ReplyInvalid(connection, RespError("ERR", result.error));
  }
  if (result.unknown_destination) return ReplyInvalid(connection, BusyReply(result));
  connection.consecutive_invalid_commands = 0;
  connection.has_submitted_message = true;
  if (result.status == SubmitResult::Status::kRejected) {
    return Reply(connection, BusyReply(result));
  }
  return Acknowledge(connection, result.message);
}

// A client that has closed its connection in the meantime may submit the message again with a new
// id, so this message must not be delivered. A client that has only shut down its sending side
// looks the same but still reads, so it is sent a rejection. The reply is written immediately,
// because delivery does not start before it.
std::optional<CloseReason> ClientCommands::Acknowledge(ClientConnection& connection,
                                                       std::uint64_t message) const {
  const bool accepted = !connection.socket.PeerHasEnded();
  const std::string reply = accepted ? RespSimple("OK") : RespError("BUSY", "");
  const bool replied = AppendReply(connection, reply) && FlushReplies(connection);
  if (accepted && replied) {
    acceptor_.OnAcknowledged(message);
  } else {
    acceptor_.OnClientDisconnected(message);
  }
  if (replied) return std::nullopt;
  return CloseReason::kClientGone;
}

std::optional<CloseReason> ClientCommands::ReplyInvalid(ClientConnection& connection,
                                                        const std::string& reply) const {
  if (!AppendReply(connection, reply)) return CloseReason::kReset;
  ++connection.consecutive_invalid_commands;
  if (connection.consecutive_invalid_commands < max_consecutive_invalid_) return std::nullopt;
  return CloseReason::kTooManyErrors;
}

}  // namespace brassfront
