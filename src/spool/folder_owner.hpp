// Which process owns a state folder. Only the owner reads, writes, cuts, renames or removes what is
// in it: a process that is started while its predecessor is still there waits, however that one
// ends.
//
// Ownership is a lock on the file `owner`, which the kernel drops at any death of the process. The
// Where the file system has no locks, the process goes on without: it has the listening address for
// itself, which a forwarder takes over before it touches the folder (cli/state_takeover.hpp). The
// file's text is for people and for the next owner: the owner's process id, and after a graceful
// end how many messages it left open.
#ifndef BRASSFRONT_SPOOL_FOLDER_OWNER_HPP_
#define BRASSFRONT_SPOOL_FOLDER_OWNER_HPP_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

#include "system/file_lock.hpp"

namespace brassfront {

// What a process has left in the file `owner`.
struct OwnerNote {
  std::int64_t process_id = 0;               // 0: unknown
  std::optional<std::size_t> open_messages;  // none: it did not end gracefully
};

// Any thread may call any method.
class FolderOwner {
 public:
  // The file takes no more on the disk.
  static constexpr std::size_t kMaxBytesOnDisk = 512;

  explicit FolderOwner(std::string folder) : folder_(std::move(folder)) {}

  [[nodiscard]] const std::string& folder() const { return folder_; }

  // Tries once to own the folder, without waiting; harmless once it is owned. kUnsupported counts
  // as owned. On failure errno tells why.
  FileLock::Outcome Acquire();
  // The same, for those who ask nothing else.
  [[nodiscard]] bool Owns() { return IsOwned(Acquire()); }
  [[nodiscard]] static bool IsOwned(FileLock::Outcome outcome) {
    return outcome == FileLock::Outcome::kHeld || outcome == FileLock::Outcome::kUnsupported;
  }

  // The previous owner as it left the folder; for the owner.
  [[nodiscard]] OwnerNote predecessor() const;
  // Who owns the folder now, for one that does not.
  [[nodiscard]] OwnerNote ReadHolder() const;
  // To be called by the owner at its graceful end.
  void RecordEnd(std::size_t open_messages);

 private:
  void Write(const OwnerNote& note);
  [[nodiscard]] std::string path() const { return folder_ + "/owner"; }

  const std::string folder_;
  mutable std::mutex mutex_;
  FileLock lock_;
  std::optional<FileLock::Outcome> owned_as_;  // none: not owned
  OwnerNote predecessor_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_SPOOL_FOLDER_OWNER_HPP_
