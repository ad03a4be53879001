// The parts of `brassfront zone`, one function a sub-command. For zone.cpp alone, which reads the
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

// The exit statuses that the page names. kExitOther: the server or the comparison says no.
inline constexpr int kExitDone = 0;
inline constexpr int kExitOther = 1;
inline constexpr int kExitNoAnswer = 3;

// Throws UsageError.
[[nodiscard]] dns::Name ParseName(const std::string& text);

// ---- files: zone_files.cpp. Each throws dns::InvalidZone or zones::StoreError. ----
int CheckZone(const std::string& path, const cxxopts::ParseResult& given);
int ShowZone(const std::string& path, const cxxopts::ParseResult& given);
int DiffZones(const std::string& from, const std::string& to, const cxxopts::ParseResult& given);

// ---- name servers: zone_client.cpp. The first word is the server. ----
int QueryServer(const std::vector<std::string>& words, const cxxopts::ParseResult& given);
int UpdateZone(const std::vector<std::string>& words, const cxxopts::ParseResult& given);

}  // namespace brassfront::zone_commands

#endif  // BRASSFRONT_CLI_ZONE_COMMANDS_HPP_
