#include "fleet/self.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/random.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace brassfront::fleet {
namespace {

constexpr const char* kFirstWord = "brassfront-member-1";

std::string Sum(const std::string& text) {  // FNV-1a, against a torn or flipped file
  std::uint64_t hash = 0xCBF29CE484222325;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001B3;
  return std::to_string(hash);
}

bool WriteAll(int fd, const std::string& bytes) {
  for (std::size_t at = 0; at < bytes.size();) {
    const ssize_t n = write(fd, bytes.data() + at, bytes.size() - at);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    at += static_cast<std::size_t>(n);
  }
  return true;
}

std::uint64_t DrawIdentity() {
  std::uint64_t value = 0;
  while (value == 0) {
    if (getrandom(&value, sizeof value, 0) != sizeof value) {
      throw std::runtime_error("the system gives no random bytes");
    }
    value >>= 1;  // the settled log's library takes ids above 0
  }
  return value;
}

}  // namespace

bool WriteWhole(const std::string& path, const std::string& bytes) {
  const std::string beside = path + ".new";
  const int fd = open(beside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0) return false;
  const bool written = WriteAll(fd, bytes) && fsync(fd) == 0;
  close(fd);
  if (!written || rename(beside.c_str(), path.c_str()) != 0) {
    unlink(beside.c_str());
    return false;
  }
  // The rename itself must last as well.
  const std::string folder = std::filesystem::path(path).parent_path().string();
  const int of = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (of < 0) return false;
  const bool lasts = fsync(of) == 0;
  close(of);
  return lasts;
}

Self::Self(const std::string& folder) : folder_(folder) {
  std::filesystem::create_directories(folder_);
  std::filesystem::permissions(folder_, std::filesystem::perms::owner_all);
  lock_ = open((folder_ + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (lock_ < 0) throw std::runtime_error("cannot write in " + folder_);
  if (flock(lock_, LOCK_EX | LOCK_NB) != 0) {
    close(lock_);
    throw std::runtime_error("another process holds " + folder_);
  }
  std::ifstream in(folder_ + "/member");
  std::string first, sum;
  if (in >> first >> identity_ >> life_ >> sum && first == kFirstWord &&
      sum == Sum(std::to_string(identity_) + " " + std::to_string(life_)) && identity_ != 0) {
    ++life_;
  } else {
    identity_ = DrawIdentity();
    life_ = 1;
  }
  Write();
}

Self::~Self() { close(lock_); }

void Self::Renew() {
  identity_ = DrawIdentity();
  Write();
}

void Self::Write() const {
  const std::string numbers = std::to_string(identity_) + " " + std::to_string(life_);
  if (!WriteWhole(folder_ + "/member",
                  std::string(kFirstWord) + " " + numbers + " " + Sum(numbers) + "\n")) {
    throw std::runtime_error("cannot write " + folder_ + "/member: " + std::strerror(errno));
  }
}

}  // namespace brassfront::fleet
