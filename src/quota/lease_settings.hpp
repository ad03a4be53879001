// Settings of fleet-wide limits, and the timing bounds derived from them. No I/O, no clock.
#ifndef BRASSFRONT_QUOTA_LEASE_SETTINGS_HPP_
#define BRASSFRONT_QUOTA_LEASE_SETTINGS_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace brassfront::quota {

using Time = std::chrono::nanoseconds;  // on the member's own monotonic clock

[[nodiscard]] inline double SecondsOf(Time time) {
  return std::chrono::duration<double>(time).count();
}
[[nodiscard]] inline Time FromSeconds(double seconds) {
  return std::chrono::duration_cast<Time>(std::chrono::duration<double>(seconds));
}

// Settings of leases; the same on every member. docs/design/quota.md derives the bounds.
struct LeaseSettings {
  Time term{};          // duration of a lease, from the moment its request is written
  double drift = 0.01;  // clock drift bound: the largest relative error of a member's clock
  double floor = 0.2;   // fraction of each limit that is reserved, evenly among the members
  Time burst{};         // a member may start at once the calls that its rate allows in this time
  Time election{};      // election timeout of the replicated log, whose leader grants leases
  std::size_t members = 1;
  bool reported = true;                    // whether limits that endpoints report apply as well
  std::map<std::string, double> listed{};  // calls a second, by key, from the operator's file

  // Interval of lease requests; a lease survives the loss of two requests.
  [[nodiscard]] Time Renew() const { return term / 4; }
  // How long a reported limit is valid. A member that makes few calls may only know an old one.
  [[nodiscard]] Time ReportedLimitLifetime() const { return 2 * term; }
  // A new grantor grants nothing for this time. A former leader without a majority grants leases
  // for at most two election timeouts, and its last lease has expired one term later on any
  // member's clock.
  [[nodiscard]] Time QuietTime() const { return Stretched(term + 2 * election); }
  // Leases are granted from lent quota for LentQuotaLifetime after the answer that the lender's
  // request names. The lender leaves the quota unused for LeaseCoolDown after each request that
  // lends it. By then every lease granted from it has expired on any member's clock.
  [[nodiscard]] Time LentQuotaLifetime() const { return Shortened(term); }
  [[nodiscard]] Time LeaseCoolDown() const { return Stretched(Stretched(2 * term)); }
  // The longest time that may pass on any member's clock while `time` passes on another's.
  [[nodiscard]] Time Stretched(Time time) const {
    return FromSeconds(SecondsOf(time) * (1 + drift));
  }
  // A time that, once it has passed on this member's clock, is not more than `time` on any other's.
  [[nodiscard]] Time Shortened(Time time) const {
    return FromSeconds(SecondsOf(time) * (1 - drift));
  }
  // One member's reserved minimum of a limit, in calls a second.
  [[nodiscard]] double FloorOf(double limit) const {
    return limit * floor / static_cast<double>(members);
  }
  // Number of calls that a member with this rate may start at once, at least one.
  [[nodiscard]] double MaxBurst(double rate) const {
    const double calls = rate * SecondsOf(burst);
    return calls > 1 ? calls : 1;
  }

  // ---- bounds; docs/design/quota.md derives them ----

  // Upper bound of the calls in excess of limit x window, in any time window, while the limit is
  // unchanged. It holds also if links are cut and members are suspended, resumed or ended.
  [[nodiscard]] double MaxExcessCalls(double limit) const {
    return static_cast<double>(members) + limit * SecondsOf(burst);
  }
  // Maximum time after a limit was lowered in which calls may start at the old rate, that is, until
  // every lease granted under the old limit has expired. `detection_delay` is the time until the
  // grantor learns of the new limit.
  [[nodiscard]] Time MaxTimeAtOldRate(Time detection_delay) const {
    return detection_delay + Stretched(term);
  }
};

// The key of a limit in frames and reports, for a destination or for an endpoint that has a
// separate limit.
[[nodiscard]] inline std::string KeyOf(std::uint64_t destination) {
  return "d" + std::to_string(destination);
}
[[nodiscard]] inline std::string KeyOf(const std::string& endpoint) { return "e:" + endpoint; }

}  // namespace brassfront::quota

#endif  // BRASSFRONT_QUOTA_LEASE_SETTINGS_HPP_
