// Which voters have announced that their log is empty, and with which folder. The first voter waits
// for all of them before it bootstraps the cluster; later the leader learns from them that a
// voter's folder was lost, and which one it has now.
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

  // `voter` has announced an empty log in the folder `identity`.
  void Record(const std::string& voter, std::uint64_t identity, Time now);

  // The folder of the voter's latest announcement; nothing if that has expired.
  [[nodiscard]] std::optional<std::uint64_t> Find(const std::string& voter, Time now) const;

  // The server's name has announced an empty log in another folder than this server's, and several
  // times in a row: a single announcement may be a frame that was late.
  [[nodiscard]] bool HasReplaced(const Server& server, Time now) const;

 private:
  struct Announcement {
    std::uint64_t identity = 0;
    Time received{};
    std::size_t repeats = 0;  // of this folder in a row, each before the last had expired
  };

  [[nodiscard]] const Announcement* FindUnexpired(const std::string& voter, Time now) const;

  std::map<std::string, Announcement> announcements_;  // by the voter's name
};

}  // namespace brassfront::consensus

#endif  // BRASSFRONT_CONSENSUS_EMPTY_LOGS_HPP_
