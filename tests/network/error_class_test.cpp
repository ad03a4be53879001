#include "system/error_class.hpp"

#include <doctest/doctest.h>

#include <cerrno>

#include "system/retry.hpp"

namespace brassfront {
namespace {

TEST_CASE("a resource shortage on this machine is transient for every call") {
  for (const SystemCall call :
       {SystemCall::kAccept, SystemCall::kBind, SystemCall::kConnect, SystemCall::kOpenDescriptor,
        SystemCall::kPoll, SystemCall::kReceive, SystemCall::kSend, SystemCall::kStartThread,
        SystemCall::kStorage}) {
    for (const int error : {EINTR, ENOMEM, ENOBUFS, ENFILE, EMFILE})
      CHECK(IsTransient(call, error));
  }
}

TEST_CASE("errors of a connection have the class kPeer") {
  for (const int error : {ECONNABORTED, EPROTO, ENETUNREACH, EHOSTUNREACH}) {
    CHECK(Classify(SystemCall::kAccept, error) == ErrorClass::kPeer);
  }
  for (const int error : {ECONNRESET, ETIMEDOUT, EHOSTUNREACH, EPIPE}) {
    CHECK(Classify(SystemCall::kReceive, error) == ErrorClass::kPeer);
    CHECK(Classify(SystemCall::kSend, error) == ErrorClass::kPeer);
  }
  for (const int error : {ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH, ECONNRESET}) {
    CHECK(Classify(SystemCall::kConnect, error) == ErrorClass::kPeer);
  }
}

TEST_CASE("an error that a retry can't remove is fatal") {
  CHECK(Classify(SystemCall::kBind, EACCES) == ErrorClass::kFatal);
  CHECK(Classify(SystemCall::kAccept, EBADF) == ErrorClass::kFatal);
  CHECK(Classify(SystemCall::kStorage, ENOENT) == ErrorClass::kFatal);
}

TEST_CASE("RetryAtStart retries only after a transient error") {
  int attempts = 0;
  CHECK(RetryAtStart(SystemCall::kBind, [&] {
    errno = EADDRINUSE;
    return ++attempts == 3;
  }));
  CHECK(attempts == 3);
  attempts = 0;
  CHECK_FALSE(RetryAtStart(SystemCall::kBind, [&] {
    ++attempts;
    errno = EACCES;
    return false;
  }));
  CHECK(attempts == 1);
  CHECK(errno == EACCES);
}

}  // namespace
}  // namespace brassfront
