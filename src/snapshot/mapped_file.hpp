// A file that is mapped into memory. Data written to the mapping survives the end of the process,
// including SIGKILL, without a system call that could fail. It does not survive a crash of the
// machine.
#ifndef BRASSFRONT_SNAPSHOT_MAPPED_FILE_HPP_
#define BRASSFRONT_SNAPSHOT_MAPPED_FILE_HPP_

#include <cstddef>
#include <span>
#include <string>
#include <utility>

#include "spool/file.hpp"

namespace brassfront {

// Owns the descriptor and the mapping. Not thread-safe. The file must not be truncated elsewhere
// while it is mapped.
class MappedFile {
 public:
  // Constructs a closed file.
  MappedFile() = default;
  ~MappedFile();
  MappedFile(MappedFile&& other) noexcept
      : file_(std::move(other.file_)), bytes_(std::exchange(other.bytes_, {})) {}
  MappedFile& operator=(MappedFile&& other) noexcept;

  // Maps the whole file. Creates it if it does not exist, and extends it to at least `min_bytes`.
  // Returns a closed file on failure, with errno set.
  static MappedFile Open(const std::string& path, std::size_t min_bytes);

  [[nodiscard]] bool is_open() const { return !bytes_.empty(); }
  // Valid until the next call of Grow.
  [[nodiscard]] std::span<char> bytes() const { return bytes_; }
  // Extends the file to `size` bytes with zeros and allocates the disk space, so that later writes
  // to the mapping need no more of it. On failure returns false, sets errno and leaves the file
  // unchanged.
  [[nodiscard]] bool Grow(std::size_t size);

 private:
  [[nodiscard]] bool Map(std::size_t size);

  File file_;
  std::span<char> bytes_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_SNAPSHOT_MAPPED_FILE_HPP_
