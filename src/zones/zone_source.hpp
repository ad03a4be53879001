// Zone files on disk: read whole, with what they include.
#ifndef BRASSFRONT_ZONES_ZONE_SOURCE_HPP_
#define BRASSFRONT_ZONES_ZONE_SOURCE_HPP_

#include <sys/types.h>

#include <ctime>
#include <optional>
#include <string>
#include <tuple>

#include "dns/zone_file.hpp"

namespace brassfront::zones {

// Which file it is, how large, and when it was written last: with the same stamp it is the same.
using FileStamp = std::tuple<dev_t, ino_t, off_t, time_t, std::int64_t>;
std::optional<FileStamp> StampOf(const std::string& path);  // nothing: it is not there

// Reads the zone from the file. Includes are found from the folder of the file that names them and
// may not lead out of the folder of the zone's file, by `..`, a link or an absolute path. A file
// that changes while it is read is a fault, for it may be half of two. Throws dns::InvalidZone.
dns::Zone LoadZone(const std::string& path, const dns::Name& origin);

}  // namespace brassfront::zones

#endif  // BRASSFRONT_ZONES_ZONE_SOURCE_HPP_
