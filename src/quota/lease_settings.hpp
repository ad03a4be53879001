// The settings of fleet-wide limits, and the timing bounds that follow from them. No I/O, no clock.
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

// Settings of leases, the same on every member. docs/design/quota.md derives the bounds.
struct LeaseSettings {
  Time term{};          // of a lease, from the moment its request is written
  double drift = 0.01;  // clock drift bound: the largest relative error of a member's clock
  double floor = 0.2;   // share of each limit that is reserved, evenly among the members
  Time burst{};         // a member may start what its rate yields in this time at once
  Time election{};      // election timeout of the replicated log, whose leader grants
  std::size_t members = 1;
  bool reported = true;                    // whether limits that endpoints report apply as well
  std::map<std::string, double> listed{};  // calls a second, by key, from the operator's file

  // Interval of lease requests: a lease outlives two that are lost.
  [[nodiscard]] Time Renew() const { return term / 4; }
  // How long a limit from a response counts: a member that calls seldom knows only an old one.
  [[nodiscard]] Time ReportedLimitLifetime() const { return 2 * term; }
  // A new grantor grants nothing for this time: a former leader grants for two elections without a
  // majority at most, and its last lease has expired a term later, on any member's clock.
  [[nodiscard]] Time QuietTime() const { return Stretched(term + 2 * election); }
  // Lent quota is granted for LentQuotaLifetime after the answer that the lender names. The lender
  // leaves it unused for LeaseCoolDown after each request that lends it: until every lease granted
  // from it has expired, on any member's clock.
  [[nodiscard]] Time LentQuotaLifetime() const { return Shortened(term); }
  [[nodiscard]] Time LeaseCoolDown() const { return Stretched(Stretched(2 * term)); }
  // The longest time on any member's clock for this time on another's.
  [[nodiscard]] Time Stretched(Time time) const {
    return FromSeconds(SecondsOf(time) * (1 + drift));
  }
  // A time that, once passed on the own clock, has not yet passed on any other.
  [[nodiscard]] Time Shortened(Time time) const {
    return FromSeconds(SecondsOf(time) * (1 - drift));
  }
  // One member's reserved minimum of a limit, in calls a second.
  [[nodiscard]] double FloorOf(double limit) const {
    return limit * floor / static_cast<double>(members);
  }
  // Calls that a member with this rate may start at once: one at least.
  [[nodiscard]] double MaxBurst(double rate) const {
    const double calls = rate * SecondsOf(burst);
    return calls > 1 ? calls : 1;
  }

  // ---- bounds; docs/design/quota.md derives them ----

  // Upper bound of the calls above limit x window, in any window, while the limit is unchanged:
  // with links connected or cut, members suspended, ended or resumed.
  [[nodiscard]] double MaxExcessCalls(double limit) const {
    return static_cast<double>(members) + limit * SecondsOf(burst);
  }
  // How long after a limit was lowered calls may start at the old rate, at most: until every lease
  // granted under the old limit has expired. `unheard`: until a granting member learns of it.
  [[nodiscard]] Time MaxTimeAtOldRate(Time unheard) const { return unheard + Stretched(term); }
};

// The key of a limit, as frames and reports write it: of a destination, or of an endpoint with a
// limit of its own.
[[nodiscard]] inline std::string KeyOf(std::uint64_t destination) {
  return "d" + std::to_string(destination);
}
[[nodiscard]] inline std::string KeyOf(const std::string& endpoint) { return "e:" + endpoint; }

}  // namespace brassfront::quota

#endif  // BRASSFRONT_QUOTA_LEASE_SETTINGS_HPP_
