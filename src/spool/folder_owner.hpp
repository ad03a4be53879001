// Which process owns a state folder. Only the owner reads, writes, cuts, renames or removes what is
// in it: a process that is started while its predecessor is still there waits, however that one
// ends.
//
// Ownership is a lock on the file `owner`, which the kernel drops at any death of the process.
// Where the file system has no locks, the process goes on without: it has the listening address for
// itself, which a forwarder takes over before it touches the folder (cli/state_takeover.hpp). The
// file's text, the note, is for people and for the next owner: the owner's process id, and after a
// graceful end how many messages it left open. The lock alone leaves the note as it is: where the
// predecessor has no lock, it may still be there and write its note.
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

  // Tries once to lock the folder, without waiting; harmless once it is locked. kUnsupported counts
  // as locked. On failure errno tells why.
  FileLock::Outcome Lock();
  // Locks the folder, if that was not done, and takes over the note: reads the predecessor's and
  // writes this process's. Harmless once that is done. To be called by a process that has the
  // listening address.
  FileLock::Outcome Acquire();
  // The same, for those who ask nothing else.
  [[nodiscard]] bool Owns() { return IsOwned(Acquire()); }
  [[nodiscard]] static bool IsOwned(FileLock::Outcome outcome) {
    return outcome == FileLock::Outcome::kAcquired || outcome == FileLock::Outcome::kUnsupported;
  }

  // The previous owner as it left the folder; known after Acquire.
  [[nodiscard]] OwnerNote predecessor() const;
  // Who owns the folder now, for one that does not. While the owner waits for its listening
  // address, this is still the owner before.
  [[nodiscard]] OwnerNote ReadHolder() const;
  // To be called by the owner at its graceful end.
  void RecordGracefulEnd(std::size_t open_messages);

 private:
  FileLock::Outcome LockOnce();
  void Write(const OwnerNote& note);
  [[nodiscard]] std::string path() const { return folder_ + "/owner"; }

  const std::string folder_;
  mutable std::mutex mutex_;
  FileLock lock_;
  std::optional<FileLock::Outcome> locked_as_;  // none: not locked
  bool has_note_ = false;
  OwnerNote predecessor_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_SPOOL_FOLDER_OWNER_HPP_
