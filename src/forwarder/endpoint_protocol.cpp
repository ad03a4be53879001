#include "forwarder/endpoint_protocol.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

#include "observe/log.hpp"
#include "protocol/base64.hpp"
#include "protocol/http.hpp"
#include "protocol/json.hpp"

namespace brassfront {
namespace {

using dispatch_policy::Outcome;
using observe::Concern;
using observe::Level;

// A report beyond these cannot be meant. A share may be a little over 1, for reports are noisy.
constexpr double kMaxAllowanceLeft = 2;
constexpr double kMaxReportedLimit = 1e6;              // calls a second
constexpr std::uint64_t kMaxRetryAfterMs = 3'600'000;  // ms; guards against a wait that never ends

template <typename T>
std::optional<T> Parse(std::string_view text) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

// What the answer's first line says of all attempts in the call.
AttemptResult ResultOfStatus(const EndpointCallResult& end) {
  switch (end.status) {
    case 200:
      return {.outcome = Outcome::kDelivered, .over = true};
    case 429:
      return {.outcome = Outcome::kRejected};
    case 503:
      return {.outcome = end.slots_taken.empty() ? Outcome::kRejected : Outcome::kNotSent};
    case 504:
      return {.outcome = Outcome::kNotSent, .exhausted = true};
    case 410:
      return {.outcome = Outcome::kNotSent, .over = true};
    case 400:
    case 413:  // not read, so none of it ran
      return {.outcome = Outcome::kNotSent};
    default:
      return {.outcome = Outcome::kError};
  }
}

AttemptResult ParseItemState(const std::string& state) {
  if (state == "ok") return {.outcome = Outcome::kDelivered, .over = true};
  if (state == "later") return {.outcome = Outcome::kRejected};
  if (state == "gone") return {.outcome = Outcome::kNotSent, .over = true};
  if (state == "exhausted") return {.outcome = Outcome::kNotSent, .exhausted = true};
  return {.outcome = Outcome::kError};
}

Outcome ToOutcome(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kNotSent:
      return Outcome::kNotSent;
    case CallOutcome::kConnectFailed:
      return Outcome::kConnectFailed;
    case CallOutcome::kConnectionLimitReached:
      return Outcome::kConnectionLimitReached;
    case CallOutcome::kTimedOut:
      return Outcome::kTimeout;
    case CallOutcome::kCancelled:
      return Outcome::kCancelled;
    default:
      return Outcome::kReset;
  }
}

HttpHeaders TimeLeft(std::chrono::milliseconds left) {
  return {{"X-Time-Left-Ms", std::to_string(left.count())}};
}

}  // namespace

bool KnownNotRun(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed ||
         outcome == Outcome::kConnectionLimitReached || outcome == Outcome::kNotSent;
}

AttemptResult ParseSingleAnswer(const EndpointCallResult& end) {
  if (end.outcome != CallOutcome::kAnswered) return {.outcome = ToOutcome(end.outcome)};
  return ResultOfStatus(end);
}

std::vector<AttemptResult> ParseBatchAnswer(const EndpointCallResult& end,
                                            std::span<const std::string> ids) {
  if (end.outcome != CallOutcome::kAnswered || end.status != 200) {
    return std::vector<AttemptResult>(ids.size(), ParseSingleAnswer(end));
  }
  // Part of an answer delivers nothing; an id that is missing from a whole one may have run.
  std::vector<AttemptResult> ends(
      ids.size(), AttemptResult{.outcome = end.complete ? Outcome::kError : Outcome::kReset});
  if (!end.complete) return ends;
  try {
    const json::Value answer = json::Parse(end.body);
    for (const json::Value& item : answer.Items()) {
      const auto it = std::find(ids.begin(), ids.end(), item.At("id").Text());
      if (it != ids.end()) ends[it - ids.begin()] = ParseItemState(item.At("state").Text());
    }
  } catch (const json::Error&) {  // the rest keep their doubt
  }
  return ends;
}

std::chrono::milliseconds ParseRetryAfter(const EndpointCallResult& end) {
  return std::chrono::milliseconds(
      std::min(Parse<std::uint64_t>(end.retry_after_ms).value_or(0), kMaxRetryAfterMs));
}

dispatch_policy::LoadReport ParseLoadReport(const EndpointCallResult& end) {
  dispatch_policy::LoadReport report;
  std::string_view rest = end.load_report;
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find(','));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    if (pair.size() < 4 || pair[2] != '=') continue;
    const auto value = Parse<double>(pair.substr(3));
    if (!value || !(*value >= 0)) continue;
    if (pair.starts_with("x0") && *value <= kMaxAllowanceLeft) report.allowance_left = value;
    if (pair.starts_with("x1") && *value <= kMaxReportedLimit) report.limit = value;
  }
  return report;
}

dispatch_policy::EndpointState ToEndpointState(Phase phase) {
  switch (phase) {
    case Phase::kReady:
      return dispatch_policy::EndpointState::kListed;
    case Phase::kTerminating:
      return dispatch_policy::EndpointState::kDraining;
    default:
      return dispatch_policy::EndpointState::kRemoved;
  }
}

std::string FormatBatchItem(const CallItem& part) {
  std::string item = "{\"id\":" + json::Quote(part.id);
  if (!part.key.empty()) item += ",\"key\":" + json::Quote(part.key);
  return item + ",\"body\":\"" + EncodeBase64(part.body) + "\"}";
}

std::string FormatSingleCall(const std::string& address, const CallItem& part,
                             std::chrono::milliseconds left) {
  HttpHeaders headers = TimeLeft(left);
  headers.emplace_back("X-Correlation-Id", part.id);
  if (!part.key.empty()) headers.emplace_back("Idempotency-Key", part.key);
  return HttpPost("/events", address, headers, part.body);
}

std::string FormatBatchCall(const std::string& address, std::span<const CallItem> parts,
                            std::chrono::milliseconds left) {
  std::string body = "[";
  for (const CallItem& part : parts) {
    if (body.size() > 1) body += ',';
    body += FormatBatchItem(part);
  }
  return HttpPost("/events/bundle", address, TimeLeft(left), body + "]");
}

void LogEndpointListed(const Member& member, dispatch_policy::EndpointId number) {
  observe::Log(Concern::kEngine, Level::kInfo, "endpoint listed",
               {{"id", member.id},
                {"endpoint", number},
                {"destination", member.destination},
                {"address", member.address},
                {"weight", std::to_string(member.weight)}});
}

void LogCallCompleted(const EndpointCallResult& end, dispatch_policy::EndpointId number,
                      std::size_t parts, std::chrono::milliseconds took) {
  if (!observe::Logs(Concern::kEngine, Level::kDebug)) return;
  observe::Log(Concern::kEngine, Level::kDebug, "call completed",
               {{"endpoint", number},
                {"messages", parts},
                {"outcome", static_cast<int>(end.outcome)},
                {"status", end.status},
                {"retry_after_ms", end.retry_after_ms},
                {"elapsed_ms", took.count()},
                {"load", end.load_report}});
}

}  // namespace brassfront
