#include "system/error_class.hpp"

#include <cerrno>

namespace brassfront {
namespace {

// A resource of the machine is exhausted, or the call was interrupted.
bool IsResourceShortage(int error) {
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

// The local network or a part of the route to the peer is unavailable.
bool IsNetworkDown(int error) {
  return error == ENETDOWN || error == ENETUNREACH || error == EHOSTUNREACH || error == EHOSTDOWN ||
         error == ENONET;
}

ErrorClass ClassifyAccept(int error) {
  if (IsResourceShortage(error)) return ErrorClass::kTransient;
  // accept(2) on Linux also returns pending errors of the new connection.
  const bool is_connection_error = IsNetworkDown(error) || error == ECONNABORTED ||
                                   error == EPROTO || error == ENOPROTOOPT || error == EOPNOTSUPP ||
                                   error == EPERM || error == ETIMEDOUT || error == ECONNRESET;
  return is_connection_error ? ErrorClass::kPeer : ErrorClass::kFatal;
}

ErrorClass ClassifyBind(int error) {
  const bool is_temporary =
      IsResourceShortage(error) || error == EADDRINUSE || error == EADDRNOTAVAIL;
  return is_temporary ? ErrorClass::kTransient : ErrorClass::kFatal;
}

ErrorClass ClassifyConnect(int error) {
  // For connect(2), EAGAIN and EADDRNOTAVAIL mean that all local ports are in use.
  const bool local = (IsResourceShortage(error) && error != EAGAIN) || error == EADDRNOTAVAIL ||
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
      return IsResourceShortage(error) ? ErrorClass::kTransient : ErrorClass::kFatal;
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
      return IsResourceShortage(error) ? ErrorClass::kTransient : ErrorClass::kFatal;
    case SystemCall::kPoll:
      return IsResourceShortage(error) || error == ENOSPC ? ErrorClass::kTransient
                                                          : ErrorClass::kFatal;
    case SystemCall::kReceive:
    case SystemCall::kSend:
      return IsResourceShortage(error) ? ErrorClass::kTransient : ErrorClass::kPeer;
  }
  return ErrorClass::kFatal;
}

}  // namespace brassfront
