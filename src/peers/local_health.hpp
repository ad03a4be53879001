// Lifeguard's local health score: how likely it is that this member itself is faulty. The member
// stretches its time limits by the score, so that a slow or disconnected member does not declare
// healthy ones dead.
#ifndef BRASSFRONT_PEERS_LOCAL_HEALTH_HPP_
#define BRASSFRONT_PEERS_LOCAL_HEALTH_HPP_

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace brassfront::peers {

class LocalHealth {
 public:
  // Limits Scale to a factor of nine, and thereby the time in which a member with a bad link still
  // detects a dead one (docs/design/peers.md).
  static constexpr std::size_t kMaxScore = 8;

  void Worsen(std::size_t by) { score_ = std::min(kMaxScore, score_ + by); }
  void Improve() { score_ -= std::min<std::size_t>(score_, 1); }

  // 0 (healthy) to kMaxScore.
  [[nodiscard]] std::size_t score() const { return score_; }
  [[nodiscard]] std::chrono::nanoseconds Scale(std::chrono::nanoseconds time) const {
    return time * static_cast<std::chrono::nanoseconds::rep>(1 + score_);
  }

 private:
  std::size_t score_ = 0;
};

}  // namespace brassfront::peers

#endif  // BRASSFRONT_PEERS_LOCAL_HEALTH_HPP_
