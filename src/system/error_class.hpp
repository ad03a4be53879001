// Classifies failures of system calls by call and errno. All such classifications are made here.
//
// Sources: the ERRORS sections of the Linux manual pages accept(2), bind(2), connect(2),
// epoll_ctl(2), poll(2), pthread_create(3), recv(2), send(2) and socket(2). No I/O.
#ifndef BRASSFRONT_SYSTEM_ERROR_CLASS_HPP_
#define BRASSFRONT_SYSTEM_ERROR_CLASS_HPP_

namespace brassfront {

// The calls with different classifications.
enum class SystemCall {
  kAccept,
  kBind,  // and listen
  kConnect,
  kOpenDescriptor,  // socket, epoll_create1, eventfd, open
  kPoll,            // poll, epoll_wait, epoll_ctl
  kReceive,         // and getsockopt, setsockopt
  kSend,
  kStartThread,
  kStorage,  // reads and writes of files, syncs, renames
};

enum class ErrorClass {
  kTransient,  // a temporary condition of this machine: retry after a pause
  kPeer,       // concerns only this connection or its peer: close the connection
  kFatal,      // a retry would fail as well: report the error and give up
};

[[nodiscard]] ErrorClass Classify(SystemCall call, int error);

[[nodiscard]] inline bool IsTransient(SystemCall call, int error) {
  return Classify(call, error) == ErrorClass::kTransient;
}

}  // namespace brassfront

#endif  // BRASSFRONT_SYSTEM_ERROR_CLASS_HPP_
