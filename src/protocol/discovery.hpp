// Discovery's lists and the stream of its watch.
#ifndef BRASSFRONT_PROTOCOL_DISCOVERY_HPP_
#define BRASSFRONT_PROTOCOL_DISCOVERY_HPP_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/json.hpp"

namespace brassfront {

enum class Phase { kReady, kTerminating, kGone };

struct Member {
  std::string id;
  std::string address;  // host:port
  std::string zone;
  std::string kind;
  std::uint64_t destination = 0;
  Phase phase = Phase::kReady;
  double weight = 1;
  bool excluded = false;  // not the list's word: it is kept out whatever the list says
};

// Whose word a list is.
enum class ListSource { kConfiguration, kDiscovery, kOperator, kOtherSources };

// The word in the log.
[[nodiscard]] std::string_view ToString(ListSource source);

struct MemberList {
  std::uint64_t revision = 0;
  bool complete = false;
  std::vector<Member> members;
  ListSource source = ListSource::kDiscovery;
};

MemberList ReadMemberList(const json::Value& value);  // throws json::Error

// Cuts a stream of JSON objects, in any layout and with empty lines between them, into their texts.
// Byte-fed: a text may come in any parts.
class ObjectCutter {
 public:
  static constexpr std::size_t kMaxObjectBytes = std::size_t{4} << 20;

  explicit ObjectCutter(std::size_t max_bytes = kMaxObjectBytes) : max_bytes_(max_bytes) {}

  // The pieces that are complete with these bytes, in order: objects; an empty text for each empty
  // line between them; and a line that begins no object, as it came.
  std::vector<std::string> Feed(std::string_view bytes);
  // A piece is longer than the bound. Nothing is cut from then on.
  [[nodiscard]] bool broken() const { return broken_; }
  // What has come of the piece that is not complete.
  [[nodiscard]] const std::string& partial() const { return piece_; }

 private:
  // What the byte means for the piece; true if it completes it.
  bool Take(char byte);

  const std::size_t max_bytes_;
  std::string piece_;
  std::size_t depth_ = 0;  // of open brackets and braces
  bool in_string_ = false;
  bool escaped_ = false;       // the byte before was a backslash in a string
  bool after_object_ = false;  // in the rest of the line on which an object has ended
  bool broken_ = false;
};

}  // namespace brassfront

#endif  // BRASSFRONT_PROTOCOL_DISCOVERY_HPP_
