#include "fleet/local_identity.hpp"

#include <sys/random.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

#include "peers/atomic_file.hpp"

namespace brassfront::fleet {
namespace {

constexpr const char* kFileTag = "brassfront-member-1";

std::string Checksum(const std::string& text) {  // FNV-1a
  std::uint64_t hash = 0xCBF29CE484222325;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001B3;
  return std::to_string(hash);
}

std::uint64_t DrawIdentity() {
  std::uint64_t value = 0;
  while (value == 0) {
    if (getrandom(&value, sizeof value, 0) != sizeof value) {
      throw std::runtime_error("the system gives no random bytes");
    }
    value >>= 1;  // libraft takes ids above 0
  }
  return value;
}

}  // namespace

LocalIdentity::LocalIdentity(std::string folder) : folder_(std::move(folder)) {
  std::filesystem::create_directories(folder_);
  std::filesystem::permissions(folder_, std::filesystem::perms::owner_all);
  Lock();
  if (Read()) {
    ++process_incarnation_;
  } else {
    identity_ = DrawIdentity();
    process_incarnation_ = 1;
  }
  Write();
}

void LocalIdentity::Lock() {
  switch (lock_.TryLock(folder_ + "/lock")) {
    case FileLock::Outcome::kAcquired:
      return;
    case FileLock::Outcome::kHeldByOther:
      throw std::runtime_error("another process holds " + folder_);
    case FileLock::Outcome::kUnsupported:
    case FileLock::Outcome::kFailed:
      throw std::runtime_error("cannot lock " + folder_ + ": " + std::strerror(errno));
  }
}

// False if there is no identity, or one that is torn or damaged.
bool LocalIdentity::Read() {
  std::ifstream file(folder_ + "/member");
  std::string tag;
  std::string checksum;
  if (!(file >> tag >> identity_ >> process_incarnation_ >> checksum)) return false;
  const std::string numbers =
      std::to_string(identity_) + " " + std::to_string(process_incarnation_);
  return tag == kFileTag && checksum == Checksum(numbers) && identity_ != 0;
}

void LocalIdentity::Renew() {
  identity_ = DrawIdentity();
  Write();
}

void LocalIdentity::Write() const {
  const std::string numbers =
      std::to_string(identity_) + " " + std::to_string(process_incarnation_);
  if (!peers::WriteAtomically(folder_ + "/member", std::string(kFileTag) + " " + numbers + " " +
                                                       Checksum(numbers) + "\n")) {
    throw std::runtime_error("cannot write " + folder_ + "/member: " + std::strerror(errno));
  }
}

}  // namespace brassfront::fleet
