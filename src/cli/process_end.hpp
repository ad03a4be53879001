// Says in the log why the process ends, whatever ends it.
#ifndef BRASSFRONT_CLI_PROCESS_END_HPP_
#define BRASSFRONT_CLI_PROCESS_END_HPP_

#include <string_view>

namespace brassfront {

// From now on a fatal signal (SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT) leaves a line with its
// number and then ends the process as before. To be called once, before threads start.
void LogFatalSignals();

// The last line: why the process exits, and its status.
void LogExit(std::string_view reason, int status);

}  // namespace brassfront

#endif  // BRASSFRONT_CLI_PROCESS_END_HPP_
