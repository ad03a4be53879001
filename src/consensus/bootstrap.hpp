// Bootstrap of the Raft cluster: every voter without a log announces that its log is empty. The
// first voter of the roster waits for all announcements, creates the first configuration from the
// announced folder ids, and replies with it to each later announcement from one of these folders.
//
// A voter that has a log takes no part, so at most one first configuration is ever created.
#ifndef BRASSFRONT_CONSENSUS_BOOTSTRAP_HPP_
#define BRASSFRONT_CONSENSUS_BOOTSTRAP_HPP_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "consensus/empty_logs.hpp"
#include "consensus/store.hpp"

namespace brassfront::consensus {

// Interval at which a voter without a log announces that. It is short compared with starting the
// members by hand, and an announcement is only a few bytes.
inline constexpr std::chrono::nanoseconds kEmptyLogInterval = std::chrono::milliseconds(300);

// The sender, a voter of the roster, has no log.
struct EmptyLogAnnouncement {};

// The configuration that the first voter has created.
struct FirstConfiguration {
  std::vector<Server> servers;
};

using BootstrapMessage = std::variant<EmptyLogAnnouncement, FirstConfiguration>;

[[nodiscard]] std::string EncodeBootstrapMessage(const BootstrapMessage& message);
// Returns nullopt if the bytes are not a valid bootstrap message.
[[nodiscard]] std::optional<BootstrapMessage> DecodeBootstrapMessage(std::string_view bytes);

// Called by the first of `voters`, whose folder id is `own_id`. Returns all voters with their
// folder ids, or nullopt while any of them has no unexpired announcement of an empty log.
[[nodiscard]] std::optional<std::vector<Server>> MakeFirstConfiguration(
    const std::vector<std::string>& voters, std::uint64_t own_id, const EmptyLogs& empty_logs,
    std::chrono::nanoseconds now);

// Whether one of the servers has both this folder id and this name.
[[nodiscard]] bool ContainsServer(const std::vector<Server>& servers, std::uint64_t id,
                                  std::string_view name);

}  // namespace brassfront::consensus

#endif  // BRASSFRONT_CONSENSUS_BOOTSTRAP_HPP_
