// The optional parts of the forwarder: DNS zones as sources of endpoints, and the fleet. In a build
// without one of them, a stub type with the same methods that does nothing replaces it, so that the
// code that connects the parts is the same in every build.
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

// Returns nullptr if `path` is empty. Throws ConfigError if a path is given but the build has no
// zones, and the exceptions of LoadSources.
[[nodiscard]] std::unique_ptr<EndpointSources> CreateSources(const std::string& path,
                                                             const Config& config);
// Returns nullptr if `roster_path` is empty. Throws ConfigError if a path is given but the build
// has no fleet, and the exceptions of Fleet's constructor.
[[nodiscard]] std::unique_ptr<fleet::Fleet> CreateFleet(const std::string& roster_path,
                                                        const Config& config,
                                                        const std::string& state_folder,
                                                        EndpointExclusions& exclusions);

}  // namespace brassfront

#endif  // BRASSFRONT_CLI_OPTIONAL_FEATURES_HPP_
