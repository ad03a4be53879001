// Zone files (RFC 1035 §5, $TTL of RFC 2308, $GENERATE): text to records, one at a time. Files
// that are included are asked for, not opened.
#ifndef BRASSFRONT_DNS_ZONE_FILE_HPP_
#define BRASSFRONT_DNS_ZONE_FILE_HPP_

#include <cstddef>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "dns/message.hpp"
#include "dns/zone.hpp"

namespace brassfront::dns {

struct ZoneText {
  std::string file;  // as faults name it
  std::string text;
  std::string identity;  // the same for the same file by whatever name: an include may not loop
};

// The file that an $INCLUDE in `from` names; nothing, and why, if there is none or it may not be.
using IncludeResolver = std::function<std::optional<ZoneText>(
    const ZoneText& from, const std::string& named, std::string& why)>;

struct ZoneFileError {
  std::string file;
  std::size_t line = 0;  // 0 where the fault is the zone's as a whole
  std::size_t column = 0;
  std::string why;

  [[nodiscard]] std::string ToText() const;  // file:line:column: why
};

// All that is wrong, up to kMaxFaults; what() has one a line.
class InvalidZone : public std::runtime_error {
 public:
  static constexpr std::size_t kMaxFaults = 20;
  explicit InvalidZone(std::vector<ZoneFileError> faults);
  [[nodiscard]] const std::vector<ZoneFileError>& faults() const { return faults_; }

 private:
  std::vector<ZoneFileError> faults_;
};

// Hands on each record as it is read. Throws InvalidZone, after what came before it was handed on.
void ReadRecords(const ZoneText& text, const Name& origin, const IncludeResolver& resolve_include,
                 const std::function<void(Record)>& take);

// A whole zone, held against FindZoneErrors. Throws InvalidZone.
Zone ReadZone(const ZoneText& text, const Name& origin, const IncludeResolver& resolve_include);

// The zone as a file that reads back the same: SOA first, then in canonical order.
void WriteZone(const Zone& zone, const std::function<void(std::string_view)>& write);

}  // namespace brassfront::dns

#endif  // BRASSFRONT_DNS_ZONE_FILE_HPP_
