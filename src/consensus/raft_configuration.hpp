// The configuration of the Raft cluster, that is, the servers that replicate the log: conversions
// to and from libraft's type and bytes, and the steps by which the leader adapts it to the roster's
// voters.
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

// Initializes `configuration` with the servers. Returns false if libraft rejects one of them. The
// caller must call raft_configuration_close in either case.
[[nodiscard]] bool FillConfiguration(raft_configuration& configuration,
                                     const std::vector<Server>& servers);

// Writes: count u8 | for each server: id u64, name, role u8
void EncodeServers(peers::Writer& out, const std::vector<Server>& servers);
// Reads at most 16 servers. Missing bytes mark `in` as broken.
[[nodiscard]] std::vector<Server> DecodeServers(peers::Reader& in);

// One step of a membership change: Raft changes one server at a time.
struct ConfigurationChange {
  enum class Kind { kAdd, kPromoteToVoter, kRemove };
  Kind kind{};
  std::uint64_t id = 0;  // of the server's folder
  std::string name;

  bool operator==(const ConfigurationChange&) const = default;
};

// The next step from the current servers to the roster's voters, each with its current folder id.
// Returns nullopt if no step remains, or if the only missing voters have not announced an empty
// log. The server `own_id`, the leader itself, is never removed. Servers that are not in the
// roster, or whose folder was lost, are removed first; then a server without a vote is promoted;
// then a missing voter is added.
[[nodiscard]] std::optional<ConfigurationChange> PlanConfigurationChange(
    const std::vector<Server>& servers, const std::vector<std::string>& voters,
    std::uint64_t own_id, const EmptyLogs& empty_logs, std::chrono::nanoseconds now);

}  // namespace brassfront::consensus

#endif  // BRASSFRONT_CONSENSUS_RAFT_CONFIGURATION_HPP_
