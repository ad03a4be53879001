// Buffers of one size for reading from sockets, reused by all threads.
#ifndef BRASSFRONT_NET_BUFFER_POOL_HPP_
#define BRASSFRONT_NET_BUFFER_POOL_HPP_

#include <array>
#include <cstddef>
#include <memory>
#include <mutex>
#include <span>
#include <utility>
#include <vector>

namespace brassfront {

// Any thread may use it. It must outlive its buffers. A thread holds a buffer for one read and what
// follows from it, so the pool never holds more buffers than there are threads.
class BufferPool {
 public:
  static constexpr std::size_t kBytes = std::size_t{16} * 1024;
  using Block = std::array<char, kBytes>;

  // A buffer that returns to its pool at the end of its scope.
  class Buffer {
   public:
    Buffer(BufferPool& pool, std::unique_ptr<Block> block)
        : pool_(pool), block_(std::move(block)) {}
    ~Buffer() { pool_.Return(std::move(block_)); }
    Buffer(const Buffer&) = delete;
    Buffer& operator=(const Buffer&) = delete;

    // What it holds is undefined until it is written.
    [[nodiscard]] std::span<char> span() { return *block_; }

   private:
    BufferPool& pool_;
    std::unique_ptr<Block> block_;
  };

  // Never waits: allocates a buffer if none is free.
  [[nodiscard]] Buffer Get() {
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
  void Return(std::unique_ptr<Block> block) {
    const std::lock_guard lock(mutex_);
    free_.push_back(std::move(block));
  }

  std::mutex mutex_;  // guards what follows
  std::vector<std::unique_ptr<Block>> free_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_BUFFER_POOL_HPP_
