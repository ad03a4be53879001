#include "forwarder/endpoint_protocol.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

#include "protocol/base64.hpp"
#include "protocol/http.hpp"
#include "protocol/json.hpp"

namespace brassfront {
namespace {

using dispatch_policy::Outcome;

// Values of a load report above these limits are treated as errors. A share may be a little over 1,
// because reports are noisy.
constexpr double kMaxAllowanceLeft = 2;
constexpr double kMaxReportedLimit = 1e6;  // calls per second
// A longer Retry-After is shortened to this, so that an endpoint's error does not stop calls to it
// permanently.
constexpr std::chrono::milliseconds kMaxRetryAfter = std::chrono::hours(1);

template <typename T>
std::optional<T> Parse(std::string_view text) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

// Returns what the HTTP status says about each attempt in the call.
AttemptAnswer ParseStatus(const EndpointCallResult& result) {
  switch (result.status) {
    case 200:
      return AttemptAnswer::kDelivered;
    case 429:
      return AttemptAnswer::kRejected;
    case 503:
      return result.slots_taken.empty() ? AttemptAnswer::kRejected : AttemptAnswer::kNotSent;
    case 504:
      return AttemptAnswer::kExhausted;
    case 410:
      return AttemptAnswer::kOver;
    case 400:
    case 413:  // the endpoint did not read the request
      return AttemptAnswer::kNotSent;
    default:
      return AttemptAnswer::kError;
  }
}

AttemptAnswer ParseItemState(const std::string& state) {
  if (state == "ok") return AttemptAnswer::kDelivered;
  if (state == "later") return AttemptAnswer::kRejected;
  if (state == "gone") return AttemptAnswer::kOver;
  if (state == "exhausted") return AttemptAnswer::kExhausted;
  return AttemptAnswer::kError;
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

HttpHeaders TimeLeft(std::chrono::milliseconds time_left) {
  return {{"X-Time-Left-Ms", std::to_string(time_left.count())}};
}

}  // namespace

AttemptResult ParseSingleAnswer(const EndpointCallResult& result) {
  if (result.outcome != CallOutcome::kAnswered) return WithoutAnswer(ToOutcome(result.outcome));
  return Interpret(ParseStatus(result), result.certainty);
}

std::vector<AttemptResult> ParseBatchAnswer(const EndpointCallResult& result,
                                            std::span<const std::string> ids) {
  if (result.outcome != CallOutcome::kAnswered || result.status != 200) {
    return std::vector<AttemptResult>(ids.size(), ParseSingleAnswer(result));
  }
  if (!result.complete) {  // an incomplete answer delivers nothing
    return std::vector<AttemptResult>(ids.size(), WithoutAnswer(Outcome::kReset));
  }
  // An attempt whose id is missing in a complete answer may have run.
  std::vector<AttemptResult> results(ids.size(),
                                     Interpret(AttemptAnswer::kError, result.certainty));
  try {
    const json::Value answer = json::Parse(result.body);
    for (const json::Value& item : answer.Items()) {
      const auto it = std::find(ids.begin(), ids.end(), item.At("id").Text());
      if (it == ids.end()) continue;
      results[it - ids.begin()] =
          Interpret(ParseItemState(item.At("state").Text()), result.certainty);
    }
  } catch (const json::Error&) {  // attempts that were not parsed before the error may have run
  }
  return results;
}

std::vector<AttemptResult> ParseAnswer(const EndpointCallResult& result,
                                       std::span<const std::string> batch_ids) {
  if (batch_ids.empty()) return {ParseSingleAnswer(result)};
  return ParseBatchAnswer(result, batch_ids);
}

std::chrono::milliseconds ParseRetryAfter(const EndpointCallResult& result) {
  const std::uint64_t max = kMaxRetryAfter.count();
  return std::chrono::milliseconds(
      std::min(Parse<std::uint64_t>(result.retry_after_ms).value_or(0), max));
}

dispatch_policy::LoadReport ParseLoadReport(const EndpointCallResult& result) {
  dispatch_policy::LoadReport report;
  std::string_view rest = result.load_report;
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

std::string FormatBatchItem(const CallItem& item) {
  std::string text = R"({"id":)" + json::Quote(item.id);
  if (!item.key.empty()) text += R"(,"key":)" + json::Quote(item.key);
  return text + R"(,"body":")" + EncodeBase64(item.body) + R"("})";
}

std::string FormatSingleCall(const std::string& address, const CallItem& item,
                             std::chrono::milliseconds time_left) {
  HttpHeaders headers = TimeLeft(time_left);
  headers.emplace_back("X-Correlation-Id", item.id);
  if (!item.key.empty()) headers.emplace_back("Idempotency-Key", item.key);
  return HttpPost("/events", address, headers, item.body);
}

std::string FormatBatchCall(const std::string& address, std::span<const CallItem> items,
                            std::chrono::milliseconds time_left) {
  std::string body = "[";
  for (const CallItem& item : items) {
    if (body.size() > 1) body += ',';
    body += FormatBatchItem(item);
  }
  return HttpPost("/events/bundle", address, TimeLeft(time_left), body + "]");
}

}  // namespace brassfront
