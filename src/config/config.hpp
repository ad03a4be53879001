// The forwarder's configuration file, a JSON file that is read at the start and on a reload.
#ifndef BRASSFRONT_CONFIG_CONFIG_HPP_
#define BRASSFRONT_CONFIG_CONFIG_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch_policy/dispatch_policy.hpp"
#include "protocol/discovery.hpp"

namespace brassfront {

// The configuration can't be used. The text is one human-readable line that names the error.
class ConfigError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The file can't be read now; its content may be valid.
class ConfigUnreadable : public ConfigError {
  using ConfigError::ConfigError;
};

// The resources that the platform allows the forwarder to use.
struct Limits {
  std::size_t memory_bytes = 0;
  std::size_t sockets = 0;
  std::size_t disk_bytes = 0;
};

struct Config {
  std::string name;       // of this forwarder
  std::string listen;     // IPv4:PORT, for clients
  std::string discovery;  // IPv4:PORT
  std::string admin;      // IPv4:PORT, for operators; empty: none
  std::uint64_t seed = 0;
  Limits limits;
  MemberList known_endpoints;  // the endpoint list as it was when the file was written

  dispatch_policy::Settings policy_settings;
  // The names of the classes, tenants, kinds and zones that the policy identifies by index.
  std::vector<std::string> class_names;
  std::vector<std::string> tenant_names;
  std::vector<std::string> kind_names;
  std::vector<std::string> zone_names;

  // The time after which an endpoint closes an idle connection.
  std::chrono::nanoseconds connection_idle_timeout{};
  std::chrono::nanoseconds connect_timeout{};  // for a connection to an endpoint
  // One human-readable line for each invalid setting that was replaced by a safe default.
  std::vector<std::string> warnings;
  // Keys of the file that the program does not know, as paths such as `settings.tick`.
  std::vector<std::string> unknown_keys;
  // The hash of each key's value, used to determine what a reload changes.
  std::map<std::string, std::size_t> value_hashes;
};

// Returns the keys whose values differ, or that only one of the two has.
[[nodiscard]] std::vector<std::string> ChangedKeys(const Config& before, const Config& after);

// Both functions throw ConfigError. LoadConfig throws ConfigUnreadable if the file can't be read
// now.
[[nodiscard]] Config ParseConfig(std::string_view text);
[[nodiscard]] Config LoadConfig(const std::string& path);

}  // namespace brassfront

#endif  // BRASSFRONT_CONFIG_CONFIG_HPP_
