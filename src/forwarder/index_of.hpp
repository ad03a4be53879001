// Translates names of the configuration into positions in the dispatch policy's settings.
#ifndef BRASSFRONT_FORWARDER_INDEX_OF_HPP_
#define BRASSFRONT_FORWARDER_INDEX_OF_HPP_

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

namespace brassfront {

// Returns the position of the name in the list; the list's size if the name is missing. The policy
// treats an index beyond its settings as unknown.
inline std::size_t IndexOf(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_INDEX_OF_HPP_
