#include "fleet/operator_requests.hpp"

#include <chrono>
#include <utility>
#include <variant>

#include "fleet/maintenance_commands.hpp"
#include "peers/failure_detector.hpp"

namespace brassfront::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Long enough for an election to end and the command to be committed, unless there is no quorum.
constexpr peers::Time kCommandTimeout = seconds(5);
// Interval of the submissions of a command whose result has not yet been seen.
constexpr peers::Time kCommandRetryInterval = milliseconds(300);

ControlReply AnswerQuery(const ControlRequest& request, const MemberView& view,
                         const Sharing* sharing, peers::Time now) {
  if (request.path == "/fleet/status") return {kStatusOk, StatusJson(view)};
  if (request.path == "/fleet/members") return {kStatusOk, MembersJson(view)};
  if (request.path == "/fleet/maintenance") return {kStatusOk, RequestsJson(view.known_state)};
  const bool limits = request.path == "/fleet/limits";
  if (limits || request.path == "/fleet/verdicts") {
    if (sharing == nullptr) return ErrorReply(kStatusConflict, "the roster has no `sharing`");
    return {kStatusOk, limits ? sharing->LimitsJson(now) : sharing->VerdictsJson(now)};
  }
  return ErrorReply(kStatusNotFound, "nothing is at " + request.path);
}

// Returns a token that differs between folders and between commands. It is never 0, which means
// that there is no token.
std::uint64_t MakeToken(std::uint64_t identity, peers::Time now) {
  const std::uint64_t token =
      peers::ProcessIncarnationOf(identity) ^ static_cast<std::uint64_t>(now.count());
  return token == 0 ? 1 : token;
}

}  // namespace

void OperatorRequests::Accept(ReceivedControlRequest received, const MemberView& view,
                              const Sharing* sharing, std::uint64_t identity, Time now) {
  const ControlRequest& request = received.request;
  if (request.method == "GET") {
    received.reply.set_value(AnswerQuery(request, view, sharing, now));
    return;
  }
  auto parsed = ParseCommand(request);
  if (const auto* error = std::get_if<CommandError>(&parsed)) {
    const bool is_command = request.path.rfind(kMaintenancePath, 0) == 0;
    received.reply.set_value(
        ErrorReply(is_command ? kStatusBadRequest : kStatusNotFound, error->message));
    return;
  }
  auto& command = std::get<maintenance::Command>(parsed);
  if (command.token == 0) command.token = MakeToken(identity, now);
  pending_.push_back({.command = std::move(command),
                      .reply = std::move(received.reply),
                      .deadline = now + kCommandTimeout,
                      .next_attempt = Time{}});
}

bool OperatorRequests::Advance(const MemberView& view, const Submit& submit, Time now) {
  bool submitted = false;
  std::erase_if(pending_, [&](PendingCommand& pending) {
    const std::uint64_t token = pending.command.token;
    if (const maintenance::RequestResult* result = view.known_state.ResultFor(token)) {
      pending.reply.set_value(
          {result->good ? kStatusOk : kStatusConflict, RequestResultJson(*result, token)});
      return true;
    }
    if (now >= pending.deadline) {
      pending.reply.set_value(ErrorReply(kStatusUnavailable, NoQuorumMessage(view)));
      return true;
    }
    if (now >= pending.next_attempt) {
      pending.next_attempt = now + kCommandRetryInterval;
      submitted = true;
      submit(pending.command);
    }
    return false;
  });
  return submitted;
}

}  // namespace brassfront::fleet
