// A scripted member of a fleet that has the key and sends false reports. Its frames are encoded
// here separately, so that the rehearsal shares no code with the forwarder. It answers no probe, so
// the others may consider it dead, but they still receive its frames.
#ifndef BRASSFRONT_REHEARSAL_MALICIOUS_PEER_HPP_
#define BRASSFRONT_REHEARSAL_MALICIOUS_PEER_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "rehearsal/scenario.hpp"

namespace brassfront::rehearsal {

class MaliciousPeer {
 public:
  // `secret` signs its frames; `destinations` are the destinations with limits.
  MaliciousPeer(std::string fleet, std::string secret, std::vector<std::uint64_t> destinations)
      : fleet_(std::move(fleet)),
        secret_(std::move(secret)),
        destinations_(std::move(destinations)) {}

  static constexpr const char* kName = "liar";
  // Returns the frames of one round for that forwarder; each round has new sequence numbers.
  std::vector<std::string> FalseFrames(FalseReport lie, const std::string& to,
                                       const std::vector<std::string>& endpoints);

 private:
  [[nodiscard]] std::string Signed(int kind, const std::string& to, const std::string& body) const;
  std::string ConditionReport(int seen, std::uint32_t rest_ms,
                              const std::vector<std::string>& endpoints);
  std::string DemandReport(double told);

  const std::string fleet_, secret_;
  const std::vector<std::uint64_t> destinations_;
  std::uint64_t number_ = 1ULL << 40;
};

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_MALICIOUS_PEER_HPP_
