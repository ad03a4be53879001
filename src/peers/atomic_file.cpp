#include "peers/atomic_file.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <filesystem>

#include "peers/file_descriptor.hpp"

namespace brassfront::peers {
namespace {

constexpr int kOwnerOnly = 0600;

bool WriteAll(int fd, const std::string& bytes) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count = write(fd, bytes.data() + written, bytes.size() - written);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    written += static_cast<std::size_t>(count);
  }
  return true;
}

}  // namespace

bool WriteAtomically(const std::string& path, const std::string& bytes) {
  const std::string temporary_path = path + ".new";
  FileDescriptor file(
      open(temporary_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kOwnerOnly));
  if (!file.valid()) return false;
  const bool written = WriteAll(file.get(), bytes) && fsync(file.get()) == 0;
  file.Close();
  if (!written || rename(temporary_path.c_str(), path.c_str()) != 0) {
    unlink(temporary_path.c_str());
    return false;
  }
  // Synchronizes the folder, so that the rename is durable as well.
  const std::string folder_path = std::filesystem::path(path).parent_path().string();
  const FileDescriptor folder(open(folder_path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  return folder.valid() && fsync(folder.get()) == 0;
}

}  // namespace brassfront::peers
