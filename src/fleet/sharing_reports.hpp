// The JSON of quota leases and health reports in the control socket's replies, and the bounds that
// a roster's settings promise. Field names are for operators' scripts and stay as they are. No I/O.
#ifndef BRASSFRONT_FLEET_SHARING_REPORTS_HPP_
#define BRASSFRONT_FLEET_SHARING_REPORTS_HPP_

#include <string>

#include "fleet/lease_traffic.hpp"
#include "peers/roster.hpp"
#include "verdicts/health_report_table.hpp"

namespace brassfront::fleet {

// This member's share of each limit; on the leader also what is granted to whom.
[[nodiscard]] std::string LimitsJson(const LeaseTraffic& leases, peers::Time now);
// Who reports what on which endpoint, and which members' reports count.
[[nodiscard]] std::string VerdictsJson(const verdicts::HealthReportTable& table, peers::Time now);

enum class BoundsFormat { kText, kJson };
[[nodiscard]] std::string SharingBoundsToText(const peers::Roster& roster, BoundsFormat format);

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_SHARING_REPORTS_HPP_
