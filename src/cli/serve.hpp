#ifndef BRASSFRONT_CLI_SERVE_HPP_
#define BRASSFRONT_CLI_SERVE_HPP_

#include <string>

namespace brassfront {

// Forwards until SIGTERM or SIGINT; returns the exit status. SIGHUP has the configuration read
// again: its discovery address is taken up, and the rest holds from the next start on.
int Serve(const std::string& config_path, const std::string& state);

}  // namespace brassfront

#endif  // BRASSFRONT_CLI_SERVE_HPP_
