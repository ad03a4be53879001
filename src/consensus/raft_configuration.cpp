#include "consensus/raft_configuration.hpp"

#include <algorithm>

namespace brassfront::consensus {
namespace {

constexpr std::size_t kMaxServers = 16;  // in one configuration; a roster has at most 7 voters

}  // namespace

std::vector<Server> ReadConfiguration(const raft_configuration& configuration) {
  std::vector<Server> servers;
  for (unsigned i = 0; i < configuration.n; ++i) {
    const raft_server& server = configuration.servers[i];
    servers.push_back({server.id, server.address, server.role});
  }
  return servers;
}

bool FillConfiguration(raft_configuration& configuration, const std::vector<Server>& servers) {
  raft_configuration_init(&configuration);
  return std::all_of(servers.begin(), servers.end(), [&](const Server& server) {
    return raft_configuration_add(&configuration, server.id, server.name.c_str(), server.role) == 0;
  });
}

void EncodeServers(peers::Writer& out, const std::vector<Server>& servers) {
  out.U8(servers.size());
  for (const Server& server : servers) {
    out.U64(server.id).Name(server.name).U8(static_cast<std::uint64_t>(server.role));
  }
}

std::vector<Server> DecodeServers(peers::Reader& in) {
  std::vector<Server> servers(std::min<std::size_t>(in.U8(), kMaxServers));
  for (Server& server : servers) {
    server.id = in.U64();
    server.name = in.Name();
    server.role = in.U8();
  }
  return servers;
}

std::optional<ConfigurationChange> PlanConfigurationChange(const std::vector<Server>& servers,
                                                           const std::vector<std::string>& voters,
                                                           std::uint64_t own_id,
                                                           const EmptyLogs& empty_logs,
                                                           std::chrono::nanoseconds now) {
  using Kind = ConfigurationChange::Kind;
  for (const Server& server : servers) {
    if (server.id == own_id) continue;
    const bool wanted = std::find(voters.begin(), voters.end(), server.name) != voters.end();
    if (!wanted || empty_logs.HasReplaced(server, now)) {
      return ConfigurationChange{Kind::kRemove, server.id, server.name};
    }
    if (server.role != RAFT_VOTER) {
      return ConfigurationChange{Kind::kPromoteToVoter, server.id, server.name};
    }
  }
  for (const std::string& voter : voters) {
    const bool present = std::any_of(servers.begin(), servers.end(),
                                     [&](const Server& server) { return server.name == voter; });
    if (present) continue;
    if (const auto id = empty_logs.Find(voter, now)) {
      return ConfigurationChange{Kind::kAdd, *id, voter};
    }
  }
  return std::nullopt;
}

}  // namespace brassfront::consensus
