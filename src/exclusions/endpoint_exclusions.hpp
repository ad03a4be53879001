// Endpoints that operators or the fleet have excluded. They are marked as excluded in every list
// for the engine, and no call to them starts. The dispatch policy sees such an endpoint as
// draining, as if the platform had listed it so. Its state in the list applies again once it is
// readmitted.
#ifndef BRASSFRONT_EXCLUSIONS_ENDPOINT_EXCLUSIONS_HPP_
#define BRASSFRONT_EXCLUSIONS_ENDPOINT_EXCLUSIONS_HPP_

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <shared_mutex>
#include <string>

#include "protocol/discovery.hpp"

namespace brassfront {

// Who excludes endpoints. An endpoint is excluded as long as at least one source excludes it.
enum class ExclusionSource { kFleet, kOperator };
inline constexpr std::size_t kExclusionSources = 2;

// Any thread may call any method.
class EndpointExclusions {
 public:
  // Passes a list on to the engine. It is called while a mutex is locked, so that lists and changes
  // of exclusions reach the engine in the order in which they were made. It must not call
  // EndpointExclusions.
  using Deliver = std::function<void(MemberList)>;

  // Records a list in its original form, and returns it with excluded endpoints as terminating. A
  // list that is older than the last one is returned unchanged.
  [[nodiscard]] MemberList Apply(MemberList list);
  // Does the same, and passes the result to `deliver`.
  void Apply(MemberList list, const Deliver& deliver);

  // Replaces the set of endpoints that the source has excluded. From then on no call to one of them
  // starts. Passes the resulting changes of the endpoint list, if there are any, to `deliver`.
  void SetExcluded(ExclusionSource source, std::set<std::string> excluded, const Deliver& deliver);

  // Whether the endpoint is excluded. This is the last check before a call's first byte.
  [[nodiscard]] bool IsExcluded(const std::string& endpoint) const;
  // Whether the endpoint is in the last list, draining or not.
  [[nodiscard]] bool IsListed(const std::string& endpoint) const;

  // While the exclusions made before this process started are not known, no call may start at all.
  void SetComplete(bool complete) { complete_ = complete; }
  [[nodiscard]] bool is_complete() const { return complete_; }

 private:
  [[nodiscard]] MemberList Record(MemberList list);

  mutable std::mutex lists_mutex_;           // guards the next two members, and the delivery order
  std::map<std::string, Member> endpoints_;  // by id, as listed; without those that are gone
  std::uint64_t revision_ = 0;

  mutable std::shared_mutex excluded_mutex_;  // guards excluded_; locked after lists_mutex_
  std::array<std::set<std::string>, kExclusionSources> excluded_;

  std::atomic<bool> complete_{true};
};

}  // namespace brassfront

#endif  // BRASSFRONT_EXCLUSIONS_ENDPOINT_EXCLUSIONS_HPP_
