// Ownership of a state folder. Only the owner reads, writes, truncates, renames or removes files in
// it. A process that starts while its predecessor is still running waits until the predecessor has
// ended, in whatever way that happens.
//
// Ownership is a lock on the file `owner`; the kernel releases it however the process ends. If the
// file system does not support locks, the process continues without one: it still has exclusive use
// of the listening address, which a forwarder acquires before it accesses the folder
// (cli/state_takeover.hpp). The file's text, the note, is for operators and the next owner. It
// contains the owner's process id and, after a graceful shutdown, the number of messages that it
// left open. Acquiring the lock does not change the note: a predecessor that runs without a lock
// may still be running and write its note.
#ifndef BRASSFRONT_SPOOL_FOLDER_OWNER_HPP_
#define BRASSFRONT_SPOOL_FOLDER_OWNER_HPP_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

#include "system/file_lock.hpp"

namespace brassfront {

// The content of the file `owner`.
struct OwnerNote {
  std::int64_t process_id = 0;               // 0: unknown
  std::optional<std::size_t> open_messages;  // nullopt: the process did not shut down gracefully
};

// Thread-safe.
class FolderOwner {
 public:
  // Maximum disk space of the file `owner`.
  static constexpr std::size_t kMaxBytesOnDisk = 512;

  explicit FolderOwner(std::string folder) : folder_(std::move(folder)) {}

  [[nodiscard]] const std::string& folder() const { return folder_; }

  // Tries once to lock the folder, without waiting. Does nothing if it is already locked.
  // kUnsupported counts as locked. On failure errno is set.
  FileLock::Outcome Lock();
  // Locks the folder if it is not locked yet, reads the predecessor's note and replaces it with
  // this process's note. Does nothing if that is already done. The caller must own the listening
  // address.
  FileLock::Outcome Acquire();
  // Calls Acquire and returns whether this process owns the folder.
  [[nodiscard]] bool Owns() { return IsOwned(Acquire()); }
  [[nodiscard]] static bool IsOwned(FileLock::Outcome outcome) {
    return outcome == FileLock::Outcome::kAcquired || outcome == FileLock::Outcome::kUnsupported;
  }

  // Returns the note of the previous owner; known after Acquire.
  [[nodiscard]] OwnerNote predecessor() const;
  // Reads the current owner's note, for a process that does not own the folder. While the owner
  // waits for its listening address, the note is still that of the previous owner.
  [[nodiscard]] OwnerNote ReadHolder() const;
  // Called by the owner at the end of a graceful shutdown.
  void RecordGracefulEnd(std::size_t open_messages);

 private:
  FileLock::Outcome LockOnce();
  void Write(const OwnerNote& note);
  [[nodiscard]] std::string path() const { return folder_ + "/owner"; }

  const std::string folder_;
  mutable std::mutex mutex_;
  FileLock lock_;
  std::optional<FileLock::Outcome> locked_as_;  // nullopt: not locked
  bool has_note_ = false;
  OwnerNote predecessor_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_SPOOL_FOLDER_OWNER_HPP_
