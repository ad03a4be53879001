// Endpoints that operators or the fleet have taken out, kept out of every list that reaches the
// engine and of every call. To the dispatch policy such an endpoint is draining, as a list of the
// platform's would have it; what a list says of it counts again once it is readmitted.
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

// Who takes endpoints out. One is out as long as any of them says so.
enum class ExclusionSource { kFleet, kOperator };
inline constexpr std::size_t kExclusionSources = 2;

// Any thread may call any method.
class EndpointExclusions {
 public:
  // Hands a list on to the engine. Called with a mutex held, so that lists and changes of
  // exclusions reach the engine in the order in which they were made; it must not call back.
  using Deliver = std::function<void(MemberList)>;

  // Records a list as it came, and returns it with excluded endpoints as terminating. A list that
  // is older than the last one is returned as it is.
  [[nodiscard]] MemberList Apply(MemberList list);
  // The same, and hands the result on.
  void Apply(MemberList list, const Deliver& deliver);

  // Replaces the set of endpoints that the source has taken out. From then on no call to one of
  // them begins. Hands on the list of changes that the engine has to be told, if there are any.
  void SetExcluded(ExclusionSource source, std::set<std::string> excluded, const Deliver& deliver);

  // The last check before a call's first byte.
  [[nodiscard]] bool IsExcluded(const std::string& endpoint) const;
  // In the last list, draining or not.
  [[nodiscard]] bool IsListed(const std::string& endpoint) const;

  // While it is not known who was taken out before this process, no call may begin at all.
  void SetComplete(bool complete) { complete_ = complete; }
  [[nodiscard]] bool is_complete() const { return complete_; }

 private:
  [[nodiscard]] MemberList Record(MemberList list);

  mutable std::mutex lists_mutex_;           // guards what follows, and the order of deliveries
  std::map<std::string, Member> endpoints_;  // by id, as listed; without those that are gone
  std::uint64_t revision_ = 0;

  mutable std::shared_mutex excluded_mutex_;  // guards what follows; taken after the one above
  std::array<std::set<std::string>, kExclusionSources> excluded_;

  std::atomic<bool> complete_{true};
};

}  // namespace brassfront

#endif  // BRASSFRONT_EXCLUSIONS_ENDPOINT_EXCLUSIONS_HPP_
