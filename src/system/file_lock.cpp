#include "system/file_lock.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>

namespace brassfront {
namespace {

constexpr mode_t kOwnerOnly = 0600;
// Maximum interrupted calls; after that the lock attempt fails with EINTR.
constexpr int kMaxInterruptions = 100;

FileLock::Outcome OutcomeOf(int error) {
  if (error == EWOULDBLOCK) return FileLock::Outcome::kHeldByOther;
  const bool unsupported = error == EOPNOTSUPP || error == ENOSYS;
  return unsupported ? FileLock::Outcome::kUnsupported : FileLock::Outcome::kFailed;
}

bool LockWithoutWaiting(int fd) {
  for (int interruptions = 0; interruptions < kMaxInterruptions; ++interruptions) {
    if (flock(fd, LOCK_EX | LOCK_NB) == 0) return true;
    if (errno != EINTR) return false;
  }
  return false;
}

}  // namespace

FileLock::~FileLock() {
  if (fd_ >= 0) close(fd_);
}

FileLock::Outcome FileLock::TryLock(const std::string& path) {
  if (is_held()) return Outcome::kAcquired;
  const int fd = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kOwnerOnly);
  if (fd < 0) return Outcome::kFailed;
  if (LockWithoutWaiting(fd)) {
    fd_ = fd;
    return Outcome::kAcquired;
  }
  const int error = errno;
  close(fd);
  errno = error;
  return OutcomeOf(error);
}

}  // namespace brassfront
