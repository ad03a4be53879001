// Logs why the process ends, both for an exit and for a fatal signal.
#ifndef BRASSFRONT_CLI_PROCESS_END_HPP_
#define BRASSFRONT_CLI_PROCESS_END_HPP_

#include <string_view>

namespace brassfront {

// Installs handlers for SIGSEGV, SIGBUS, SIGFPE, SIGILL and SIGABRT that write a line with the
// signal's number; the signal then ends the process as by default. Must be called once, before
// threads are started.
void LogFatalSignals();

// Writes the last log line, with the reason why the process exits and its exit status.
void LogExit(std::string_view reason, int status);

}  // namespace brassfront

#endif  // BRASSFRONT_CLI_PROCESS_END_HPP_
