// A histogram of durations from 1 us to 17 min, with buckets whose width grows with the value and
// is about 9 % of it. Has a fixed size in memory, uses no locks and is not thread-safe.
#ifndef BRASSFRONT_OBSERVE_HISTOGRAM_HPP_
#define BRASSFRONT_OBSERVE_HISTOGRAM_HPP_

#include <algorithm>
#include <array>
#include <bit>
#include <chrono>
#include <cstdint>

namespace brassfront::observe {

class Histogram {
 public:
  using Duration = std::chrono::microseconds;

  // Counts a negative value as 0, and a value above the range in the last bucket.
  template <typename Rep, typename Period>
  void Add(std::chrono::duration<Rep, Period> value) {
    const auto us = std::chrono::duration_cast<Duration>(value).count();
    ++counts_[IndexOf(static_cast<std::uint64_t>(std::max<Duration::rep>(us, 0)))];
    ++count_;
    max_ = std::max(max_, Duration(us));
  }

  [[nodiscard]] std::uint64_t count() const { return count_; }
  [[nodiscard]] Duration max() const { return max_; }

  // Returns the upper edge of the bucket with the `share` quantile, but at most max(). `share` is
  // from 0 to 1. Returns 0 if the histogram is empty.
  [[nodiscard]] Duration Quantile(double share) const {
    const auto wanted = static_cast<std::uint64_t>(share * static_cast<double>(count_));
    std::uint64_t passed = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
      passed += counts_[i];
      if (passed > wanted) return std::min(Duration(UpperEdge(i)), max_);
    }
    return max_;
  }

  void Merge(const Histogram& other) {
    for (std::size_t i = 0; i < counts_.size(); ++i) counts_[i] += other.counts_[i];
    count_ += other.count_;
    max_ = std::max(max_, other.max_);
  }

 private:
  static constexpr int kBits = 3;  // eight buckets for each doubling
  static constexpr std::uint64_t kSteps = 1 << kBits;
  static constexpr std::size_t kBuckets = 28 * kSteps;

  static std::size_t IndexOf(std::uint64_t us) {
    if (us < kSteps) return us;
    const int shift = static_cast<int>(std::bit_width(us)) - kBits - 1;
    const std::uint64_t bucket = (static_cast<std::uint64_t>(shift) << kBits) + (us >> shift);
    return std::min<std::uint64_t>(bucket, kBuckets - 1);
  }
  static Duration::rep UpperEdge(std::size_t bucket) {
    if (bucket < kSteps) return static_cast<Duration::rep>(bucket);
    const std::size_t shift = (bucket >> kBits) - 1;
    return static_cast<Duration::rep>(((bucket - (shift << kBits)) + 1) << shift) - 1;
  }

  std::array<std::uint32_t, kBuckets> counts_{};
  std::uint64_t count_ = 0;
  Duration max_{};
};

}  // namespace brassfront::observe

#endif  // BRASSFRONT_OBSERVE_HISTOGRAM_HPP_
