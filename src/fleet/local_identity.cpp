#include "fleet/local_identity.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/random.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "peers/atomic_file.hpp"

namespace brassfront::fleet {
namespace {

constexpr const char* kFileTag = "brassfront-member-1";

std::string Checksum(const std::string& text) {  // FNV-1a, against a torn or flipped file
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
    value >>= 1;  // the settled log's library takes ids above 0
  }
  return value;
}

}  // namespace

LocalIdentity::LocalIdentity(const std::string& folder) : folder_(folder) {
  std::filesystem::create_directories(folder_);
  std::filesystem::permissions(folder_, std::filesystem::perms::owner_all);
  lock_ = open((folder_ + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (lock_ < 0) throw std::runtime_error("cannot write in " + folder_);
  if (flock(lock_, LOCK_EX | LOCK_NB) != 0) {
    close(lock_);
    throw std::runtime_error("another process holds " + folder_);
  }
  std::ifstream in(folder_ + "/member");
  std::string tag, checksum;
  if (in >> tag >> identity_ >> process_incarnation_ >> checksum && tag == kFileTag &&
      checksum ==
          Checksum(std::to_string(identity_) + " " + std::to_string(process_incarnation_)) &&
      identity_ != 0) {
    ++process_incarnation_;
  } else {
    identity_ = DrawIdentity();
    process_incarnation_ = 1;
  }
  Write();
}

LocalIdentity::~LocalIdentity() { close(lock_); }

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
