// The parts of the forwarder that a build may leave out: DNS zones as sources of endpoints, and the
// fleet. Where one is left out, a type with the same methods that does nothing stands in for it, so
// that the code which wires the forwarder is the same in each build.
#ifndef BRASSFRONT_CLI_OPTIONAL_FEATURES_HPP_
#define BRASSFRONT_CLI_OPTIONAL_FEATURES_HPP_

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "config/config.hpp"
#include "exclusions/endpoint_exclusions.hpp"
#include "forwarder/call_observer.hpp"
#include "forwarder/forwarder_control.hpp"
#include "protocol/discovery.hpp"
#ifdef BRASSFRONT_ZONES
#include "forwarder/endpoint_sources.hpp"
#endif
#ifdef BRASSFRONT_FLEET
#include "fleet/fleet.hpp"
#endif

namespace brassfront {

#ifndef BRASSFRONT_ZONES
struct EndpointSources {
  void ApplyPlatformList(const MemberList&) {}
  MemberList Begin(std::chrono::milliseconds) { return {}; }
  void Start(const std::function<void(MemberList)>&) {}
  void Stop() {}
};
#endif

#ifndef BRASSFRONT_FLEET
namespace fleet {
struct Fleet {
  void OnEndpointList(const MemberList&) {}
  CallObserver* call_observer() { return nullptr; }
  void Start(const ForwarderControl&) {}
  void ReloadRoster() {}
  void Stop() {}
};
}  // namespace fleet
#endif

// nullptr if no file is named. Throws ConfigError if one is named and zones are left out, and what
// the file's reader throws.
[[nodiscard]] std::unique_ptr<EndpointSources> CreateSources(const std::string& path,
                                                             const Config& config);
// nullptr if no roster is named. Throws ConfigError if one is named and the fleet is left out, and
// what Fleet's constructor throws.
[[nodiscard]] std::unique_ptr<fleet::Fleet> CreateFleet(const std::string& roster_path,
                                                        const Config& config,
                                                        const std::string& state_folder,
                                                        EndpointExclusions& exclusions);

}  // namespace brassfront

#endif  // BRASSFRONT_CLI_OPTIONAL_FEATURES_HPP_
