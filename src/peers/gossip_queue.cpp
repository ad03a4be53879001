#include "peers/gossip_queue.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace brassfront::peers {
namespace {

// SWIM's lambda: each update is sent this many times log2 of the fleet's size. A higher factor
// would tolerate more packet loss, but keep old updates in frames for longer.
constexpr std::size_t kRetransmitFactor = 3;

}  // namespace

void GossipQueue::Disseminate(const std::string& name, std::size_t fleet_size) {
  transmissions_left_[name] =
      kRetransmitFactor * static_cast<std::size_t>(std::bit_width(fleet_size));
}

void GossipQueue::Retain(const std::set<std::string>& names) {
  std::erase_if(transmissions_left_,
                [&](const auto& entry) { return !names.contains(entry.first); });
}

std::vector<std::string> GossipQueue::TakeFor(const std::string& receiver, std::size_t max_count) {
  using Entry = std::pair<std::string, std::size_t>;
  std::vector<Entry> entries;
  for (const auto& [name, left] : transmissions_left_) {
    if (name != receiver) entries.emplace_back(name, left);
  }
  const std::size_t count = std::min(entries.size(), max_count);
  std::partial_sort(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(count),
                    entries.end(), [](const Entry& one, const Entry& other) {
                      if (one.second != other.second) return one.second > other.second;
                      return one.first < other.first;
                    });
  entries.resize(count);
  std::vector<std::string> names;
  for (auto& [name, left] : entries) {
    const auto it = transmissions_left_.find(name);
    if (--it->second == 0) transmissions_left_.erase(it);
    names.push_back(std::move(name));
  }
  return names;
}

}  // namespace brassfront::peers
