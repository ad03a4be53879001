// Which members' states are still to be told to others, and how often: SWIM's infection-style
// dissemination. A news item rides on the frames that are sent anyway, those told least often
// first, until it has been sent a number of times that grows with the logarithm of the fleet's
// size.
//
// Holds names only; what is told of a name is its state at the time of sending. One thread owns it.
#ifndef BRASSFRONT_PEERS_GOSSIP_QUEUE_HPP_
#define BRASSFRONT_PEERS_GOSSIP_QUEUE_HPP_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace brassfront::peers {

class GossipQueue {
 public:
  // Tells of the member again, as often as a fleet of `fleet_size` needs.
  void Disseminate(const std::string& name, std::size_t fleet_size);
  // Tells of the member once.
  void DisseminateOnce(const std::string& name) { transmissions_left_[name] = 1; }
  // Forgets all others.
  void Retain(const std::set<std::string>& names);
  // At most `max_count` names for a frame to `receiver`, whom its own state is not told here.
  // Counts each as sent once.
  [[nodiscard]] std::vector<std::string> TakeFor(const std::string& receiver,
                                                 std::size_t max_count);

 private:
  std::map<std::string, std::size_t> transmissions_left_;
};

}  // namespace brassfront::peers

#endif  // BRASSFRONT_PEERS_GOSSIP_QUEUE_HPP_
