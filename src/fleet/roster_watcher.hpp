// The roster that this member uses, and the check of which changes to its file can take effect
// while the process is running.
#ifndef BRASSFRONT_FLEET_ROSTER_WATCHER_HPP_
#define BRASSFRONT_FLEET_ROSTER_WATCHER_HPP_

#include <string>
#include <vector>

#include "peers/roster.hpp"

namespace brassfront::fleet {

// Used only by the fleet's thread once that thread is running.
class RosterWatcher {
 public:
  // Reads the file. Throws records::BadRecords, and std::runtime_error if the roster does not
  // contain this member.
  RosterWatcher(std::string path, std::string self);

  // Refers to the same object for the watcher's lifetime; Reload changes its contents.
  [[nodiscard]] const peers::Roster& roster() const { return roster_; }
  // This member's entry. Valid until the next Reload.
  [[nodiscard]] const peers::Member& self() const { return *roster_.Find(self_name_); }
  [[nodiscard]] std::vector<std::string> MemberNames() const;

  // Reads the file again. Throws std::exception with the reason if it is invalid or changes what
  // cannot change while the process runs; the roster then stays as it was.
  void Reload();

 private:
  void CheckChange(const peers::Roster& next) const;

  const std::string path_;
  const std::string self_name_;
  peers::Roster roster_;
  const bool started_with_sharing_;
};

// Returns whether limits or health reports are shared.
[[nodiscard]] bool HasSharing(const peers::Roster& roster);

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_ROSTER_WATCHER_HPP_
