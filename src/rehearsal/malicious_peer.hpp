// A scripted member of a fleet that has the key and lies: its frames are written here anew, so that
// the kit shares no code with what it judges. It answers no probe, so the others hold it for dead
// now and then, and hear it all the same.
#ifndef BRASSFRONT_REHEARSAL_MALICIOUS_PEER_HPP_
#define BRASSFRONT_REHEARSAL_MALICIOUS_PEER_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "rehearsal/scenario.hpp"

namespace brassfront::rehearsal {

class MaliciousPeer {
 public:
  // `secret` signs its frames; `destinations` are those with limits.
  MaliciousPeer(std::string fleet, std::string secret, std::vector<std::uint64_t> destinations)
      : fleet_(std::move(fleet)),
        secret_(std::move(secret)),
        destinations_(std::move(destinations)) {}

  static constexpr const char* kName = "liar";
  // The frames of one round for that forwarder; each round claims anew.
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
