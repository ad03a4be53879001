// Records which voters have announced that their log is empty, and the id of their folder. The
// first voter waits for all announcements before it bootstraps the cluster. Later the leader learns
// from an announcement that a voter's folder was lost, and the id of its new folder.
//
// Owned and called by one thread.
#ifndef BRASSFRONT_CONSENSUS_EMPTY_LOGS_HPP_
#define BRASSFRONT_CONSENSUS_EMPTY_LOGS_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "consensus/store.hpp"

namespace brassfront::consensus {

class EmptyLogs {
 public:
  using Time = std::chrono::nanoseconds;

  // Records that `voter` has announced an empty log in the folder with the id `identity`.
  void Record(const std::string& voter, std::uint64_t identity, Time now);

  // The folder id in the voter's latest announcement; nullopt if that announcement has expired.
  [[nodiscard]] std::optional<std::uint64_t> Find(const std::string& voter, Time now) const;

  // Whether the voter of this server's name has announced an empty log in a different folder
  // several times in a row. A single announcement may be a delayed frame and does not suffice.
  [[nodiscard]] bool HasReplaced(const Server& server, Time now) const;

 private:
  struct Announcement {
    std::uint64_t identity = 0;
    Time received{};
    // Consecutive announcements of this folder, each received before the previous one had expired.
    std::size_t repeats = 0;
  };

  [[nodiscard]] const Announcement* FindUnexpired(const std::string& voter, Time now) const;

  std::map<std::string, Announcement> announcements_;  // by the voter's name
};

}  // namespace brassfront::consensus

#endif  // BRASSFRONT_CONSENSUS_EMPTY_LOGS_HPP_
