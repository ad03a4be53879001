// A lock on a file that the kernel drops at any death of its holder (flock(2)).
//
// The file is never renamed or removed, or two processes could hold locks on two files of one name.
#ifndef BRASSFRONT_SYSTEM_FILE_LOCK_HPP_
#define BRASSFRONT_SYSTEM_FILE_LOCK_HPP_

#include <string>
#include <utility>

namespace brassfront {

class FileLock {
 public:
  enum class Outcome {
    kAcquired,
    kHeldByOther,  // by another process, or another object of this one
    kUnsupported,  // there are no locks on this file system
    kFailed        // errno tells why
  };

  FileLock() = default;
  ~FileLock();
  FileLock(FileLock&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  FileLock& operator=(FileLock&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }

  // Tries once, without waiting; the file is made if absent. Harmless where the lock is held.
  Outcome TryLock(const std::string& path);

  [[nodiscard]] bool is_held() const { return fd_ >= 0; }
  // Of the file, while the lock is held.
  [[nodiscard]] int fd() const { return fd_; }

 private:
  int fd_ = -1;
};

}  // namespace brassfront

#endif  // BRASSFRONT_SYSTEM_FILE_LOCK_HPP_
