#ifndef BRASSFRONT_CLI_SERVE_HPP_
#define BRASSFRONT_CLI_SERVE_HPP_

#include <string>

#include "config/config.hpp"

namespace brassfront {

// Forwards until SIGTERM or SIGINT; returns the exit status.
int Serve(const Config& config, const std::string& state);

}  // namespace brassfront

#endif  // BRASSFRONT_CLI_SERVE_HPP_
