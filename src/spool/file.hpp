// A file that is read and written at offsets. No error leaves a partial write behind.
#ifndef BRASSFRONT_SPOOL_FILE_HPP_
#define BRASSFRONT_SPOOL_FILE_HPP_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace brassfront {

// Owns the descriptor. For one thread at a time. Where a method fails, errno tells why.
class File {
 public:
  // Closed.
  File() = default;
  ~File();
  File(File&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  File& operator=(File&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }

  // Each returns a closed file on failure.
  // For reading and writing; made if absent.
  static File Open(const std::string& path);
  static File OpenToRead(const std::string& path);
  // For reading and writing; made if absent, and emptied.
  static File OpenEmpty(const std::string& path);

  [[nodiscard]] bool is_open() const { return fd_ >= 0; }
  // -1 if it is closed. It stays the file's.
  [[nodiscard]] int descriptor() const { return fd_; }
  // Nothing on failure.
  [[nodiscard]] std::optional<std::size_t> Size() const;
  // Exactly `length` bytes, or nothing; errno is 0 then if the file is shorter.
  [[nodiscard]] std::optional<std::string> Read(std::size_t offset, std::size_t length) const;
  // Writes all of the bytes. On failure returns false and truncates the file to `offset`: only for
  // writing at its end.
  [[nodiscard]] bool Write(std::size_t offset, std::string_view bytes);
  bool Truncate(std::size_t size);
  // Returns once all that was written is on the disk; false if that failed.
  [[nodiscard]] bool Synchronize();

 private:
  explicit File(int fd) : fd_(fd) {}

  int fd_ = -1;
};

}  // namespace brassfront

#endif  // BRASSFRONT_SPOOL_FILE_HPP_
