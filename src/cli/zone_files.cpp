// `brassfront zone check`, `show` and `diff`: zones in files and folders.
#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>

#include "cli/command.hpp"
#include "cli/zone_commands.hpp"
#include "dns/zone_file.hpp"
#include "membership/zone_map.hpp"
#include "zones/store.hpp"
#include "zones/zone_source.hpp"

namespace brassfront::zone_commands {
namespace {

namespace fs = std::filesystem;
using dns::Name;

// Returns the name given by --origin, or else the one from the file name: `example` for
// example.zone.
Name ZoneOrigin(const cxxopts::ParseResult& given, const std::string& path) {
  if (given.count("origin") > 0) return ParseName(given["origin"].as<std::string>());
  const fs::path file = fs::path(path).filename();
  if (file.extension() == ".zone") return ParseName(file.stem().string());
  throw UsageError("--origin must name the zone, unless the file is called NAME.zone");
}

// Loads a zone from a zone file, or from the folder in which a name server stores it.
dns::Zone LoadZoneFrom(const std::string& path, const Name& origin) {
  if (!fs::is_directory(path)) return zones::LoadZone(path, origin);
  if (!fs::exists(fs::path(path) / "snapshot")) {
    throw zones::StoreError(path + " holds no zone");
  }
  return zones::ZoneStore(path, origin, {}).zone();
}

}  // namespace

int CheckZone(const std::string& path, const cxxopts::ParseResult& given) {
  const dns::Zone zone = LoadZoneFrom(path, ZoneOrigin(given, path));
  membership::ZoneMap map({});
  std::size_t endpoints = 0;
  std::size_t faults = 0;
  for (const auto& service : map.Replace(zone)) {
    endpoints += service.members.size();
    faults += service.faults.size();
    for (const auto& fault : service.faults) std::cout << path << ": " << fault << "\n";
  }
  std::cout << path << ": good: serial " << zone.serial() << ", " << zone.records() << " records, "
            << map.services() << " services, " << endpoints << " endpoints";
  if (faults > 0) std::cout << ", " << faults << " records that list nothing";
  std::cout << "\n";
  return kExitDone;
}

int ShowZone(const std::string& path, const cxxopts::ParseResult& given) {
  const dns::Zone zone = LoadZoneFrom(path, ZoneOrigin(given, path));
  if (given.count("endpoints") == 0) {
    WriteZone(zone, [](std::string_view line) { std::cout << line; });
    return kExitDone;
  }
  membership::ZoneMap map({});
  for (const auto& service : map.Replace(zone)) {
    std::cout << service.name << "\n";
    for (const auto& member : service.members) {
      std::cout << "  " << member.id << " destination=" << member.destination
                << " kind=" << (member.kind.empty() ? "-" : member.kind)
                << " zone=" << (member.zone.empty() ? "-" : member.zone)
                << " weight=" << member.weight
                << (member.phase == Phase::kReady ? " ready" : " drain") << "\n";
    }
    for (const auto& fault : service.faults) std::cout << "  ! " << fault << "\n";
  }
  return kExitDone;
}

int DiffZones(const std::string& from, const std::string& to, const cxxopts::ParseResult& given) {
  const dns::Zone old_zone = LoadZoneFrom(from, ZoneOrigin(given, from));
  const dns::Zone new_zone = LoadZoneFrom(to, ZoneOrigin(given, from));
  const dns::Change change = dns::Difference(old_zone, new_zone);
  const bool same_soa = SameData(change.removed[0], change.added[0]);
  for (std::size_t n = same_soa ? 1 : 0; n < change.removed.size(); ++n) {
    std::cout << "-" << change.removed[n].ToText() << "\n";
  }
  for (std::size_t n = same_soa ? 1 : 0; n < change.added.size(); ++n) {
    std::cout << "+" << change.added[n].ToText() << "\n";
  }
  return same_soa && change.is_soa_alone() ? kExitDone : kExitOther;
}

}  // namespace brassfront::zone_commands
