// The faults of a virtual agent, and their effect on posts.
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
  // The trouble must outlive this object.
  void Add(const AgentTrouble& trouble) { troubles_.push_back(&trouble); }
  // Returns the last added trouble that is active at this time after the start of the order; null
  // if there is none.
  [[nodiscard]] const AgentTrouble* At(dispatch_policy::Time since_start) const {
    const AgentTrouble* present = nullptr;
    for (const AgentTrouble* trouble : troubles_) {
      if (since_start >= trouble->at && since_start < trouble->until) present = trouble;
    }
    return present;
  }
  // Returns the kind of the trouble for one post. A mixed trouble draws a random kind for each
  // post.
  [[nodiscard]] AgentTrouble::Kind DrawKind(const AgentTrouble& trouble) {
    using Kind = AgentTrouble::Kind;
    if (trouble.kind != Kind::kMixed) return trouble.kind;
    constexpr std::size_t kKinds = 7;  // the kinds before kRejects
    return static_cast<Kind>(std::mt19937_64(trouble.seed + mixed_posts_++)() % kKinds);
  }

 private:
  std::vector<const AgentTrouble*> troubles_;
  std::uint64_t mixed_posts_ = 0;
};

// Whether a post contains one of these messages.
[[nodiscard]] inline bool ContainsAny(const std::string& body,
                                      const std::vector<std::string>& ids) {
  return std::any_of(ids.begin(), ids.end(), [&](const std::string& id) {
    return body.find("\"" + id + "\"") != std::string::npos;
  });
}

}  // namespace brassfront::exploration

#endif  // BRASSFRONT_TESTS_FORWARDER_AGENT_TROUBLES_HPP_
