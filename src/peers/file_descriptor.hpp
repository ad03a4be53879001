// RAII wrapper of a file descriptor, which is closed on destruction.
#ifndef BRASSFRONT_PEERS_FILE_DESCRIPTOR_HPP_
#define BRASSFRONT_PEERS_FILE_DESCRIPTOR_HPP_

#include <unistd.h>

#include <utility>

namespace brassfront::peers {

// Movable, not copyable. Takes the result of open(), including -1.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int fd) : fd_(fd) {}
  ~FileDescriptor() { Close(); }
  FileDescriptor(FileDescriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;

  [[nodiscard]] bool valid() const { return fd_ >= 0; }
  [[nodiscard]] int get() const { return fd_; }
  void Close() {
    if (valid()) close(std::exchange(fd_, -1));
  }

 private:
  int fd_ = -1;
};

}  // namespace brassfront::peers

#endif  // BRASSFRONT_PEERS_FILE_DESCRIPTOR_HPP_
