// Zone files on disk: read whole, with what they include.
#ifndef BRASSFRONT_ZONES_ZONE_SOURCE_HPP_
#define BRASSFRONT_ZONES_ZONE_SOURCE_HPP_

#include <string>

#include "dns/zone_file.hpp"

namespace brassfront::zones {

// Reads the zone from the file. Includes are found from the folder of the file that names them and
// may not lead out of the folder of the zone's file, by `..`, a link or an absolute path. A file
// that changes while it is read is a fault, for it may be half of two. Throws dns::BadZone.
dns::Zone LoadZone(const std::string& path, const dns::Name& origin);

}  // namespace brassfront::zones

#endif  // BRASSFRONT_ZONES_ZONE_SOURCE_HPP_
