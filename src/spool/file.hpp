// A file that is read and written at offsets. A failed write is truncated, so no part of it
// remains.
#ifndef BRASSFRONT_SPOOL_FILE_HPP_
#define BRASSFRONT_SPOOL_FILE_HPP_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace brassfront {

// Owns the descriptor. Not thread-safe. A method that fails sets errno.
class File {
 public:
  // Constructs a closed file.
  File() = default;
  ~File();
  File(File&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  File& operator=(File&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }

  // The three functions below return a closed file on failure.
  // Opens the file for reading and writing; creates it if it does not exist.
  static File Open(const std::string& path);
  static File OpenToRead(const std::string& path);
  // Opens the file for reading and writing and truncates it; creates it if it does not exist.
  static File OpenEmpty(const std::string& path);

  [[nodiscard]] bool is_open() const { return fd_ >= 0; }
  // Returns -1 if the file is closed. The file keeps ownership of the descriptor.
  [[nodiscard]] int descriptor() const { return fd_; }
  // Returns nullopt on failure.
  [[nodiscard]] std::optional<std::size_t> Size() const;
  // Reads exactly `length` bytes. Returns nullopt on failure; errno is 0 if the file is too short.
  [[nodiscard]] std::optional<std::string> Read(std::size_t offset, std::size_t length) const;
  // Writes all of the bytes. On failure returns false and truncates the file to `offset`, so it may
  // only be used to write at the end of the file.
  [[nodiscard]] bool Write(std::size_t offset, std::string_view bytes);
  bool Truncate(std::size_t size);
  // Calls fsync(2): returns once everything written is on the disk. False on failure.
  [[nodiscard]] bool Synchronize();

 private:
  explicit File(int fd) : fd_(fd) {}

  int fd_ = -1;
};

}  // namespace brassfront

#endif  // BRASSFRONT_SPOOL_FILE_HPP_
