#include "fleet/health_traffic.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace brassfront::fleet {
namespace {

using dispatch_policy::Outcome;
using dispatch_policy::PeerHealth;
using verdicts::HealthAdvice;

// Interval of the checks for expired reports, whose lifetimes are in the order of seconds.
constexpr peers::Time kTableTickInterval = std::chrono::milliseconds(250);
// Shorter waits end before peers could make use of a report about them.
constexpr peers::Time kMinSharedRetryAfter = std::chrono::seconds(1);

verdicts::Settings TableSettings(const peers::Sharing& sharing) {
  verdicts::Settings settings;
  settings.kept = sharing.kept;
  return settings;
}

PeerHealth ToPeerHealth(HealthAdvice::What what) {
  switch (what) {
    case HealthAdvice::What::kDown:
      return PeerHealth::kFailing;
    case HealthAdvice::What::kWait:
      return PeerHealth::kRetryAfter;
    case HealthAdvice::What::kCold:
      return PeerHealth::kWarmingUp;
    case HealthAdvice::What::kServes:
      return PeerHealth::kServing;
    case HealthAdvice::What::kTestedByOther:
      break;
  }
  return PeerHealth::kBeingTested;
}

}  // namespace

HealthTraffic::HealthTraffic(const peers::Roster& roster, std::string self,
                             std::uint64_t process_incarnation)
    : table_(TableSettings(roster.sharing), std::move(self), process_incarnation),
      table_timer_(kTableTickInterval) {}

void HealthTraffic::OnCallCompleted(const CallCompleted& call, Time now) {
  const std::string& endpoint = call.target.endpoint;
  switch (call.outcome) {
    case Outcome::kDelivered:
      return table_.Answered(endpoint, call.started.time_since_epoch(), now);
    case Outcome::kConnectFailed:
    case Outcome::kReset:
    case Outcome::kTimeout:
    case Outcome::kCancelled:
    case Outcome::kError:
      return table_.Failed(endpoint, now);
    case Outcome::kRejected:
      if (call.retry_after >= kMinSharedRetryAfter) {
        table_.OnRetryAfter(endpoint, call.retry_after, now);
      }
      return;
    case Outcome::kNotSent:
    case Outcome::kConnectionLimitReached:
      return;
  }
}

void HealthTraffic::Receive(const peers::Frame& frame, Time now) {
  table_.Receive(frame.from, frame.body, now);
}

void HealthTraffic::Tick(Time now, std::vector<OutgoingFrame>& out) {
  if (table_timer_.StartIfDue(now)) table_.Tick(now);
  verdicts::HealthReportTable::OutgoingReports round = table_.TakeOutgoingReports(now);
  for (std::string& to : round.to) {
    out.push_back({peers::Kind::kHealthReports, std::move(to), round.bytes});
  }
}

peers::Time HealthTraffic::Next() const { return std::min(table_timer_.next(), table_.Next()); }

std::vector<EndpointUpdate> HealthTraffic::TakeEndpointUpdates() {
  std::vector<EndpointUpdate> updates;
  for (const HealthAdvice& advice : table_.TakeAdvice()) {
    dispatch_policy::PeerHealthReport report;
    report.health = ToPeerHealth(advice.what);
    report.age = advice.age;
    report.duration = advice.duration;
    report.witnesses = advice.witnesses;
    updates.push_back({advice.endpoint, report});
  }
  return updates;
}

}  // namespace brassfront::fleet
