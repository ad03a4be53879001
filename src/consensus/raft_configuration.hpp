// The configuration of the Raft cluster, which servers replicate the log: conversions to and from
// libraft's type and bytes, and the rule by which the leader brings it to the roster's voters.
#ifndef BRASSFRONT_CONSENSUS_RAFT_CONFIGURATION_HPP_
#define BRASSFRONT_CONSENSUS_RAFT_CONFIGURATION_HPP_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "consensus/empty_logs.hpp"
#include "consensus/libraft.hpp"
#include "consensus/store.hpp"
#include "peers/bytes.hpp"

namespace brassfront::consensus {

[[nodiscard]] std::vector<Server> ReadConfiguration(const raft_configuration& configuration);

// Initializes `configuration` with the servers; the caller closes it by raft_configuration_close,
// also where this returns false because libraft does not accept one of them.
[[nodiscard]] bool FillConfiguration(raft_configuration& configuration,
                                     const std::vector<Server>& servers);

// count u8 | of each server: id u64, name, role u8
void EncodeServers(peers::Writer& out, const std::vector<Server>& servers);
// What is not there leaves `in` broken. Reads 16 servers at most.
[[nodiscard]] std::vector<Server> DecodeServers(peers::Reader& in);

// One step of a membership change: Raft changes one server at a time.
struct ConfigurationChange {
  enum class Kind { kAdd, kPromoteToVoter, kRemove };
  Kind kind{};
  std::uint64_t id = 0;  // of the server's folder
  std::string name;

  bool operator==(const ConfigurationChange&) const = default;
};

// The next step from the servers there are to the roster's voters, each by the folder that it has
// now; nothing where there is no more to do, or a voter is missing that has not yet been heard. The
// server `own_id`, the leader itself, stays. A server that is not wanted, or whose folder was lost,
// is removed first; then a server without a vote gets one; then a missing voter is added.
[[nodiscard]] std::optional<ConfigurationChange> PlanConfigurationChange(
    const std::vector<Server>& servers, const std::vector<std::string>& voters,
    std::uint64_t own_id, const EmptyLogs& empty_logs, std::chrono::nanoseconds now);

}  // namespace brassfront::consensus

#endif  // BRASSFRONT_CONSENSUS_RAFT_CONFIGURATION_HPP_
