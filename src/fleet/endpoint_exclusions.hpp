// Endpoints that are out for work, kept out of every list that reaches the engine. The engine knows
// of no ban: to it the endpoint drains, as the platform's own lists would have it.
#ifndef BRASSFRONT_FLEET_ENDPOINT_EXCLUSIONS_HPP_
#define BRASSFRONT_FLEET_ENDPOINT_EXCLUSIONS_HPP_

#include <map>
#include <mutex>
#include <set>
#include <string>

#include "protocol/discovery.hpp"

namespace brassfront::fleet {

// For any thread.
class EndpointExclusions {
 public:
  // A list as it came; the same with excluded endpoints as terminating.
  MemberList Apply(MemberList list);
  // The changes that lead from the bans before to these; no members: nothing changes.
  MemberList SetExcluded(std::set<std::string> excluded);

 private:
  std::mutex mutex_;
  std::map<std::string, Member> endpoints_;  // by id, as the lists have it; not those that are gone
  std::uint64_t revision_ = 0;
  std::set<std::string> excluded_;
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_ENDPOINT_EXCLUSIONS_HPP_
