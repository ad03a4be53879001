#include "peers/atomic_file.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <filesystem>

namespace brassfront::peers {
namespace {

bool WriteAll(int fd, const std::string& bytes) {
  for (std::size_t at = 0; at < bytes.size();) {
    const ssize_t n = write(fd, bytes.data() + at, bytes.size() - at);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    at += static_cast<std::size_t>(n);
  }
  return true;
}

}  // namespace

bool WriteAtomically(const std::string& path, const std::string& bytes) {
  const std::string temporary_path = path + ".new";
  const int fd = open(temporary_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0) return false;
  const bool written = WriteAll(fd, bytes) && fsync(fd) == 0;
  close(fd);
  if (!written || rename(temporary_path.c_str(), path.c_str()) != 0) {
    unlink(temporary_path.c_str());
    return false;
  }
  // The rename itself must last as well.
  const std::string folder = std::filesystem::path(path).parent_path().string();
  const int folder_fd = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder_fd < 0) return false;
  const bool synchronized = fsync(folder_fd) == 0;
  close(folder_fd);
  return synchronized;
}

}  // namespace brassfront::peers
