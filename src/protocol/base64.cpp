#include "protocol/base64.hpp"

#include <string_view>

namespace brassfront {

std::string EncodeBase64(std::string_view bytes) {
  static constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  out.reserve((bytes.size() + 2) / 3 * 4);
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    const std::string_view group = bytes.substr(i, 3);
    unsigned bits = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      bits = bits << 8 | (k < group.size() ? static_cast<unsigned char>(group[k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += k <= group.size() ? kDigits[bits >> (18 - 6 * k) & 63] : '=';
    }
  }
  return out;
}

}  // namespace brassfront
