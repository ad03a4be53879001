// What a member keeps of itself: the identity of its folder and how often it
// has started from it. One process at a time holds the folder.
#ifndef BRASSFRONT_FLEET_LOCAL_IDENTITY_HPP_
#define BRASSFRONT_FLEET_LOCAL_IDENTITY_HPP_

#include <cstdint>
#include <string>

namespace brassfront::fleet {

class LocalIdentity {
 public:
  // Counts a start, and has it on the disk before it returns. A folder without
  // a word, or with one that cannot be read, is a new one: the identity is
  // drawn anew. Throws std::runtime_error where the folder cannot be written or
  // another process holds it.
  explicit LocalIdentity(const std::string& folder);
  ~LocalIdentity();
  LocalIdentity(const LocalIdentity&) = delete;
  LocalIdentity& operator=(const LocalIdentity&) = delete;

  [[nodiscard]] std::uint64_t identity() const { return identity_; }
  [[nodiscard]] std::uint64_t process_incarnation() const {
    return process_incarnation_;
  }  // 1 at the first start
  [[nodiscard]] bool is_new() const { return process_incarnation_ == 1; }
  // The folder turned out to be an old copy, so that what it says of votes
  // cannot be trusted: from now on it is another one.
  void Renew();

 private:
  void Write() const;

  const std::string folder_;
  int lock_ = -1;
  std::uint64_t identity_ = 0;
  std::uint64_t process_incarnation_ = 0;
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_LOCAL_IDENTITY_HPP_
