// Maps the services in the records of a DNS zone to endpoints. No I/O.
//
// A service is a name with SRV records (RFC 2782) and a TXT record, which contains the word
// `destination=NUMBER` and optionally `kind=KIND`, `zone=ZONE` and `phase=ready|drain`. The target
// of an SRV record has A records, or is an alias (CNAME) of such a name within the zone. Each A
// record together with the SRV record's port is an endpoint with the SRV record's weight (0 counts
// as the smallest share, 0.1). A TXT record of the target may override `zone=` and add a `phase=`;
// the worse phase of service and target applies. If there are several priorities, the lowest one
// with a ready endpoint is used; draining endpoints of all priorities are listed as well. The
// target `.` means that the service is not available.
//
// After a change of the zone, only the affected services are mapped again.
#ifndef BRASSFRONT_MEMBERSHIP_ZONE_MAP_HPP_
#define BRASSFRONT_MEMBERSHIP_ZONE_MAP_HPP_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "dns/zone.hpp"
#include "protocol/discovery.hpp"

namespace brassfront::membership {

class ZoneMap {
 public:
  struct Service {
    std::string name;  // in text form; used as the name of a group in Membership
    std::vector<Member> members;
    std::vector<std::string> faults;  // records that cannot be used, with the reason
  };

  // Attributes of records that do not contain them.
  struct Defaults {
    std::string kind;
    std::string zone;
  };

  explicit ZoneMap(Defaults defaults) : defaults_(std::move(defaults)) {}

  // Maps a new zone. Returns all its services, and without members those that no longer exist.
  std::vector<Service> Replace(const dns::Zone& zone);
  // Returns the services that a change affects. `zone` is the zone after the change.
  std::vector<Service> Apply(const dns::Zone& zone, const dns::Change& change);

  [[nodiscard]] std::size_t services() const { return names_.size(); }

 private:
  Service BuildService(const dns::Zone& zone, const dns::Name& name);
  // Records that a change of `name` affects the service.
  void AddDependency(const std::string& service_key, const dns::Name& name);
  const dns::RecordSet* AddressesOf(const dns::Zone& zone, const std::string& service_key,
                                    std::uint32_t port, dns::Name& target, Service& service);
  static void SelectByPriority(std::map<std::uint32_t, std::vector<Member>>&& by_priority,
                               std::vector<Member>& members);
  void RemoveDependencies(const std::string& key);

  const Defaults defaults_;
  std::map<std::string, dns::Name> names_;  // of the services, by key
  // The names that a service was mapped from, by service, and the inverse.
  std::map<std::string, std::set<std::string>> dependencies_;
  std::map<std::string, std::set<std::string>> dependents_;
};

}  // namespace brassfront::membership

#endif  // BRASSFRONT_MEMBERSHIP_ZONE_MAP_HPP_
