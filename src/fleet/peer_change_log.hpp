// Logs state changes of the other members.
#ifndef BRASSFRONT_FLEET_PEER_CHANGE_LOG_HPP_
#define BRASSFRONT_FLEET_PEER_CHANGE_LOG_HPP_

#include <set>
#include <string>

#include "peers/failure_detector.hpp"

namespace brassfront::fleet {

// Used only by the fleet's thread.
class PeerChangeLog {
 public:
  // Logs the changes since the last call. Each name that two processes use is logged once.
  void Write(peers::FailureDetector& failure_detector);

 private:
  std::set<std::string> logged_duplicates_;
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_PEER_CHANGE_LOG_HPP_
