// What the records of a zone mean for routing: services to endpoints. No I/O.
//
// A service is a name with SRV records (RFC 2782) and, beside them, a TXT record with the words
// `destination=NUMBER` and `kind=KIND`, and at will `zone=ZONE` and `phase=ready|drain`. Each SRV
// record's target, which may be an alias (CNAME) within the zone, has A records; each of them with
// the SRV's port is an endpoint, of the SRV's weight (0 counts as the smallest share, 0.1). A TXT
// record at the target may say `zone=` and `phase=` for itself. Of several priorities the lowest
// that has an endpoint which is ready counts; those that drain are listed all the same. The target
// `.` means that the service is not to be had.
//
// A change of the zone is worked out for the services that it touches alone.
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
    std::string name;  // as text; a group of Membership
    std::vector<Member> members;
    std::vector<std::string> faults;  // records that mean nothing, and why
  };

  // Words for records that leave them out.
  struct Defaults {
    std::string kind;
    std::string zone;
  };

  explicit ZoneMap(Defaults defaults) : defaults_(std::move(defaults)) {}

  // All services, and those that are no more (without members), against what was there before.
  std::vector<Service> Replace(const dns::Zone& zone);
  // Those that a change touches; the zone is the one after it.
  std::vector<Service> Apply(const dns::Zone& zone, const dns::Change& change);

  [[nodiscard]] std::size_t services() const { return names_.size(); }

 private:
  Service BuildService(const dns::Zone& zone, const dns::Name& name);
  // A change at `name` makes the service be worked out anew.
  void AddDependency(const std::string& service_key, const dns::Name& name);
  const dns::RecordSet* AddressesOf(const dns::Zone& zone, const std::string& service_key,
                                    std::uint32_t port, dns::Name& target, Service& service);
  static void SelectByPriority(std::map<std::uint32_t, std::vector<Member>>&& by_priority,
                               std::vector<Member>& members);
  void RemoveDependencies(const std::string& key);

  const Defaults defaults_;
  std::map<std::string, dns::Name> names_;  // of services, by key
  std::map<std::string, std::set<std::string>>
      dependencies_;  // service to the names it was made of
  std::map<std::string, std::set<std::string>> dependents_;
};

}  // namespace brassfront::membership

#endif  // BRASSFRONT_MEMBERSHIP_ZONE_MAP_HPP_
