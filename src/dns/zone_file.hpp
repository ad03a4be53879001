// Parses zone files (RFC 1035 §5, $TTL of RFC 2308, $GENERATE) record by record. The parser opens
// no files: the caller provides the text of included files.
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
  std::string file;  // name for error messages
  std::string text;
  std::string identity;  // identifies the file whatever its name, to detect include loops
};

// Returns the file that an $INCLUDE in `from` names; nullopt, with `why` set, if it cannot be read
// or is not allowed.
using IncludeResolver = std::function<std::optional<ZoneText>(
    const ZoneText& from, const std::string& named, std::string& why)>;

struct ZoneFileError {
  std::string file;
  std::size_t line = 0;  // 0 for a fault of the zone as a whole
  std::size_t column = 0;
  std::string why;

  [[nodiscard]] std::string ToText() const;  // file:line:column: why
};

// The faults of a zone file, up to kMaxFaults; what() has one per line.
class InvalidZone : public std::runtime_error {
 public:
  static constexpr std::size_t kMaxFaults = 20;
  explicit InvalidZone(std::vector<ZoneFileError> faults);
  [[nodiscard]] const std::vector<ZoneFileError>& faults() const { return faults_; }

 private:
  std::vector<ZoneFileError> faults_;
};

// Calls `take` with each record as it is parsed. Throws InvalidZone at the end of the file, or once
// there are too many faults; the valid records before that have been passed to `take`.
void ReadRecords(const ZoneText& text, const Name& origin, const IncludeResolver& resolve_include,
                 const std::function<void(Record)>& take);

// Parses a complete zone and checks it with FindZoneErrors. Throws InvalidZone.
Zone ReadZone(const ZoneText& text, const Name& origin, const IncludeResolver& resolve_include);

// Writes the zone as a zone file that parses to the same zone: the SOA first, then the other
// records in canonical order.
void WriteZone(const Zone& zone, const std::function<void(std::string_view)>& write);

}  // namespace brassfront::dns

#endif  // BRASSFRONT_DNS_ZONE_FILE_HPP_
