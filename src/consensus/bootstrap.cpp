#include "consensus/bootstrap.hpp"

#include <algorithm>

#include "consensus/libraft.hpp"
#include "consensus/raft_configuration.hpp"
#include "peers/bytes.hpp"

namespace brassfront::consensus {
namespace {

enum class Tag : std::uint8_t { kEmptyLog = 1, kFirstConfiguration = 2 };

}  // namespace

std::string EncodeBootstrapMessage(const BootstrapMessage& message) {
  peers::Writer out;
  if (const auto* const first = std::get_if<FirstConfiguration>(&message)) {
    out.U8(static_cast<std::uint64_t>(Tag::kFirstConfiguration));
    EncodeServers(out, first->servers);
  } else {
    out.U8(static_cast<std::uint64_t>(Tag::kEmptyLog));
  }
  return out.Take();
}

std::optional<BootstrapMessage> DecodeBootstrapMessage(std::string_view bytes) {
  peers::Reader in(bytes);
  BootstrapMessage message;
  switch (static_cast<Tag>(in.U8())) {
    case Tag::kEmptyLog:
      message = EmptyLogAnnouncement{};
      break;
    case Tag::kFirstConfiguration:
      message = FirstConfiguration{DecodeServers(in)};
      break;
    default:
      return std::nullopt;
  }
  if (!in.done()) return std::nullopt;
  return message;
}

std::optional<std::vector<Server>> MakeFirstConfiguration(const std::vector<std::string>& voters,
                                                          std::uint64_t own_id,
                                                          const EmptyLogs& empty_logs,
                                                          std::chrono::nanoseconds now) {
  std::vector<Server> servers = {{own_id, voters.front(), RAFT_VOTER}};
  for (std::size_t i = 1; i < voters.size(); ++i) {
    const std::optional<std::uint64_t> id = empty_logs.Find(voters[i], now);
    if (!id) return std::nullopt;
    servers.push_back({*id, voters[i], RAFT_VOTER});
  }
  return servers;
}

bool ContainsServer(const std::vector<Server>& servers, std::uint64_t id, std::string_view name) {
  return std::any_of(servers.begin(), servers.end(),
                     [&](const Server& server) { return server.id == id && server.name == name; });
}

}  // namespace brassfront::consensus
