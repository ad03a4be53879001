// The newest committed maintenance state that this member has received, from its own log or from
// the leader. It is stored in a file for the next start.
#ifndef BRASSFRONT_FLEET_KNOWN_STATE_HPP_
#define BRASSFRONT_FLEET_KNOWN_STATE_HPP_

#include <string>

#include "maintenance/maintenance_state.hpp"

namespace brassfront::fleet {

// Used only by the fleet's thread once that thread is running.
class KnownState {
 public:
  // Loads the file `known` in the folder. A file that cannot be read is logged and ignored; the
  // state is then requested from the leader.
  explicit KnownState(const std::string& folder);

  [[nodiscard]] const maintenance::MaintenanceState& get() const { return state_; }
  // Adopts a state if it is newer: logs each request whose state differs, and writes the file.
  // Returns whether the state was newer.
  bool Update(const maintenance::MaintenanceState& newer);

 private:
  void LogChangesSince(const maintenance::MaintenanceState& before) const;
  void LogRequest(const maintenance::Request& request) const;

  const std::string path_;
  maintenance::MaintenanceState state_;
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_KNOWN_STATE_HPP_
