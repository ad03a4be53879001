#include "system/error_class.hpp"

#include <cerrno>

namespace brassfront {
namespace {

// The machine has run out of something, or the call was interrupted.
bool IsShortage(int error) {
  switch (error) {
    case EINTR:
    case EAGAIN:
    case ENOMEM:
    case ENOBUFS:
    case ENFILE:
    case EMFILE:
      return true;
    default:
      return false;
  }
}

// The network is not there, here or on the way.
bool IsNetworkDown(int error) {
  return error == ENETDOWN || error == ENETUNREACH || error == EHOSTUNREACH || error == EHOSTDOWN ||
         error == ENONET;
}

ErrorClass ClassifyAccept(int error) {
  if (IsShortage(error)) return ErrorClass::kTransient;
  // Linux passes on errors of the connection that was about to be accepted.
  const bool of_connection = IsNetworkDown(error) || error == ECONNABORTED || error == EPROTO ||
                             error == ENOPROTOOPT || error == EOPNOTSUPP || error == EPERM ||
                             error == ETIMEDOUT || error == ECONNRESET;
  return of_connection ? ErrorClass::kPeer : ErrorClass::kFatal;
}

ErrorClass ClassifyBind(int error) {
  const bool may_pass = IsShortage(error) || error == EADDRINUSE || error == EADDRNOTAVAIL;
  return may_pass ? ErrorClass::kTransient : ErrorClass::kFatal;
}

ErrorClass ClassifyConnect(int error) {
  // Here EAGAIN and EADDRNOTAVAIL mean that all local ports are taken.
  const bool local = (IsShortage(error) && error != EAGAIN) || error == EADDRNOTAVAIL ||
                     error == EADDRINUSE || error == ENETUNREACH || error == ENETDOWN;
  return local ? ErrorClass::kTransient : ErrorClass::kPeer;
}

ErrorClass ClassifyStorage(int error) {
  switch (error) {
    case EINTR:
    case EAGAIN:
    case EIO:
    case ENOSPC:
    case EDQUOT:
    case EROFS:
    case EFBIG:
    case ESTALE:
    case ETIMEDOUT:
    case EBUSY:
      return ErrorClass::kTransient;
    default:
      return IsShortage(error) ? ErrorClass::kTransient : ErrorClass::kFatal;
  }
}

}  // namespace

ErrorClass Classify(SystemCall call, int error) {
  switch (call) {
    case SystemCall::kAccept:
      return ClassifyAccept(error);
    case SystemCall::kBind:
      return ClassifyBind(error);
    case SystemCall::kConnect:
      return ClassifyConnect(error);
    case SystemCall::kStorage:
      return ClassifyStorage(error);
    case SystemCall::kOpenDescriptor:
    case SystemCall::kStartThread:
      return IsShortage(error) ? ErrorClass::kTransient : ErrorClass::kFatal;
    case SystemCall::kPoll:
      return IsShortage(error) || error == ENOSPC ? ErrorClass::kTransient : ErrorClass::kFatal;
    case SystemCall::kReceive:
    case SystemCall::kSend:
      return IsShortage(error) ? ErrorClass::kTransient : ErrorClass::kPeer;
  }
  return ErrorClass::kFatal;
}

}  // namespace brassfront
