// SWIM's probe order: the members in a random order, each once a round, so that at most two rounds
// pass between two probes of the same member.
#ifndef BRASSFRONT_PEERS_PROBE_ROUND_HPP_
#define BRASSFRONT_PEERS_PROBE_ROUND_HPP_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "peers/random.hpp"

namespace brassfront::peers {

class ProbeRound {
 public:
  // Starts a new round with the next probe, after the members have changed.
  void Restart() { remaining_.clear(); }

  // Returns the next member for which `eligible(name)` is true, or nullopt if there is none.
  // `members` is a range of pairs with the name first; its order and `random` determine the order
  // of the round.
  template <typename Members, typename Predicate>
  std::optional<std::string> Next(const Members& members, Random& random,
                                  const Predicate& eligible) {
    // The remaining members of this round, then one complete round.
    for (int round = 0; round < 2; ++round) {
      while (!remaining_.empty()) {
        std::string name = std::move(remaining_.back());
        remaining_.pop_back();
        if (eligible(name)) return name;
      }
      for (const auto& [name, member] : members) remaining_.push_back(name);
      Shuffle(random);
    }
    return std::nullopt;
  }

 private:
  // Fisher-Yates shuffle.
  void Shuffle(Random& random) {
    for (std::size_t i = remaining_.size(); i > 1; --i) {
      std::swap(remaining_[i - 1], remaining_[random.Below(i)]);
    }
  }

  std::vector<std::string> remaining_;  // members left in this round; the last one is next
};

}  // namespace brassfront::peers

#endif  // BRASSFRONT_PEERS_PROBE_ROUND_HPP_
