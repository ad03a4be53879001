// What a forwarder is told at its start and on a reload: its configuration file, which is JSON.
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

// The configuration can't be used; its text is one line for people that names the fault.
class ConfigError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The file can't be read now, which says nothing about what it holds.
class ConfigUnreadable : public ConfigError {
  using ConfigError::ConfigError;
};

// What the platform lets the forwarder use.
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
  // The names of what the policy knows by index.
  std::vector<std::string> class_names;
  std::vector<std::string> tenant_names;
  std::vector<std::string> kind_names;
  std::vector<std::string> zone_names;

  std::chrono::nanoseconds
      connection_idle_timeout{};               // after which an endpoint closes an idle connection
  std::chrono::nanoseconds connect_timeout{};  // for a connection to an endpoint
  // Settings that are not valid and were replaced by safe defaults, a line for people each.
  std::vector<std::string> warnings;
  // Keys of the file that the program does not know, as a path such as `settings.tick`.
  std::vector<std::string> unknown_keys;
  // Of each key of the file, with its value's hash: to tell what a reload would change.
  std::map<std::string, std::size_t> value_hashes;
};

// The keys whose values differ, or that one of the two alone has.
[[nodiscard]] std::vector<std::string> ChangedKeys(const Config& before, const Config& after);

// Both throw ConfigError; LoadConfig throws ConfigUnreadable if the file can't be read now.
[[nodiscard]] Config ParseConfig(std::string_view text);
[[nodiscard]] Config LoadConfig(const std::string& path);

}  // namespace brassfront

#endif  // BRASSFRONT_CONFIG_CONFIG_HPP_
