#include "fleet/sharing_reports.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

#include "protocol/json.hpp"
#include "quota/lease_settings.hpp"

namespace brassfront::fleet {
namespace {

using peers::Time;

std::string NumberToText(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", value);
  return text.data();
}

std::string SecondsToText(Time time) { return NumberToText(quota::SecondsOf(time)); }

// Adds a row to a JSON array's text.
void AppendRow(std::string& rows, const std::string& row) {
  if (!rows.empty()) rows += ",";
  rows += row;
}

std::string ShareJson(const quota::LeaseHolder& holder, const std::string& key,
                      const quota::LeaseHolder::Share& share, Time now) {
  const auto rate = holder.RateOf(key, now);
  std::string row = "{\"limit\":" + json::Quote(key);
  row += ",\"calls\":" + NumberToText(share.limit) + ",\"told\":" + NumberToText(share.reported);
  row += ",\"ours\":" + (rate ? NumberToText(*rate) : "null");
  row += ",\"lease\":" + NumberToText(share.lease);
  row += ",\"ends_in_s\":" + SecondsToText(std::max(Time{}, share.ends - now));
  row += ",\"demand\":" + NumberToText(share.demand);
  row += ",\"begun\":" + std::to_string(share.begun);
  row += ",\"held_back\":" + std::to_string(share.held_back) + "}";
  return row;
}

std::string GrantedLeaseJson(const std::string& key, const std::string& holder,
                             const quota::LeaseGrantor::Lease& lease, Time now) {
  return "{\"limit\":" + json::Quote(key) + ",\"holder\":" + json::Quote(holder) +
         ",\"lease\":" + NumberToText(lease.amount) +
         ",\"ends_in_s\":" + SecondsToText(lease.ends - now) + "}";
}

std::string HealthReportJson(const verdicts::HealthReport& report, bool counts, Time now) {
  std::string row = "{\"endpoint\":" + json::Quote(report.endpoint);
  row += ",\"witness\":" + json::Quote(report.witness);
  row += ",\"seen\":" + json::Quote(ToString(report.seen));
  row += ",\"age_s\":" + SecondsToText(now - report.at);
  row += ",\"rest_s\":" + SecondsToText(report.wait_duration);
  row += ",\"times\":" + std::to_string(report.times) + ",\"counts\":";
  row += counts ? "true}" : "false}";
  return row;
}

std::string WitnessJson(const std::string& name,
                        const verdicts::HealthReportTable::Witness& witness, Time now) {
  std::string row = "{\"name\":" + json::Quote(name);
  row += ",\"strikes\":" + std::to_string(witness.strikes) + ",\"shunned_for_s\":";
  row += SecondsToText(std::max(Time{}, witness.distrusted_until - now)) + "}";
  return row;
}

// Writes bounds one after the other, as readable lines or as one JSON object.
class BoundsWriter {
 public:
  explicit BoundsWriter(BoundsFormat format) : format_(format) {}

  void Add(const std::string& name, const std::string& value, const std::string& explanation) {
    if (format_ == BoundsFormat::kJson) {
      text_ += (text_.empty() ? "{" : ",") + json::Quote(name) + ":" + value;
    } else {
      text_ += name + " " + value + "  " + explanation + "\n";
    }
  }
  [[nodiscard]] std::string Finish() const {
    return format_ == BoundsFormat::kJson ? text_ + "}" : text_;
  }

 private:
  const BoundsFormat format_;
  std::string text_;
};

}  // namespace

std::string LimitsJson(const LeaseTraffic& leases, Time now) {
  const quota::LeaseGrantor& grantor = leases.grantor();
  std::string shares;
  for (const auto& [key, share] : leases.holder().shares()) {
    AppendRow(shares, ShareJson(leases.holder(), key, share, now));
  }
  std::string granted;
  for (const auto& [key, limit] : grantor.limits()) {
    for (const auto& [holder, lease] : limit.leases) {
      if (!leases.leads() || now >= lease.ends) continue;
      AppendRow(granted, GrantedLeaseJson(key, holder, lease, now));
    }
  }
  const bool grants = leases.leads() && grantor.grants(now);
  return "{\"grants\":" + std::string(grants ? "true" : "false") + ",\"limits\":[" + shares +
         "],\"granted\":[" + granted + "]}";
}

std::string VerdictsJson(const verdicts::HealthReportTable& table, Time now) {
  std::string reports;
  for (const auto& [key, report] : table.reports()) {
    AppendRow(reports, HealthReportJson(report, table.Counts(report.witness, now), now));
  }
  std::string witnesses;
  for (const auto& [name, witness] : table.witnesses()) {
    AppendRow(witnesses, WitnessJson(name, witness, now));
  }
  return "{\"words\":[" + reports + "],\"witnesses\":[" + witnesses + "]}";
}

std::string SharingBoundsToText(const peers::Roster& roster, BoundsFormat format) {
  const quota::LeaseSettings settings = LeaseSettingsFrom(roster);
  // Maximum time until a granting member learns of a lowered limit.
  const Time undetected = settings.Renew() + settings.Stretched(settings.term);
  BoundsWriter bounds(format);
  bounds.Add("quiet_s", SecondsToText(settings.QuietTime()),
             "a new leader grants no leases for this time; reserved floors still apply");
  bounds.Add(
      "lease_ends_s", SecondsToText(settings.Stretched(settings.term)),
      "maximum time until the lease of a disconnected, suspended or dead member is free again");
  bounds.Add("lowered_s", SecondsToText(settings.MaxTimeAtOldRate(undetected)),
             "maximum time that calls may start at the old rate after a limit is lowered");
  bounds.Add("word_kept_s", SecondsToText(roster.sharing.kept),
             "a health report on an endpoint is dropped after this time");
  for (const auto& [key, limit] : settings.listed) {
    bounds.Add("over_" + key, NumberToText(settings.MaxExcessCalls(limit)),
               "maximum number of calls above " + NumberToText(limit) +
                   "/s times the window, in any window");
    bounds.Add("floor_" + key, NumberToText(settings.FloorOf(limit)),
               "calls a second that a disconnected member may start");
  }
  return bounds.Finish();
}

}  // namespace brassfront::fleet
