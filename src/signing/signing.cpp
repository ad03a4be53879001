#include "signing/signing.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>

namespace brassfront::signing {

std::size_t MacBytes(Algorithm algorithm) { return algorithm == Algorithm::kHmacSha256 ? 32 : 64; }

std::string Hmac(Algorithm algorithm, std::string_view secret, std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned length = 0;
  HMAC(algorithm == Algorithm::kHmacSha256 ? EVP_sha256() : EVP_sha512(), secret.data(),
       static_cast<int>(secret.size()), reinterpret_cast<const unsigned char*>(bytes.data()),
       bytes.size(), mac.data(), &length);
  return {reinterpret_cast<const char*>(mac.data()), length};
}

bool IsSame(std::string_view one, std::string_view other) {
  return one.size() == other.size() && CRYPTO_memcmp(one.data(), other.data(), one.size()) == 0;
}

std::optional<std::string> FromBase64(std::string_view text) {
  if (text.empty() || text.size() % 4 != 0) return std::nullopt;
  std::string bytes(text.size() / 4 * 3, '\0');
  if (EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size())) < 0) {
    return std::nullopt;
  }
  const auto padding = static_cast<std::size_t>(std::count(text.end() - 2, text.end(), '='));
  bytes.resize(bytes.size() - padding);
  return bytes;
}

}  // namespace brassfront::signing
