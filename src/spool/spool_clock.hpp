// The clock of the times in a spool. They are written as Unix times and survive the process, but
// the wall clock may be stepped at any moment, so they are not read from it: an anchor in the file
// says which moment of this machine's monotonic clock one Unix time stood for, and all others
// follow from that. Only where the machine has been started anew does the wall clock tell how much
// time has passed. No I/O.
#ifndef BRASSFRONT_SPOOL_SPOOL_CLOCK_HPP_
#define BRASSFRONT_SPOOL_SPOOL_CLOCK_HPP_

#include <chrono>
#include <optional>
#include <string>

#include "spool/spool_record.hpp"

namespace brassfront {

// What the machine's clocks say at one moment.
struct MachineTime {
  std::string boot_id;  // of this start of the machine; empty: unknown
  std::chrono::milliseconds monotonic{};
  UnixMs wall{};
};

// Reads the clocks. A boot id that can't be read is unknown.
[[nodiscard]] MachineTime ReadMachineTime();

class SpoolClock {
 public:
  // Follows the anchor if it is of this start of the machine: then nothing has to be written and
  // false is returned. Otherwise begins a new anchor, no earlier than `latest`, the latest time in
  // the file; it is to be written.
  bool Begin(const std::optional<spool::ClockAnchor>& stored, UnixMs latest,
             const MachineTime& now);

  // To be called after Begin.
  [[nodiscard]] const spool::ClockAnchor& anchor() const { return anchor_; }
  // The time at a moment of the monotonic clock.
  [[nodiscard]] UnixMs TimeAt(std::chrono::milliseconds monotonic) const {
    return anchor_.wall + (monotonic - anchor_.monotonic);
  }

 private:
  spool::ClockAnchor anchor_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_SPOOL_SPOOL_CLOCK_HPP_
