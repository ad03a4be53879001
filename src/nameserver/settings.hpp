// The settings of a name server, read from an operator file of typed records.
#ifndef BRASSFRONT_NAMESERVER_SETTINGS_HPP_
#define BRASSFRONT_NAMESERVER_SETTINGS_HPP_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dns/tsig.hpp"
#include "dns/update.hpp"
#include "nameserver/server.hpp"
#include "records/records.hpp"

namespace brassfront::nameserver {

struct ZoneSettings {
  dns::Name name;
  std::string file;     // zone file; read at the start and after each change
  std::string folder;   // folder that stores the updated or transferred zone across restarts
  std::string primary;  // IPv4:PORT of the primary of a secondary zone, which accepts no updates
  std::optional<dns::Key> key;  // for requests to the primary
};

// Faults that apply from `at` seconds after the start for `length` seconds.
struct ScheduledFault {
  double at = 0;
  double length = 0;
  Faults faults;
};

struct HostSettings {
  Server::Options server;
  std::vector<ZoneSettings> zones;
  dns::KeyRing keys;
  std::vector<dns::Grant> grants;
  std::vector<ScheduledFault> faults;
};

double SecondsIn(const records::Record& duration);

// Returns the definitions #Key, #Grant, #Zone, #Fault and #Nameserver.
std::string_view NameserverSchema();
// Throws records::BadRecords with all errors that the schema cannot detect. Paths are relative to
// `folder`.
HostSettings ReadHostSettings(const records::Record& record, const std::string& folder);
dns::Key ReadKey(const records::Record& record);
// Reads a file of `key: {...}`, for clients.
dns::Key LoadKey(const std::string& path);

}  // namespace brassfront::nameserver

#endif  // BRASSFRONT_NAMESERVER_SETTINGS_HPP_
