// Zone files: what is read can be written and read again, and what is not has a place.
#include "dns/zone_file.hpp"

#include "targets.hpp"

namespace brassfront::fuzz {
namespace {

dns::Zone Read(const std::string& text) {
  // An include is the file's second half, so that files in files are met with.
  const auto including = [&text](const dns::ZoneText& from, const std::string& named,
                                 std::string& why) -> std::optional<dns::ZoneText> {
    if (from.identity != "zone" || named != "half") {
      why = "not there";
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

void Take(std::string_view bytes) {
  // A $GENERATE may ask for a million records: that is allowed, but no use here.
  const bool generates = bytes.find("$GENERATE") != std::string_view::npos;
  if (bytes.size() > 65536 || (generates && bytes.size() > 300)) return;
  try {
    const std::string written = Written(Read(std::string(bytes)));
    Must(Written(Read(written)) == written, "a zone goes round");
  } catch (const dns::InvalidZone& bad) {
    Must(!bad.faults().empty() && bad.faults().size() <= dns::InvalidZone::kMaxFaults,
         "a bad zone has faults");
    for (const auto& fault : bad.faults()) Must(!fault.why.empty(), "a fault has a reason");
  }
}

}  // namespace brassfront::fuzz
