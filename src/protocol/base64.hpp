// Encoding of bytes as base64 (RFC 4648).
#ifndef BRASSFRONT_PROTOCOL_BASE64_HPP_
#define BRASSFRONT_PROTOCOL_BASE64_HPP_

#include <string>
#include <string_view>

namespace brassfront {

// Encodes the bytes with padding and without line breaks.
std::string EncodeBase64(std::string_view bytes);

}  // namespace brassfront

#endif  // BRASSFRONT_PROTOCOL_BASE64_HPP_
