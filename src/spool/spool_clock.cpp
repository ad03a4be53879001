#include "spool/spool_clock.hpp"

#include <algorithm>

#include "spool/file.hpp"

namespace brassfront {
namespace {

constexpr const char* kBootIdPath = "/proc/sys/kernel/random/boot_id";
constexpr std::size_t kBootIdBytes = 36;  // a UUID

std::string ReadBootId() {
  const File file = File::OpenToRead(kBootIdPath);
  if (!file.is_open()) return "";
  return file.Read(0, kBootIdBytes).value_or("");
}

}  // namespace

MachineTime ReadMachineTime() {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const auto monotonic = std::chrono::steady_clock::now().time_since_epoch();
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return {ReadBootId(), duration_cast<milliseconds>(monotonic), duration_cast<UnixMs>(wall)};
}

bool SpoolClock::Begin(const std::optional<spool::ClockAnchor>& stored, UnixMs latest,
                       const MachineTime& now) {
  const bool follows = stored && !now.boot_id.empty() && stored->boot_id == now.boot_id &&
                       stored->monotonic <= now.monotonic;
  anchor_ = follows ? *stored
                    : spool::ClockAnchor{now.boot_id, now.monotonic, std::max(now.wall, latest)};
  return !follows;
}

}  // namespace brassfront
