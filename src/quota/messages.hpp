// Lease requests and grants, and their encoding in peer frames. The encoding must not change,
// because members of different versions exchange it.
#ifndef BRASSFRONT_QUOTA_MESSAGES_HPP_
#define BRASSFRONT_QUOTA_MESSAGES_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace brassfront::quota {

inline constexpr std::size_t kMaxKeysPerMessage = 400;  // this many keys fit into one frame

// One holder's request for one limit. All rates are in calls a second.
struct LeaseRequest {
  double demand = 0;    // rate that the holder needs
  double keep = 0;      // part of its lease that the holder uses at most until the answer
  double reported = 0;  // limit reported in responses to the holder's own calls; 0: none
  double lend = 0;      // part of its reserve left unused for LeaseSettings::LeaseCoolDown
};
struct LeaseRequestBatch {
  std::uint64_t number = 0;  // the holder accepts only the answer to its last request
  // The last request whose answer the holder received; this request was written after that answer.
  std::uint64_t last_answered = 0;
  std::map<std::string, LeaseRequest> requests;

  [[nodiscard]] std::string Encode() const;
  [[nodiscard]] static std::optional<LeaseRequestBatch> Decode(std::string_view bytes);
};

struct GrantedLease {
  double limit = 0;  // the limit that the fleet agreed on; 0: unknown
  double lease = 0;
};
struct LeaseGrant {
  std::uint64_t number = 0;  // number of the request
  bool leases = false;       // if false, the parts contain only limits, and leases stay as they are
  std::map<std::string, GrantedLease> parts;

  [[nodiscard]] std::string Encode() const;
  [[nodiscard]] static std::optional<LeaseGrant> Decode(std::string_view bytes);
};

}  // namespace brassfront::quota

#endif  // BRASSFRONT_QUOTA_MESSAGES_HPP_
