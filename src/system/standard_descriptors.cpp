#include "system/standard_descriptors.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <csignal>
#include <initializer_list>

namespace brassfront {

void OpenStandardDescriptors() {
  for (const int descriptor : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
    // open(2) returns the lowest free descriptor, which is this one.
    if (fcntl(descriptor, F_GETFD) < 0) static_cast<void>(open("/dev/null", O_RDWR));
  }
}

void IgnoreWriteSignals() {
  for (const int signal : {SIGPIPE, SIGXFSZ}) std::signal(signal, SIG_IGN);
}

}  // namespace brassfront
