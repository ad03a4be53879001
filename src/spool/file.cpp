#include "spool/file.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>

#include "observe/metrics.hpp"

namespace brassfront {
namespace {

// Maximum interrupted calls of one transfer; after that the transfer fails with EINTR.
constexpr int kMaxInterruptions = 100;

}  // namespace

File::~File() {
  if (fd_ >= 0) close(fd_);
}

File File::Open(const std::string& path) {
  return File(open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
}

File File::OpenToRead(const std::string& path) {
  return File(open(path.c_str(), O_RDONLY | O_CLOEXEC));
}

File File::OpenEmpty(const std::string& path) {
  return File(open(path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
}

std::optional<std::size_t> File::Size() const {
  struct stat status {};
  if (fstat(fd_, &status) != 0) return std::nullopt;
  return static_cast<std::size_t>(status.st_size);
}

std::optional<std::string> File::Read(std::size_t offset, std::size_t length) const {
  std::string bytes(length, '\0');
  int interruptions = 0;
  for (std::size_t done = 0; done < length;) {
    const ssize_t transferred =
        pread(fd_, bytes.data() + done, length - done, static_cast<off_t>(offset + done));
    if (transferred < 0 && errno == EINTR && ++interruptions < kMaxInterruptions) continue;
    if (transferred == 0) errno = 0;
    if (transferred <= 0) {
      if (errno != 0) observe::CountSystemCallFailure("pread", errno);
      return std::nullopt;
    }
    done += static_cast<std::size_t>(transferred);
  }
  return bytes;
}

bool File::Write(std::size_t offset, std::string_view bytes) {
  int interruptions = 0;
  for (std::size_t done = 0; done < bytes.size();) {
    const ssize_t transferred =
        pwrite(fd_, bytes.data() + done, bytes.size() - done, static_cast<off_t>(offset + done));
    if (transferred < 0 && errno == EINTR && ++interruptions < kMaxInterruptions) continue;
    if (transferred <= 0) {
      const int error = transferred == 0 ? ENOSPC : errno;
      observe::CountSystemCallFailure("pwrite", error);
      Truncate(offset);
      errno = error;
      return false;
    }
    done += static_cast<std::size_t>(transferred);
  }
  return true;
}

bool File::Synchronize() {
  if (fsync(fd_) == 0) return true;
  observe::CountSystemCallFailure("fsync", errno);
  return false;
}

bool File::Truncate(std::size_t size) {
  if (ftruncate(fd_, static_cast<off_t>(size)) == 0) return true;
  observe::CountSystemCallFailure("ftruncate", errno);
  return false;
}

}  // namespace brassfront
