// An exclusive lock on a file (flock(2)), which the kernel releases however the holder ends.
//
// The file must never be renamed or removed; otherwise two processes could lock two different files
// with the same name.
#ifndef BRASSFRONT_SYSTEM_FILE_LOCK_HPP_
#define BRASSFRONT_SYSTEM_FILE_LOCK_HPP_

#include <string>
#include <utility>

namespace brassfront {

class FileLock {
 public:
  enum class Outcome {
    kAcquired,
    kHeldByOther,  // held by another process, or by another FileLock of this process
    kUnsupported,  // the file system does not support locks
    kFailed        // errno is set
  };

  FileLock() = default;
  ~FileLock();
  FileLock(FileLock&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  FileLock& operator=(FileLock&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }

  // Tries once, without waiting. Creates the file if it does not exist. Does nothing if this object
  // already holds the lock.
  Outcome TryLock(const std::string& path);

  [[nodiscard]] bool is_held() const { return fd_ >= 0; }
  // The descriptor of the file while the lock is held, otherwise -1.
  [[nodiscard]] int fd() const { return fd_; }

 private:
  int fd_ = -1;
};

}  // namespace brassfront

#endif  // BRASSFRONT_SYSTEM_FILE_LOCK_HPP_
