// The sub-commands of `brassfront zone`, one function each. Used only by zone.cpp, which parses the
// command line.
#ifndef BRASSFRONT_CLI_ZONE_COMMANDS_HPP_
#define BRASSFRONT_CLI_ZONE_COMMANDS_HPP_

#include <string>
#include <vector>

#include "dns/name.hpp"

namespace cxxopts {
class ParseResult;
}  // namespace cxxopts

namespace brassfront::zone_commands {

// The documented exit statuses. kExitOther: the server returned an error, the zones differ, or a
// file is invalid.
inline constexpr int kExitDone = 0;
inline constexpr int kExitOther = 1;
inline constexpr int kExitNoAnswer = 3;

// Throws UsageError.
[[nodiscard]] dns::Name ParseName(const std::string& text);

// ---- files: zone_files.cpp. The functions throw dns::InvalidZone or zones::StoreError. ----
int CheckZone(const std::string& path, const cxxopts::ParseResult& given);
int ShowZone(const std::string& path, const cxxopts::ParseResult& given);
int DiffZones(const std::string& from, const std::string& to, const cxxopts::ParseResult& given);

// ---- name servers: zone_client.cpp. The first word is the server. ----
int QueryServer(const std::vector<std::string>& words, const cxxopts::ParseResult& given);
int UpdateZone(const std::vector<std::string>& words, const cxxopts::ParseResult& given);

}  // namespace brassfront::zone_commands

#endif  // BRASSFRONT_CLI_ZONE_COMMANDS_HPP_
