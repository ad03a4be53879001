#include "records/place.hpp"

#include <algorithm>
#include <utility>

namespace brassfront::records {
namespace {

std::string Lines(const std::vector<Fault>& faults) {
  std::string all;
  for (const Fault& fault : faults) {
    if (!all.empty()) all += '\n';
    all += fault.Text();
  }
  return all;
}

// Edit distance: the number of insertions, deletions, replacements and swaps of adjacent characters
// (Damerau, 1964; the variant in which no position is edited twice).
std::size_t Distance(std::string_view a, std::string_view b) {
  std::vector<std::vector<std::size_t>> d(a.size() + 1, std::vector<std::size_t>(b.size() + 1));
  for (std::size_t i = 0; i <= a.size(); ++i) {
    for (std::size_t j = 0; j <= b.size(); ++j) {
      if (i == 0 || j == 0) {
        d[i][j] = i + j;
        continue;
      }
      const std::size_t replaced = d[i - 1][j - 1] + (a[i - 1] == b[j - 1] ? 0 : 1);
      d[i][j] = std::min({replaced, d[i - 1][j] + 1, d[i][j - 1] + 1});
      const bool swapped = i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1];
      if (swapped) d[i][j] = std::min(d[i][j], d[i - 2][j - 2] + 1);
    }
  }
  return d[a.size()][b.size()];
}

}  // namespace

std::string Place::Text() const {
  if (!file) return "";
  return *file + ":" + std::to_string(line) + ":" + std::to_string(column);
}

std::string Fault::Text() const {
  std::string text = at.file ? at.Text() + ": " + message : message;
  if (declared.file) text += " (declared at " + declared.Text() + ")";
  return text;
}

BadRecords::BadRecords(std::vector<Fault> faults)
    : std::runtime_error(Lines(faults)), faults_(std::move(faults)) {}

void ThrowFault(Place at, std::string message) {
  std::vector<Fault> faults;
  faults.push_back({std::move(at), std::move(message), {}});
  throw BadRecords(std::move(faults));
}

std::string Nearest(std::string_view name, const std::vector<std::string>& known) {
  std::string best;
  std::size_t least = std::max<std::size_t>(1, name.size() / 3) + 1;
  for (const std::string& candidate : known) {
    const std::size_t distance = Distance(name, candidate);
    if (distance >= least) continue;
    least = distance;
    best = candidate;
  }
  return best;
}

std::string Quote(std::string_view text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (c == '\n') {
      out += "\\n";
    } else if (c == '\t') {
      out += "\\t";
    } else if (static_cast<unsigned char>(c) < 32 || c == 127) {
      constexpr const char* kDigits = "0123456789abcdef";
      out += "\\u00";
      out += kDigits[static_cast<unsigned char>(c) >> 4];
      out += kDigits[static_cast<unsigned char>(c) & 15];
    } else {
      out += c;
    }
  }
  return out + "\"";
}

}  // namespace brassfront::records
