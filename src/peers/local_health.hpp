// Lifeguard's local health score: how much this member has reason to doubt itself. Its own time
// limits are stretched by it, so that a slow or cut-off member does not declare healthy ones dead.
#ifndef BRASSFRONT_PEERS_LOCAL_HEALTH_HPP_
#define BRASSFRONT_PEERS_LOCAL_HEALTH_HPP_

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace brassfront::peers {

class LocalHealth {
 public:
  // Bounds Scale by nine times, and so the time in which a member with a bad link still finds out
  // about a dead one (docs/design/peers.md).
  static constexpr std::size_t kMaxScore = 8;

  void Worsen(std::size_t by) { score_ = std::min(kMaxScore, score_ + by); }
  void Improve() { score_ -= std::min<std::size_t>(score_, 1); }

  // 0: nothing speaks against us.
  [[nodiscard]] std::size_t score() const { return score_; }
  [[nodiscard]] std::chrono::nanoseconds Scale(std::chrono::nanoseconds time) const {
    return time * static_cast<std::chrono::nanoseconds::rep>(1 + score_);
  }

 private:
  std::size_t score_ = 0;
};

}  // namespace brassfront::peers

#endif  // BRASSFRONT_PEERS_LOCAL_HEALTH_HPP_
