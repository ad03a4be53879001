// Fuzz target for zone files: a file that was read can be written and read again, and a rejected
// file has faults with positions.
#include "dns/zone_file.hpp"

#include "targets.hpp"

namespace brassfront::fuzz {
namespace {

dns::Zone Read(const std::string& text) {
  // An included file is the second half of the text, so that nested files are covered.
  const auto including = [&text](const dns::ZoneText& from, const std::string& named,
                                 std::string& why) -> std::optional<dns::ZoneText> {
    if (from.identity != "zone" || named != "half") {
      why = "no such file";
      return std::nullopt;
    }
    return dns::ZoneText{"half", text.substr(text.size() / 2), "half"};
  };
  return dns::ReadZone({"zone", text, "zone"}, dns::Name::FromLiteral("example."), including);
}

std::string Written(const dns::Zone& zone) {
  std::string out;
  dns::WriteZone(zone, [&out](std::string_view part) { out += part; });
  return out;
}

}  // namespace

void ProcessInput(std::string_view bytes) {
  // A $GENERATE may create a million records, which is valid but too slow for fuzzing.
  const bool generates = bytes.find("$GENERATE") != std::string_view::npos;
  if (bytes.size() > 65536 || (generates && bytes.size() > 300)) return;
  try {
    const std::string written = Written(Read(std::string(bytes)));
    Require(Written(Read(written)) == written, "a written zone is read as the same zone");
  } catch (const dns::InvalidZone& bad) {
    Require(!bad.faults().empty() && bad.faults().size() <= dns::InvalidZone::kMaxFaults,
            "an invalid zone has faults");
    for (const auto& fault : bad.faults()) Require(!fault.why.empty(), "a fault has a reason");
  }
}

}  // namespace brassfront::fuzz
