// JSON of quota leases and health reports in the control socket's replies, and the bounds that
// follow from a roster's settings. Operators' scripts rely on the field names, which must not
// change. No I/O.
#ifndef BRASSFRONT_FLEET_SHARING_REPORTS_HPP_
#define BRASSFRONT_FLEET_SHARING_REPORTS_HPP_

#include <string>

#include "fleet/lease_traffic.hpp"
#include "peers/roster.hpp"
#include "verdicts/health_report_table.hpp"

namespace brassfront::fleet {

// This member's share of each limit; on the leader also the leases granted to each member.
[[nodiscard]] std::string LimitsJson(const LeaseTraffic& leases, peers::Time now);
// The health reports of all members on endpoints, and which members' reports count.
[[nodiscard]] std::string VerdictsJson(const verdicts::HealthReportTable& table, peers::Time now);

enum class BoundsFormat { kText, kJson };
[[nodiscard]] std::string SharingBoundsToText(const peers::Roster& roster, BoundsFormat format);

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_SHARING_REPORTS_HPP_
