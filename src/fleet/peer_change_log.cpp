#include "fleet/peer_change_log.hpp"

#include <cstddef>

#include "observe/log.hpp"

namespace brassfront::fleet {
namespace {

using observe::Concern;
using observe::Level;

// Number of changes back to a member's earlier identity from which its name counts as used by two
// processes. A member that lost its folder causes one, and a late frame of its earlier process
// another one.
constexpr std::size_t kMinIdentityFlipsOfDuplicate = 3;

void LogChange(const peers::FailureDetector::Change& change) {
  if (change.link) {
    observe::Log(Concern::kFleet, Level::kWarning, "peer link",
                 {{"name", change.name}, {"link", peers::ToString(*change.link)}});
    return;
  }
  observe::Log(Concern::kFleet, Level::kInfo, "peer",
               {{"name", change.name},
                {"state", peers::ToString(change.to)},
                {"was", peers::ToString(change.from)},
                {"life", peers::ProcessIncarnationOf(change.incarnation)}});
}

}  // namespace

void PeerChangeLog::Write(peers::FailureDetector& failure_detector) {
  for (const auto& [name, peer] : failure_detector.peers()) {
    if (peer.identity_flips < kMinIdentityFlipsOfDuplicate) continue;
    if (!logged_duplicates_.insert(name).second) continue;
    observe::Log(Concern::kFleet, Level::kError, "name given twice", {{"name", name}});
  }
  for (const auto& change : failure_detector.TakeChanges()) LogChange(change);
}

}  // namespace brassfront::fleet
