// Buffers of one size, used again. A buffer is held for one read and what follows from it, so
// there are never more than there are threads.
#ifndef BRASSFRONT_NET_BUFFER_POOL_HPP_
#define BRASSFRONT_NET_BUFFER_POOL_HPP_

#include <array>
#include <memory>
#include <mutex>
#include <span>
#include <utility>
#include <vector>

namespace brassfront {

class BufferPool {
 public:
  static constexpr std::size_t kBytes = 16 * 1024;
  using Block = std::array<char, kBytes>;

  class Buffer {
   public:
    Buffer(BufferPool& pool, std::unique_ptr<Block> block)
        : pool_(pool), block_(std::move(block)) {}
    ~Buffer() { pool_.Put(std::move(block_)); }
    Buffer(const Buffer&) = delete;
    Buffer& operator=(const Buffer&) = delete;
    std::span<char> span() { return *block_; }

   private:
    BufferPool& pool_;
    std::unique_ptr<Block> block_;
  };

  Buffer Get() {
    {
      const std::lock_guard lock(mutex_);
      if (!free_.empty()) {
        std::unique_ptr<Block> block = std::move(free_.back());
        free_.pop_back();
        return Buffer(*this, std::move(block));
      }
    }
    return Buffer(*this, std::make_unique<Block>());
  }

 private:
  void Put(std::unique_ptr<Block> block) {
    const std::lock_guard lock(mutex_);
    free_.push_back(std::move(block));
  }

  std::mutex mutex_;
  std::vector<std::unique_ptr<Block>> free_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_BUFFER_POOL_HPP_
