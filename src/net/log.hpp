#ifndef BRASSFRONT_NET_LOG_HPP_
#define BRASSFRONT_NET_LOG_HPP_

#include <string_view>

namespace brassfront {

// One line on standard error, whole whichever thread writes it.
void LogLine(std::string_view line);

}  // namespace brassfront

#endif  // BRASSFRONT_NET_LOG_HPP_
