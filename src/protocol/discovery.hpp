// Endpoint lists of discovery, and the splitting of its watch stream into lists.
#ifndef BRASSFRONT_PROTOCOL_DISCOVERY_HPP_
#define BRASSFRONT_PROTOCOL_DISCOVERY_HPP_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/json.hpp"

namespace brassfront {

// The lifecycle phase of a member of an endpoint list.
enum class Phase { kReady, kTerminating, kGone };

// An endpoint in an endpoint list.
struct Member {
  std::string id;
  std::string address;  // host:port
  std::string zone;
  std::string kind;
  std::uint64_t destination = 0;
  Phase phase = Phase::kReady;
  double weight = 1;
  bool excluded = false;  // set by an exclusion, regardless of the list
};

// Where an endpoint list comes from.
enum class ListSource { kConfiguration, kDiscovery, kOperator, kOtherSources };

// Returns the name of the source in the log.
[[nodiscard]] std::string_view ToString(ListSource source);

// An endpoint list, or the changes since an earlier one.
struct MemberList {
  std::uint64_t revision = 0;
  bool complete = false;  // false: only the changes
  std::vector<Member> members;
  ListSource source = ListSource::kDiscovery;
};

MemberList ReadMemberList(const json::Value& value);  // throws json::Error

// Splits a stream of JSON objects, in any layout and with empty lines between them, into the text
// of each object. The stream may be fed in chunks of any size.
class JsonObjectSplitter {
 public:
  static constexpr std::size_t kMaxObjectBytes = std::size_t{4} << 20;

  explicit JsonObjectSplitter(std::size_t max_bytes = kMaxObjectBytes) : max_bytes_(max_bytes) {}

  // Returns the pieces that these bytes complete, in order: the text of each object, an empty text
  // for each empty line between objects, and each other line that does not begin an object,
  // unchanged.
  std::vector<std::string> Feed(std::string_view bytes);
  // True if a piece was longer than the maximum. Feed returns nothing more after that.
  [[nodiscard]] bool broken() const { return broken_; }
  // Returns the bytes received so far of the incomplete piece.
  [[nodiscard]] const std::string& partial() const { return piece_; }

 private:
  // Processes one byte. Returns true if it completes the piece.
  bool ProcessByte(char byte);

  const std::size_t max_bytes_;
  std::string piece_;
  std::size_t depth_ = 0;  // number of open brackets and braces
  bool in_string_ = false;
  bool escaped_ = false;       // the previous byte was a backslash in a string
  bool after_object_ = false;  // in the rest of the line on which an object ended
  bool broken_ = false;
};

}  // namespace brassfront

#endif  // BRASSFRONT_PROTOCOL_DISCOVERY_HPP_
