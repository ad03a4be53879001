#include "net/poller.hpp"

#include <sys/epoll.h>
#include <sys/eventfd.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>

#include "observe/metrics.hpp"
#include "system/retry.hpp"

namespace brassfront {
namespace {

bool Control(const Socket& epoll, int operation, int fd, Poller::Token token,
             std::uint32_t events) {
  epoll_event event{};
  event.events = events;
  event.data.u64 = token;
  if (epoll_ctl(epoll.fd(), operation, fd, &event) == 0) return true;
  observe::CountSystemCallFailure("epoll_ctl", errno);
  return false;
}

// Returns the descriptor that `open` creates; retries while the system is short of descriptors.
template <typename Open>
Socket RequireDescriptor(Open open) {
  Socket descriptor;
  const bool opened = RetryAtStart(SystemCall::kOpenDescriptor, [&] {
    descriptor = Socket(open());
    return descriptor.is_open();
  });
  if (!opened) throw std::runtime_error("the system can't provide a descriptor");
  return descriptor;
}

}  // namespace

Poller::Poller() : epoll_(RequireDescriptor([] { return epoll_create1(EPOLL_CLOEXEC); })) {}

void Poller::Watch(int fd, Token token) {
  const bool watched = RetryAtStart(
      SystemCall::kPoll, [&] { return Control(epoll_, EPOLL_CTL_ADD, fd, token, EPOLLIN); });
  if (!watched) throw std::runtime_error("the system can't watch a descriptor");
}

bool Poller::WatchOneShot(int fd, Token token) {
  return Control(epoll_, EPOLL_CTL_ADD, fd, token, EPOLLIN | EPOLLONESHOT);
}

bool Poller::RearmOneShot(int fd, Token token) {
  return Control(epoll_, EPOLL_CTL_MOD, fd, token, EPOLLIN | EPOLLONESHOT);
}

std::span<const Poller::Token> Poller::Wait(std::optional<std::chrono::milliseconds> timeout) {
  std::array<epoll_event, kMaxReadyPerWait> events;
  const int timeout_ms = timeout ? static_cast<int>(timeout->count()) : -1;
  const int reported = epoll_wait(epoll_.fd(), events.data(), events.size(), timeout_ms);
  // The caller calls again immediately. Without a pause, repeated interruptions would use up a
  // whole core.
  if (reported < 0) {
    observe::CountSystemCallFailure("epoll_wait", errno);
    Pause(kTransientPause);
  }
  const std::size_t count = static_cast<std::size_t>(std::max(reported, 0));
  for (std::size_t i = 0; i < count; ++i) ready_[i] = events[i].data.u64;
  return {ready_.data(), count};
}

WakeupEvent::WakeupEvent()
    : event_(RequireDescriptor([] { return eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK); })) {}

void WakeupEvent::Signal() { eventfd_write(event_.fd(), 1); }

void WakeupEvent::Clear() {
  eventfd_t count = 0;
  eventfd_read(event_.fd(), &count);
}

}  // namespace brassfront
