// Endpoints in maintenance, kept out of every list that reaches the engine. The engine does not
// know of exclusions: to it the endpoint is draining, as a list of the platform's would have it.
#ifndef BRASSFRONT_FLEET_ENDPOINT_EXCLUSIONS_HPP_
#define BRASSFRONT_FLEET_ENDPOINT_EXCLUSIONS_HPP_

#include <map>
#include <mutex>
#include <set>
#include <string>

#include "protocol/discovery.hpp"

namespace brassfront::fleet {

// Any thread may call any method.
class EndpointExclusions {
 public:
  // Records a list as it came, and returns it with excluded endpoints as terminating.
  [[nodiscard]] MemberList Apply(MemberList list);
  // Replaces the set of excluded endpoints. Returns the list of changes that the engine has to be
  // told; it has no members if nothing changes.
  MemberList SetExcluded(std::set<std::string> excluded);

 private:
  std::mutex mutex_;                         // guards what follows
  std::map<std::string, Member> endpoints_;  // by id, as listed; without those that are gone
  std::uint64_t revision_ = 0;
  std::set<std::string> excluded_;
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_ENDPOINT_EXCLUSIONS_HPP_
