#include "snapshot/mapped_file.hpp"

#include <sys/mman.h>

#include "observe/metrics.hpp"

namespace brassfront {

MappedFile::~MappedFile() {
  if (is_open()) munmap(bytes_.data(), bytes_.size());
}

MappedFile& MappedFile::operator=(MappedFile&& other) noexcept {
  std::swap(file_, other.file_);
  std::swap(bytes_, other.bytes_);
  return *this;
}

MappedFile MappedFile::Open(const std::string& path, std::size_t min_bytes) {
  MappedFile mapped;
  mapped.file_ = File::Open(path);
  if (!mapped.file_.is_open()) return {};
  const auto size = mapped.file_.Size();
  if (!size) return {};
  const bool is_mapped = *size < min_bytes ? mapped.Grow(min_bytes) : mapped.Map(*size);
  if (!is_mapped) return {};
  return mapped;
}

bool MappedFile::Grow(std::size_t size) {
  const auto present = file_.Size();
  if (!present) return false;
  if (*present < size && !file_.Write(*present, std::string(size - *present, '\0'))) return false;
  return Map(size);
}

bool MappedFile::Map(std::size_t size) {
  void* mapping = mmap(nullptr, size, PROT_READ | PROT_WRITE, MAP_SHARED, file_.descriptor(), 0);
  if (mapping == MAP_FAILED) {
    observe::CountSystemCallFailure("mmap", errno);
    return false;
  }
  if (is_open()) munmap(bytes_.data(), bytes_.size());
  bytes_ = {static_cast<char*>(mapping), size};
  return true;
}

}  // namespace brassfront
