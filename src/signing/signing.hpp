// Message authentication (HMAC, RFC 2104) and the Base64 encoding of secrets in operator files.
// Used for signed DNS messages and for the frames between forwarders. Stateless; any thread may
// call.
#ifndef BRASSFRONT_SIGNING_SIGNING_HPP_
#define BRASSFRONT_SIGNING_SIGNING_HPP_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace brassfront::signing {

enum class Algorithm { kHmacSha256, kHmacSha512 };

// Length of a signature, in bytes: 32 or 64.
[[nodiscard]] std::size_t MacBytes(Algorithm algorithm);
// Returns the signature of `bytes`, as raw bytes.
[[nodiscard]] std::string Hmac(Algorithm algorithm, std::string_view secret,
                               std::string_view bytes);
// Compares in a time that depends only on the length, so that the time reveals nothing to a forger.
[[nodiscard]] bool IsSame(std::string_view one, std::string_view other);

// Decodes a Base64 text (RFC 4648), which must be padded and must not contain white space. Returns
// nothing if the text is invalid or empty.
[[nodiscard]] std::optional<std::string> FromBase64(std::string_view text);

}  // namespace brassfront::signing

#endif  // BRASSFRONT_SIGNING_SIGNING_HPP_
