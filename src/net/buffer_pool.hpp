// Buffers of a fixed size for reading from sockets, shared by all threads.
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

// Thread-safe. The pool must outlive its buffers. A thread uses one buffer at a time, to read and
// to process what it has read, so there are never more buffers than threads.
class BufferPool {
 public:
  static constexpr std::size_t kBytes = std::size_t{16} * 1024;
  using Block = std::array<char, kBytes>;

  // Returns the buffer to its pool when destroyed.
  class Buffer {
   public:
    Buffer(BufferPool& pool, std::unique_ptr<Block> block)
        : pool_(pool), block_(std::move(block)) {}
    ~Buffer() { pool_.Return(std::move(block_)); }
    Buffer(const Buffer&) = delete;
    Buffer& operator=(const Buffer&) = delete;

    // The contents are undefined until written.
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

  std::mutex mutex_;  // guards the members below
  std::vector<std::unique_ptr<Block>> free_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_BUFFER_POOL_HPP_
