// The data that a member stores about itself in its folder: the folder's identity, and the process
// incarnation, which is the number of starts from this folder. Only one process at a time can lock
// the folder.
#ifndef BRASSFRONT_FLEET_LOCAL_IDENTITY_HPP_
#define BRASSFRONT_FLEET_LOCAL_IDENTITY_HPP_

#include <cstdint>
#include <string>

#include "system/file_lock.hpp"

namespace brassfront::fleet {

class LocalIdentity {
 public:
  // Locks the folder, increments the process incarnation and writes it to disk before returning. A
  // folder without a readable identity is treated as new and gets a random identity. Throws
  // std::runtime_error if the folder cannot be written or another process has locked it.
  explicit LocalIdentity(std::string folder);

  [[nodiscard]] std::uint64_t identity() const { return identity_; }
  // The number of starts; 1 at the first start.
  [[nodiscard]] std::uint64_t process_incarnation() const { return process_incarnation_; }
  [[nodiscard]] bool is_new() const { return process_incarnation_ == 1; }
  // Draws a new random identity. To be called if the folder turns out to be damaged or an old copy,
  // so that its record of votes cannot be trusted. Throws std::runtime_error.
  void Renew();

 private:
  void Lock();
  [[nodiscard]] bool Read();
  void Write() const;

  const std::string folder_;
  FileLock lock_;  // locks the folder
  std::uint64_t identity_ = 0;
  std::uint64_t process_incarnation_ = 0;
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_LOCAL_IDENTITY_HPP_
