// An LD_PRELOAD library that makes system calls of one process fail. For tests only.
//
// The process and the test both map the file named by $FAULT_TABLE (fault_table.py has the same
// layout). The test enables and disables rules and reads how often each took effect, so no test
// depends on timing. A rule covers one system call. For file calls it covers only files below
// $FAULT_FOLDER (and standard error for writes), for other calls every descriptor.
#include <dlfcn.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/file.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <string>

namespace {

// In the order of CALLS in fault_table.py.
enum Call : std::int32_t {
  kOpen,
  kPread,
  kPwrite,
  kFtruncate,
  kRename,
  kFsync,
  kFstat,
  kSocket,
  kBind,
  kListen,
  kAccept,
  kConnect,
  kSend,
  kRecv,
  kPoll,
  kEpollWait,
  kEpollCtl,
  kEpollCreate,
  kEventfd,
  kThread,
  kGetsockopt,
  kSetsockopt,
  kWrite,
  kRead,
  kFlock,
};

// Values of Rule::error in place of an errno; fault_table.py has the same values.
constexpr std::int32_t kShortTransfer = -1;  // the call transfers at most `bytes`
constexpr std::int32_t kKillBefore = -2;     // SIGKILL ends the process before the call
constexpr std::int32_t kKillAfter = -3;      // SIGKILL ends the process after the call
constexpr std::int32_t kKillHalfway = -4;    // the call transfers `bytes`, then SIGKILL
constexpr std::int32_t kHoldBefore = -5;     // the thread waits before the call until the rule ends
constexpr std::int32_t kHoldAfter = -6;      // the thread waits after the call until the rule ends
constexpr std::int32_t kObserve = -7;        // the call is counted and carried out normally
constexpr std::int32_t kFakeSuccess = -9;    // the call is skipped and reported as successful
// The call transfers `bytes`, waits until the rule ends, and transfers the rest.
constexpr std::int32_t kHoldHalfway = -8;

struct Rule {
  std::int32_t call;
  std::atomic<std::int32_t> active;
  std::int32_t error;  // an errno, or one of the constants above
  std::int32_t bytes;
  std::atomic<std::int64_t> remaining;  // times that it still takes effect; negative: unlimited
  std::atomic<std::int64_t> skipped;    // calls that pass before it takes effect
  std::atomic<std::int64_t> hits;
};

constexpr std::size_t kRules = 8;

struct Table {
  std::atomic<std::int64_t> realtime_offset_ns;
  std::atomic<std::int64_t> monotonic_offset_ns;
  std::array<Rule, kRules> rules;
};

static_assert(sizeof(Rule) == 40 && sizeof(Table) == 16 + kRules * 40);

Table* MapTable() {
  const char* const path = std::getenv("FAULT_TABLE");
  if (path == nullptr) return nullptr;
  using Open = int (*)(const char*, int, ...);
  const int fd = reinterpret_cast<Open>(dlsym(RTLD_NEXT, "open"))(path, O_RDWR | O_CLOEXEC);
  if (fd < 0) return nullptr;
  void* const memory = mmap(nullptr, sizeof(Table), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  close(fd);
  return memory == MAP_FAILED ? nullptr : static_cast<Table*>(memory);
}

Table* GetTable() {
  static Table* const table = MapTable();
  return table;
}

// Decrements a counter that is above 0. Returns false if it is not.
bool CountDown(std::atomic<std::int64_t>& counter) {
  std::int64_t left = counter;
  while (left > 0) {
    if (counter.compare_exchange_weak(left, left - 1)) return true;
  }
  return false;
}

// Returns the rule that takes effect on this call, or nullptr, and updates its counters.
Rule* TakeRule(Call call) {
  Table* const table = GetTable();
  if (table == nullptr) return nullptr;
  for (Rule& rule : table->rules) {
    if (rule.active == 0 || rule.call != call) continue;
    if (CountDown(rule.skipped)) continue;
    const bool limited = rule.remaining >= 0;
    if (limited && !CountDown(rule.remaining)) continue;
    ++rule.hits;
    return &rule;
  }
  return nullptr;
}

const char* Folder() {
  static const char* const folder = std::getenv("FAULT_FOLDER");
  return folder == nullptr ? "/nowhere" : folder;
}

bool IsInFolder(const char* path) {
  return std::strncmp(path, Folder(), std::strlen(Folder())) == 0;
}

bool IsInFolder(int fd) {
  char link[64];
  char path[512];
  std::snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
  const ssize_t length = readlink(link, path, sizeof path - 1);
  if (length < 0) return false;
  path[length] = '\0';
  return IsInFolder(path);
}

[[noreturn]] void Die() {
  kill(getpid(), SIGKILL);
  while (true) pause();
}

// Blocks until the test disables the rule.
void Hold(const Rule& rule) {
  constexpr timespec kPause{.tv_sec = 0, .tv_nsec = 1'000'000};
  while (rule.active != 0) nanosleep(&kPause, nullptr);
}

template <typename Function>
Function* Real(const char* name) {
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}

// Carries out a call under its rule. `real` makes the actual call.
template <typename Result, typename RealCall>
Result Run(Call call, Result failure, RealCall real) {
  Rule* const rule = TakeRule(call);
  if (rule == nullptr) return real();
  switch (rule->error) {
    case kKillBefore:
      Die();
    case kKillAfter:
      real();
      Die();
    case kHoldBefore:
      Hold(*rule);
      return real();
    case kHoldAfter: {
      const Result result = real();
      const int error = errno;
      Hold(*rule);
      errno = error;
      return result;
    }
    case kObserve:
      return real();
    case kFakeSuccess:
      return 0;
    default:
      errno = rule->error;
      return failure;
  }
}

// Does the same for calls that transfer bytes. `real_at` takes the number of bytes to transfer and
// the number of bytes already transferred.
template <typename RealCall>
ssize_t RunTransfer(Call call, std::size_t length, RealCall real_at) {
  const auto real = [&](std::size_t size) { return real_at(size, 0); };
  Rule* const rule = TakeRule(call);
  if (rule == nullptr) return real(length);
  const std::size_t part = std::min(length, static_cast<std::size_t>(rule->bytes));
  switch (rule->error) {
    case kObserve:
      return real(length);
    case kHoldBefore:
      Hold(*rule);
      return real(length);
    case kHoldAfter: {
      const ssize_t moved = real(length);
      Hold(*rule);
      return moved;
    }
    case kHoldHalfway: {
      const ssize_t moved = real(part);
      Hold(*rule);
      const ssize_t rest = moved < 0 ? 0 : real_at(length - moved, static_cast<std::size_t>(moved));
      return rest < 0 ? moved : moved + rest;
    }
    case kShortTransfer:
      return real(part);
    case kKillBefore:
      Die();
    case kKillAfter:
      real(length);
      Die();
    case kKillHalfway:
      real(part);
      Die();
    default:
      errno = rule->error;
      return -1;
  }
}

}  // namespace

extern "C" {

int open(const char* path, int flags, ...) {
  std::va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = (flags & O_CREAT) != 0 ? va_arg(arguments, mode_t) : 0;
  va_end(arguments);
  const auto real = [&] { return Real<int(const char*, int, ...)>("open")(path, flags, mode); };
  return IsInFolder(path) ? Run(kOpen, -1, real) : real();
}
int open64(const char* path, int flags, ...) {
  std::va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = (flags & O_CREAT) != 0 ? va_arg(arguments, mode_t) : 0;
  va_end(arguments);
  const auto real = [&] { return Real<int(const char*, int, ...)>("open64")(path, flags, mode); };
  return IsInFolder(path) ? Run(kOpen, -1, real) : real();
}
ssize_t pread(int fd, void* into, std::size_t length, off_t offset) {
  const auto real = [&](std::size_t size, std::size_t done) {
    return Real<ssize_t(int, void*, std::size_t, off_t)>("pread")(
        fd, static_cast<char*>(into) + done, size, offset + static_cast<off_t>(done));
  };
  return IsInFolder(fd) ? RunTransfer(kPread, length, real) : real(length, 0);
}
ssize_t pwrite(int fd, const void* bytes, std::size_t length, off_t offset) {
  const auto real = [&](std::size_t size, std::size_t done) {
    return Real<ssize_t(int, const void*, std::size_t, off_t)>("pwrite")(
        fd, static_cast<const char*>(bytes) + done, size, offset + static_cast<off_t>(done));
  };
  return IsInFolder(fd) ? RunTransfer(kPwrite, length, real) : real(length, 0);
}
ssize_t read(int fd, void* into, std::size_t length) {
  const auto real = [&](std::size_t size, std::size_t done) {
    return Real<ssize_t(int, void*, std::size_t)>("read")(fd, static_cast<char*>(into) + done,
                                                          size);
  };
  return IsInFolder(fd) ? RunTransfer(kRead, length, real) : real(length, 0);
}
ssize_t write(int fd, const void* bytes, std::size_t length) {
  const auto real = [&](std::size_t size, std::size_t done) {
    return Real<ssize_t(int, const void*, std::size_t)>("write")(
        fd, static_cast<const char*>(bytes) + done, size);
  };
  const bool covered = fd == STDERR_FILENO || IsInFolder(fd);
  return covered ? RunTransfer(kWrite, length, real) : real(length, 0);
}
int ftruncate(int fd, off_t length) {
  const auto real = [&] { return Real<int(int, off_t)>("ftruncate")(fd, length); };
  return IsInFolder(fd) ? Run(kFtruncate, -1, real) : real();
}
int rename(const char* from, const char* to) {
  const auto real = [&] { return Real<int(const char*, const char*)>("rename")(from, to); };
  return IsInFolder(from) ? Run(kRename, -1, real) : real();
}
int fsync(int fd) {
  const auto real = [&] { return Real<int(int)>("fsync")(fd); };
  return IsInFolder(fd) ? Run(kFsync, -1, real) : real();
}
int flock(int fd, int operation) noexcept {
  const auto real = [&] { return Real<int(int, int)>("flock")(fd, operation); };
  return IsInFolder(fd) ? Run(kFlock, -1, real) : real();
}
int fstat(int fd, struct stat* status) {
  const auto real = [&] { return Real<int(int, struct stat*)>("fstat")(fd, status); };
  return IsInFolder(fd) ? Run(kFstat, -1, real) : real();
}

int socket(int domain, int type, int protocol) noexcept {
  return Run(kSocket, -1,
             [&] { return Real<int(int, int, int)>("socket")(domain, type, protocol); });
}
int bind(int fd, const sockaddr* address, socklen_t length) noexcept {
  return Run(kBind, -1, [&] {
    return Real<int(int, const sockaddr*, socklen_t)>("bind")(fd, address, length);
  });
}
int listen(int fd, int backlog) noexcept {
  return Run(kListen, -1, [&] { return Real<int(int, int)>("listen")(fd, backlog); });
}
int accept4(int fd, sockaddr* address, socklen_t* length, int flags) {
  return Run(kAccept, -1, [&] {
    return Real<int(int, sockaddr*, socklen_t*, int)>("accept4")(fd, address, length, flags);
  });
}
int connect(int fd, const sockaddr* address, socklen_t length) {
  return Run(kConnect, -1, [&] {
    return Real<int(int, const sockaddr*, socklen_t)>("connect")(fd, address, length);
  });
}
ssize_t send(int fd, const void* bytes, std::size_t length, int flags) {
  return RunTransfer(kSend, length, [&](std::size_t size, std::size_t done) {
    return Real<ssize_t(int, const void*, std::size_t, int)>("send")(
        fd, static_cast<const char*>(bytes) + done, size, flags);
  });
}
ssize_t recv(int fd, void* into, std::size_t length, int flags) {
  return RunTransfer(kRecv, length, [&](std::size_t size, std::size_t done) {
    return Real<ssize_t(int, void*, std::size_t, int)>("recv")(fd, static_cast<char*>(into) + done,
                                                               size, flags);
  });
}
int getsockopt(int fd, int level, int option, void* value, socklen_t* length) noexcept {
  return Run(kGetsockopt, -1, [&] {
    return Real<int(int, int, int, void*, socklen_t*)>("getsockopt")(fd, level, option, value,
                                                                     length);
  });
}
int setsockopt(int fd, int level, int option, const void* value, socklen_t length) noexcept {
  return Run(kSetsockopt, -1, [&] {
    return Real<int(int, int, int, const void*, socklen_t)>("setsockopt")(fd, level, option, value,
                                                                          length);
  });
}
int poll(pollfd* descriptors, nfds_t count, int timeout) {
  return Run(kPoll, -1,
             [&] { return Real<int(pollfd*, nfds_t, int)>("poll")(descriptors, count, timeout); });
}
int epoll_wait(int fd, epoll_event* events, int most, int timeout) {
  return Run(kEpollWait, -1, [&] {
    return Real<int(int, epoll_event*, int, int)>("epoll_wait")(fd, events, most, timeout);
  });
}
int epoll_ctl(int fd, int operation, int target, epoll_event* event) noexcept {
  return Run(kEpollCtl, -1, [&] {
    return Real<int(int, int, int, epoll_event*)>("epoll_ctl")(fd, operation, target, event);
  });
}
int epoll_create1(int flags) noexcept {
  return Run(kEpollCreate, -1, [&] { return Real<int(int)>("epoll_create1")(flags); });
}
int eventfd(unsigned int count, int flags) noexcept {
  return Run(kEventfd, -1, [&] { return Real<int(unsigned int, int)>("eventfd")(count, flags); });
}
int pthread_create(pthread_t* thread, const pthread_attr_t* attributes, void* (*body)(void*),
                   void* argument) noexcept {
  Rule* const rule = TakeRule(kThread);
  if (rule != nullptr) return rule->error;
  using Create = int(pthread_t*, const pthread_attr_t*, void* (*)(void*), void*);
  return Real<Create>("pthread_create")(thread, attributes, body, argument);
}
int clock_gettime(clockid_t clock, timespec* time) noexcept {
  const int result = Real<int(clockid_t, timespec*)>("clock_gettime")(clock, time);
  const bool covered = clock == CLOCK_REALTIME || clock == CLOCK_MONOTONIC;
  Table* const table = covered ? GetTable() : nullptr;
  if (result != 0 || table == nullptr) return result;
  constexpr std::int64_t kNanoseconds = 1'000'000'000;
  const std::int64_t offset =
      clock == CLOCK_REALTIME ? table->realtime_offset_ns : table->monotonic_offset_ns;
  const std::int64_t shifted = time->tv_sec * kNanoseconds + time->tv_nsec + offset;
  time->tv_sec = shifted / kNanoseconds;
  time->tv_nsec = shifted % kNanoseconds;
  return 0;
}

}  // extern "C"
