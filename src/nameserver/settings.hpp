// A name server's settings, as an operator file of typed records gives them.
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
  std::string file;             // read at the start, and again whenever it changes
  std::string folder;           // what updates and transfers made of it, for the next start
  std::string primary;          // IPv4:PORT: it is followed, and takes no updates
  std::optional<dns::Key> key;  // that the primary is asked with
};

// From `at` seconds after the start, for `length` seconds.
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

// The definitions #Key, #Grant, #Zone, #Fault and #Nameserver.
std::string_view NameserverSchema();
// Throws records::BadRecords with all that no schema can say. Paths are from the file's folder.
HostSettings ReadHostSettings(const records::Record& record, const std::string& folder);
dns::Key ReadKey(const records::Record& record);
// A file of `key: {...}`, for clients.
dns::Key LoadKey(const std::string& path);

}  // namespace brassfront::nameserver

#endif  // BRASSFRONT_NAMESERVER_SETTINGS_HPP_
