// Lease requests and grants, and their bytes in peer frames. The bytes are fixed: members of two
// versions exchange them.
#ifndef BRASSFRONT_QUOTA_MESSAGES_HPP_
#define BRASSFRONT_QUOTA_MESSAGES_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace brassfront::quota {

inline constexpr std::size_t kMaxKeysPerMessage = 400;  // in one message; a frame holds them

// All rates in calls a second.
struct LeaseRequest {
  double demand = 0;    // what comes to the holder for it
  double keep = 0;      // of its lease: it uses no more than this until the answer
  double reported = 0;  // the limit that its own calls were reported; 0: none
  double lend = 0;      // of its floor: it leaves that alone for LeaseSettings::LeaseCoolDown
};
struct LeaseRequestBatch {
  std::uint64_t number = 0;  // the holder takes the answer to its last one alone
  std::uint64_t last_answered =
      0;  // the last one whose answer it had: so this is younger than that answer
  std::map<std::string, LeaseRequest> requests;

  [[nodiscard]] std::string Encode() const;
  [[nodiscard]] static std::optional<LeaseRequestBatch> Decode(std::string_view bytes);
};

struct GrantedLease {
  double limit = 0;  // as the fleet takes it; 0: none is known
  double lease = 0;
};
struct LeaseGrant {
  std::uint64_t number = 0;  // of the request
  bool leases = false;       // else the parts say limits alone, and leases run on
  std::map<std::string, GrantedLease> parts;

  [[nodiscard]] std::string Encode() const;
  [[nodiscard]] static std::optional<LeaseGrant> Decode(std::string_view bytes);
};

}  // namespace brassfront::quota

#endif  // BRASSFRONT_QUOTA_MESSAGES_HPP_
