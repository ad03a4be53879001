// SWIM's order of probes: the members in a random order, each once a round, so that the time to the
// next probe of one is bounded by two rounds.
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
  // The members have changed: a new round begins with the next probe.
  void Restart() { remaining_.clear(); }

  // The next member for which `eligible(name)` holds, or nothing if there is none. `members` is a
  // range of pairs with the name first; its order and `random` determine the round's.
  template <typename Members, typename Predicate>
  std::optional<std::string> Next(const Members& members, Random& random,
                                  const Predicate& eligible) {
    // The rest of this round, then one whole round.
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
  // Fisher and Yates, from the end.
  void Shuffle(Random& random) {
    for (std::size_t i = remaining_.size(); i > 1; --i) {
      std::swap(remaining_[i - 1], remaining_[random.Below(i)]);
    }
  }

  std::vector<std::string> remaining_;  // of this round, the next one at the end
};

}  // namespace brassfront::peers

#endif  // BRASSFRONT_PEERS_PROBE_ROUND_HPP_
