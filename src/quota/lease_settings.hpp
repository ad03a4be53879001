// What limits of a whole fleet are kept by, and the bounds that follow. No I/O, no clock.
#ifndef BRASSFRONT_QUOTA_LEASE_SETTINGS_HPP_
#define BRASSFRONT_QUOTA_LEASE_SETTINGS_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace brassfront::quota {

using Time = std::chrono::nanoseconds;  // on the member's own monotonic clock

inline double SecondsOf(Time time) { return std::chrono::duration<double>(time).count(); }
inline Time FromSeconds(double seconds) {
  return std::chrono::duration_cast<Time>(std::chrono::duration<double>(seconds));
}

struct LeaseSettings {
  Time term{};          // of a lease, from the moment when it was asked for
  double drift = 0.01;  // by which two members' clocks may run apart
  double floor = 0.2;   // share of a limit that is set aside: an even part for each member
  Time burst{};         // of a member's rate, what may come at once; one call at least
  Time election{};      // of the settled log, whose leader grants
  std::size_t members = 1;
  bool reported = true;                    // limits that endpoints report hold as well
  std::map<std::string, double> listed{};  // calls a second, by key, from the operator file

  [[nodiscard]] Time Renew() const { return term / 4; }
  // What a call was reported of a limit counts for so long; whoever calls seldom knows only an old
  // one.
  [[nodiscard]] Time ReportedLimitLifetime() const { return 2 * term; }
  // A new grantor waits for so long: what the one before granted has ended by then, on whichever
  // member's clock, and the one before, which leads for two elections without a majority at most,
  // grants no more.
  [[nodiscard]] Time QuietTime() const { return Stretched(term + 2 * election); }
  // What a member has lent of its floor may be granted for so long after the answer that it shows
  // to have had, and the member leaves it alone for so long after each time that it says so: until
  // all leases from it have surely ended.
  [[nodiscard]] Time LentQuotaLifetime() const { return Shortened(term); }
  [[nodiscard]] Time LeaseCoolDown() const { return Stretched(Stretched(2 * term)); }
  // As long as any clock may take for it.
  [[nodiscard]] Time Stretched(Time time) const {
    return FromSeconds(SecondsOf(time) * (1 + drift));
  }
  // Ended on its own clock after so long, a time has ended on no other clock before.
  [[nodiscard]] Time Shortened(Time time) const {
    return FromSeconds(SecondsOf(time) * (1 - drift));
  }
  [[nodiscard]] double FloorOf(double limit) const {
    return limit * floor / static_cast<double>(members);
  }
  // Calls that a member of this rate may begin at once.
  [[nodiscard]] double MaxBurst(double rate) const {
    const double calls = rate * SecondsOf(burst);
    return calls > 1 ? calls : 1;
  }

  // ---- bounds; docs/design/quota.md derives them ----

  // Calls above limit x window, in any window, while the limit stands: with links whole or cut,
  // members stopped, killed or woken.
  [[nodiscard]] double MostAtOnce(double limit) const {
    return static_cast<double>(members) + limit * SecondsOf(burst);
  }
  // For so long after a limit was lowered more may be begun, at the old rate at most: until all
  // that was granted by the old one has ended. `unheard` until a member that grants has heard of
  // it.
  [[nodiscard]] Time LoweredFor(Time unheard) const { return unheard + Stretched(term); }
};

// A limit's name: of a destination, or of an endpoint whose route is apart.
inline std::string KeyOf(std::uint64_t destination) { return "d" + std::to_string(destination); }
inline std::string KeyOf(const std::string& endpoint) { return "e:" + endpoint; }

}  // namespace brassfront::quota

#endif  // BRASSFRONT_QUOTA_LEASE_SETTINGS_HPP_
