// Message authentication (HMAC, RFC 2104) and the Base64 in which operators write secrets. Shared
// by signed DNS messages and the frames between forwarders.
#ifndef BRASSFRONT_SIGNING_SIGNING_HPP_
#define BRASSFRONT_SIGNING_SIGNING_HPP_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace brassfront::signing {

enum class Algorithm { kHmacSha256, kHmacSha512 };

// Of a whole signature, in bytes: 32 or 64.
std::size_t MacBytes(Algorithm algorithm);
std::string Hmac(Algorithm algorithm, std::string_view secret, std::string_view bytes);
// Takes the same time wherever they differ.
bool IsSame(std::string_view one, std::string_view other);

// Nothing if the text is not one whole word of Base64 (RFC 4648), or empty.
std::optional<std::string> FromBase64(std::string_view text);

}  // namespace brassfront::signing

#endif  // BRASSFRONT_SIGNING_SIGNING_HPP_
