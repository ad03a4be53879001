// Loads zone files from disk, with the files that they include.
#ifndef BRASSFRONT_ZONES_ZONE_SOURCE_HPP_
#define BRASSFRONT_ZONES_ZONE_SOURCE_HPP_

#include <sys/types.h>

#include <ctime>
#include <optional>
#include <string>
#include <tuple>

#include "dns/zone_file.hpp"

namespace brassfront::zones {

// Identity, size and modification time of a file. A file with an equal stamp is unchanged.
using FileStamp = std::tuple<dev_t, ino_t, off_t, time_t, std::int64_t>;
std::optional<FileStamp> StampOf(const std::string& path);  // nullopt if it does not exist

// Reads the zone from the file. The paths of included files are relative to the folder of the file
// that includes them, and must not leave the folder of the zone's file by `..`, a link or an
// absolute path. A file that changes while it is read is an error, since its text may be a mix of
// two versions. Throws dns::InvalidZone.
dns::Zone LoadZone(const std::string& path, const dns::Name& origin);

}  // namespace brassfront::zones

#endif  // BRASSFRONT_ZONES_ZONE_SOURCE_HPP_
