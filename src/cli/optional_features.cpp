#include "cli/optional_features.hpp"

namespace brassfront {

std::unique_ptr<EndpointSources> CreateSources(const std::string& path, const Config& config) {
  if (path.empty()) return nullptr;
#ifdef BRASSFRONT_ZONES
  return std::make_unique<EndpointSources>(LoadSources(path, config), config);
#else
  throw ConfigError("--sources: DNS zones are not built into this program (" + config.name + ")");
#endif
}

std::unique_ptr<fleet::Fleet> CreateFleet(const std::string& roster_path, const Config& config,
                                          const std::string& state_folder,
                                          EndpointExclusions& exclusions) {
  if (roster_path.empty()) return nullptr;
#ifdef BRASSFRONT_FLEET
  return std::make_unique<fleet::Fleet>(roster_path, config.name, state_folder + "/fleet",
                                        config.seed, exclusions);
#else
  static_cast<void>(exclusions);
  throw ConfigError("--fleet: not built into this program (" + config.name + ", " + state_folder +
                    ")");
#endif
}

}  // namespace brassfront
