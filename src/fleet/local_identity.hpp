// What a member stores of itself in its folder: the folder's identity, and the process incarnation,
// which is the number of starts from it. One process at a time holds the folder.
#ifndef BRASSFRONT_FLEET_LOCAL_IDENTITY_HPP_
#define BRASSFRONT_FLEET_LOCAL_IDENTITY_HPP_

#include <cstdint>
#include <string>

#include "system/file_lock.hpp"

namespace brassfront::fleet {

class LocalIdentity {
 public:
  // Locks the folder, counts a start, and has it on the disk before it returns. A folder without an
  // identity, or with one that cannot be read, is a new one: its identity is drawn at random.
  // Throws std::runtime_error where the folder cannot be written or another process holds it.
  explicit LocalIdentity(std::string folder);

  [[nodiscard]] std::uint64_t identity() const { return identity_; }
  // 1 at the first start.
  [[nodiscard]] std::uint64_t process_incarnation() const { return process_incarnation_; }
  [[nodiscard]] bool is_new() const { return process_incarnation_ == 1; }
  // Draws another identity. For a folder that turned out to be damaged or an old copy, so that what
  // it says of votes cannot be trusted. Throws std::runtime_error.
  void Renew();

 private:
  void Lock();
  [[nodiscard]] bool Read();
  void Write() const;

  const std::string folder_;
  FileLock lock_;  // of the folder
  std::uint64_t identity_ = 0;
  std::uint64_t process_incarnation_ = 0;
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_LOCAL_IDENTITY_HPP_
