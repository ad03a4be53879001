#include "cli/process_end.hpp"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstddef>
#include <string_view>

#include "observe/log.hpp"

namespace brassfront {
namespace {

// Does only what signal-safety(7) allows: no allocation, no locks, no wall clock.
void WriteFatalSignal(int signal) {
  constexpr std::string_view kText = "brassfront: fatal signal ";
  std::array<char, kText.size() + 4> line{};
  std::copy(kText.begin(), kText.end(), line.begin());
  std::size_t length = kText.size();
  if (signal >= 10) line[length++] = static_cast<char>('0' + signal / 10);
  line[length++] = static_cast<char>('0' + signal % 10);
  line[length++] = '\n';
  static_cast<void>(!write(STDERR_FILENO, line.data(), length));
}

// SA_RESETHAND has restored the default action, so raising the signal again ends the process.
extern "C" void OnFatalSignal(int signal) {
  WriteFatalSignal(signal);
  raise(signal);
}

}  // namespace

void LogFatalSignals() {
  struct sigaction action {};
  action.sa_handler = OnFatalSignal;
  action.sa_flags = SA_RESETHAND | SA_NODEFER;
  for (const int signal : {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT}) {
    sigaction(signal, &action, nullptr);
  }
}

void LogExit(std::string_view reason, int status) {
  observe::Log(observe::Concern::kService,
               status == 0 ? observe::Level::kInfo : observe::Level::kError, "process exits",
               {{"reason", reason}, {"status", status}, {"pid", getpid()}});
}

}  // namespace brassfront
