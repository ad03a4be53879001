#ifndef BRASSFRONT_PROTOCOL_BASE64_HPP_
#define BRASSFRONT_PROTOCOL_BASE64_HPP_

#include <string>
#include <string_view>

namespace brassfront {

std::string EncodeBase64(std::string_view bytes);

}  // namespace brassfront

#endif  // BRASSFRONT_PROTOCOL_BASE64_HPP_
