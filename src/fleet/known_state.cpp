#include "fleet/known_state.hpp"

#include <fstream>
#include <iterator>
#include <optional>
#include <utility>

#include "observe/log.hpp"
#include "peers/atomic_file.hpp"

namespace brassfront::fleet {

using observe::Concern;
using observe::Level;

KnownState::KnownState(const std::string& folder) : path_(folder + "/known") {
  std::ifstream file(path_, std::ios::binary);
  const std::string stored{std::istreambuf_iterator<char>(file), {}};
  if (!stored.empty() && !state_.Load(stored)) {
    observe::Log(Concern::kFleet, Level::kWarning, "kept state cannot be read, asked for anew");
  }
}

bool KnownState::Update(const maintenance::MaintenanceState& newer) {
  if (newer.revision() <= state_.revision()) return false;
  const maintenance::MaintenanceState before = std::exchange(state_, newer);
  LogChangesSince(before);
  if (!peers::WriteAtomically(path_, state_.Save())) {
    observe::LogRateLimited(Concern::kFleet, Level::kError, "settled state cannot be kept");
  }
  return true;
}

void KnownState::LogChangesSince(const maintenance::MaintenanceState& before) const {
  const auto state_before = [&](std::uint64_t id) -> std::optional<maintenance::State> {
    const auto request = before.requests().find(id);
    if (request == before.requests().end()) return std::nullopt;
    return request->second.state;
  };
  for (const auto& [id, request] : state_.requests()) {
    if (state_before(id) != request.state) LogRequest(request);
  }
  for (const auto& request : state_.over()) {
    if (state_before(request.id)) LogRequest(request);
  }
}

void KnownState::LogRequest(const maintenance::Request& request) const {
  observe::Log(Concern::kFleet, Level::kInfo, "work",
               {{"request", request.id},
                {"name", request.name},
                {"state", ToString(request.state)},
                {"used", state_.UsedInAll()},
                {"revision", state_.revision()}});
}

}  // namespace brassfront::fleet
