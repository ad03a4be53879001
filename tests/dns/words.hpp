// Words of a line as the zone reader would hand them on, for tests of what words mean.
#ifndef BRASSFRONT_TESTS_DNS_WORDS_HPP_
#define BRASSFRONT_TESTS_DNS_WORDS_HPP_

#include <string>
#include <utility>
#include <vector>

#include "dns/rdata.hpp"

namespace brassfront::testing {

// At blanks; quotes hold a word together, and a backslash keeps the character after it.
inline std::vector<dns::Word> Words(const std::string& text) {
  std::vector<dns::Word> words;
  bool open = false;
  bool quoted = false;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (!quoted && text[at] == ' ') {
      open = false;
      continue;
    }
    if (!std::exchange(open, true)) words.push_back({{}, text[at] == '"', 1, at + 1});
    if (text[at] == '"') {
      quoted = !quoted;
      if (!words.back().quoted) words.back().text += '"';
      continue;
    }
    words.back().text += text[at];
    if (text[at] == '\\' && at + 1 < text.size()) words.back().text += text[++at];
  }
  return words;
}

}  // namespace brassfront::testing

#endif  // BRASSFRONT_TESTS_DNS_WORDS_HPP_
