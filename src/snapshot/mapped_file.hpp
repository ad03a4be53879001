// A file that is mapped into memory. What is written there outlasts the process, by SIGKILL as
// well, with no system call that could fail at that moment; not the end of the machine.
#ifndef BRASSFRONT_SNAPSHOT_MAPPED_FILE_HPP_
#define BRASSFRONT_SNAPSHOT_MAPPED_FILE_HPP_

#include <cstddef>
#include <span>
#include <string>
#include <utility>

#include "spool/file.hpp"

namespace brassfront {

// Owns the descriptor and the mapping. For one thread at a time. Nobody else may make the file
// shorter while it is mapped.
class MappedFile {
 public:
  // Closed.
  MappedFile() = default;
  ~MappedFile();
  MappedFile(MappedFile&& other) noexcept
      : file_(std::move(other.file_)), bytes_(std::exchange(other.bytes_, {})) {}
  MappedFile& operator=(MappedFile&& other) noexcept;

  // Maps the whole file, which is made if absent and has at least `min_bytes`. Closed on failure;
  // errno tells why.
  static MappedFile Open(const std::string& path, std::size_t min_bytes);

  [[nodiscard]] bool is_open() const { return !bytes_.empty(); }
  // Valid until Grow.
  [[nodiscard]] std::span<char> bytes() const { return bytes_; }
  // Adds zeros at the end up to that size, on the disk as well: a later write to the mapping needs
  // no more space there. False if that failed, errno tells why; the file is as it was then.
  [[nodiscard]] bool Grow(std::size_t size);

 private:
  [[nodiscard]] bool Map(std::size_t size);

  File file_;
  std::span<char> bytes_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_SNAPSHOT_MAPPED_FILE_HPP_
