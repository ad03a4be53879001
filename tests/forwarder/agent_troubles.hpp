// The troubles of a virtual agent, and what they mean for its posts.
#ifndef BRASSFRONT_TESTS_FORWARDER_AGENT_TROUBLES_HPP_
#define BRASSFRONT_TESTS_FORWARDER_AGENT_TROUBLES_HPP_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "dispatch_policy/dispatch_policy.hpp"
#include "order_of_events.hpp"

namespace brassfront::exploration {

class AgentTroubles {
 public:
  // The trouble outlives this.
  void Add(const AgentTrouble& trouble) { troubles_.push_back(&trouble); }
  // The latest of those that last at this time, since the start of the order; null if there is
  // none.
  [[nodiscard]] const AgentTrouble* At(dispatch_policy::Time since_start) const {
    const AgentTrouble* present = nullptr;
    for (const AgentTrouble* trouble : troubles_) {
      if (since_start >= trouble->at && since_start < trouble->until) present = trouble;
    }
    return present;
  }
  // For one post: a trouble of mixed kinds draws one for each.
  [[nodiscard]] AgentTrouble::Kind DrawKind(const AgentTrouble& trouble) {
    using Kind = AgentTrouble::Kind;
    if (trouble.kind != Kind::kMixed) return trouble.kind;
    constexpr std::size_t kKinds = 7;  // those before kRejects
    return static_cast<Kind>(std::mt19937_64(trouble.seed + mixed_posts_++)() % kKinds);
  }

 private:
  std::vector<const AgentTrouble*> troubles_;
  std::uint64_t mixed_posts_ = 0;
};

// Whether a post names one of these messages.
[[nodiscard]] inline bool ContainsAny(const std::string& body,
                                      const std::vector<std::string>& ids) {
  return std::any_of(ids.begin(), ids.end(), [&](const std::string& id) {
    return body.find("\"" + id + "\"") != std::string::npos;
  });
}

}  // namespace brassfront::exploration

#endif  // BRASSFRONT_TESTS_FORWARDER_AGENT_TROUBLES_HPP_
