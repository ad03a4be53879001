// How the first configuration of the cluster comes about: every voter without a log announces that,
// the first voter of the roster waits for all announcements, makes the configuration of their
// folders, and answers each later announcement of one of these with it.
//
// No voter that has a log takes part, so there is one first configuration only.
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

// How often a voter without a log announces it: short beside a start by hand, and a few bytes.
inline constexpr std::chrono::nanoseconds kEmptyLogInterval = std::chrono::milliseconds(300);

// The sender, a voter of the roster, has no log.
struct EmptyLogAnnouncement {};

// The configuration that the first voter has made.
struct FirstConfiguration {
  std::vector<Server> servers;
};

using BootstrapMessage = std::variant<EmptyLogAnnouncement, FirstConfiguration>;

[[nodiscard]] std::string EncodeBootstrapMessage(const BootstrapMessage& message);
// Nothing if the bytes are no such message.
[[nodiscard]] std::optional<BootstrapMessage> DecodeBootstrapMessage(std::string_view bytes);

// For the first of `voters`, whose folder is `own_id`: all of them with their folders, or nothing
// while one of them has not announced an empty log lately.
[[nodiscard]] std::optional<std::vector<Server>> MakeFirstConfiguration(
    const std::vector<std::string>& voters, std::uint64_t own_id, const EmptyLogs& empty_logs,
    std::chrono::nanoseconds now);

// One of the servers has this folder and this name.
[[nodiscard]] bool ContainsServer(const std::vector<Server>& servers, std::uint64_t id,
                                  std::string_view name);

}  // namespace brassfront::consensus

#endif  // BRASSFRONT_CONSENSUS_BOOTSTRAP_HPP_
