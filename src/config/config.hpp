// What a forwarder is told at its start.
#ifndef BRASSFRONT_CONFIG_CONFIG_HPP_
#define BRASSFRONT_CONFIG_CONFIG_HPP_

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch_policy/dispatch_policy.hpp"
#include "protocol/discovery.hpp"

namespace brassfront {

class ConfigError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Limits {
  std::size_t memory_bytes = 0;
  std::size_t sockets = 0;
  std::size_t disk_bytes = 0;
};

struct Config {
  std::string name;
  std::string listen;     // host:port
  std::string discovery;  // host:port
  std::uint64_t seed = 0;
  Limits limits;
  MemberList known;

  // Of the settings: what the module is told, and the names that stand for its numbers.
  dispatch_policy::Settings policy_settings;
  std::vector<std::string> class_names;
  std::vector<std::string> tenant_names;
  std::vector<std::string> kind_names;
  std::vector<std::string> zone_names;
  std::chrono::nanoseconds connection_idle{};
  std::chrono::nanoseconds connect_timeout{};
  // What was unsuited and has been given a safe default, a line each: the program starts with it.
  std::vector<std::string> warnings;
};

// Both throw ConfigError with one line that names the fault.
Config ParseConfig(std::string_view text);
Config LoadConfig(const std::string& path);

}  // namespace brassfront

#endif  // BRASSFRONT_CONFIG_CONFIG_HPP_
