// Splits a line into tokens as the zone file parser does, for tests of the record types.
#ifndef BRASSFRONT_TESTS_DNS_DNS_FIXTURES_HPP_
#define BRASSFRONT_TESTS_DNS_DNS_FIXTURES_HPP_

#include <string>
#include <utility>
#include <vector>

#include "dns/rdata.hpp"

namespace brassfront::testing {

// Splits at spaces. Quotes keep a token together, and a backslash is kept with the next character.
inline std::vector<dns::Token> Tokens(const std::string& text) {
  std::vector<dns::Token> tokens;
  bool open = false;
  bool quoted = false;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (!quoted && text[at] == ' ') {
      open = false;
      continue;
    }
    if (!std::exchange(open, true)) tokens.push_back({{}, text[at] == '"', 1, at + 1});
    if (text[at] == '"') {
      quoted = !quoted;
      if (!tokens.back().quoted) tokens.back().text += '"';
      continue;
    }
    tokens.back().text += text[at];
    if (text[at] == '\\' && at + 1 < text.size()) tokens.back().text += text[++at];
  }
  return tokens;
}

}  // namespace brassfront::testing

#endif  // BRASSFRONT_TESTS_DNS_DNS_FIXTURES_HPP_
