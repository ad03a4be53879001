// Message authentication (HMAC, RFC 2104) and the Base64 in which operators write secrets. Shared
// by signed DNS messages and the frames between forwarders. No state; any thread may call.
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
// The signature of `bytes`, as raw bytes.
[[nodiscard]] std::string Hmac(Algorithm algorithm, std::string_view secret,
                               std::string_view bytes);
// Compares in a time that depends on the length alone, so that a forger learns nothing from it.
[[nodiscard]] bool IsSame(std::string_view one, std::string_view other);

// The bytes of a text in Base64 (RFC 4648), which must have its padding and no white space. Nothing
// if it is not that, or is empty.
[[nodiscard]] std::optional<std::string> FromBase64(std::string_view text);

}  // namespace brassfront::signing

#endif  // BRASSFRONT_SIGNING_SIGNING_HPP_
