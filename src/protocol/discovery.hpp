// Discovery's lists and the lines of its watch.
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

// Cuts a stream into lines without their ends; a line over the bound breaks it for good.
class LineCutter {
 public:
  explicit LineCutter(std::size_t most = 1 << 20) : most_(most) {}
  std::vector<std::string> Feed(std::string_view bytes);
  [[nodiscard]] bool broken() const { return broken_; }

 private:
  const std::size_t most_;
  std::string line_;
  bool broken_ = false;
};

}  // namespace brassfront

#endif  // BRASSFRONT_PROTOCOL_DISCOVERY_HPP_
