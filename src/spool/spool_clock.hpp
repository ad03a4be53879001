// The clock of the times in a spool. Times are stored as Unix times and outlive the process, but
// the wall clock may be stepped at any moment, so they are not read from it. Instead an anchor in
// the file maps one reading of this machine's monotonic clock to a Unix time, and all other times
// are computed from it. The wall clock is only used after a reboot, to estimate how much time has
// passed. SpoolClock does no I/O.
#ifndef BRASSFRONT_SPOOL_SPOOL_CLOCK_HPP_
#define BRASSFRONT_SPOOL_SPOOL_CLOCK_HPP_

#include <chrono>
#include <optional>
#include <string>

#include "spool/spool_record.hpp"

namespace brassfront {

// The readings of the machine's clocks at one moment.
struct MachineTime {
  std::string boot_id;  // identifies this boot of the machine; empty: unknown
  std::chrono::milliseconds monotonic{};
  UnixMs wall{};
};

// Reads the clocks and the boot id, which is empty if it can't be read.
[[nodiscard]] MachineTime ReadMachineTime();

class SpoolClock {
 public:
  // Uses the stored anchor if it belongs to this boot of the machine; nothing has to be written,
  // and the result is false. Otherwise creates a new anchor, which must be written to the file, and
  // returns true. Its time is not before `latest`, the latest time in the file.
  bool Begin(const std::optional<spool::ClockAnchor>& stored, UnixMs latest,
             const MachineTime& now);

  // Must be called after Begin.
  [[nodiscard]] const spool::ClockAnchor& anchor() const { return anchor_; }
  // Converts a reading of the monotonic clock.
  [[nodiscard]] UnixMs TimeAt(std::chrono::milliseconds monotonic) const {
    return anchor_.wall + (monotonic - anchor_.monotonic);
  }

 private:
  spool::ClockAnchor anchor_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_SPOOL_SPOOL_CLOCK_HPP_
