// The lines of the log that tell how the other members fare.
#ifndef BRASSFRONT_FLEET_PEER_CHANGE_LOG_HPP_
#define BRASSFRONT_FLEET_PEER_CHANGE_LOG_HPP_

#include <set>
#include <string>

#include "peers/failure_detector.hpp"

namespace brassfront::fleet {

// Owned and called by the fleet's thread.
class PeerChangeLog {
 public:
  // Logs what has changed since the last call, and each name that two processes use, once.
  void Write(peers::FailureDetector& failure_detector);

 private:
  std::set<std::string> logged_duplicates_;
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_PEER_CHANGE_LOG_HPP_
