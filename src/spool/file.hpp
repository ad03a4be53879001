// A file that is read and written at given places. Writes that fail leave no part behind.
#ifndef BRASSFRONT_SPOOL_FILE_HPP_
#define BRASSFRONT_SPOOL_FILE_HPP_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace brassfront {

class File {
 public:
  File() = default;
  ~File();
  File(File&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  File& operator=(File&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }

  // Opened for reading and writing, made if absent; closed files are returned on failure.
  static File Open(const std::string& path);
  static File OpenToRead(const std::string& path);
  static File OpenEmpty(const std::string& path);

  [[nodiscard]] bool is_open() const { return fd_ >= 0; }
  [[nodiscard]] std::optional<std::size_t> Size() const;
  // All of the bytes or nothing.
  [[nodiscard]] std::optional<std::string> Read(std::size_t offset, std::size_t length) const;
  bool Write(std::size_t offset, std::string_view bytes);
  bool Truncate(std::size_t size);

 private:
  explicit File(int fd) : fd_(fd) {}
  int fd_ = -1;
};

}  // namespace brassfront

#endif  // BRASSFRONT_SPOOL_FILE_HPP_
