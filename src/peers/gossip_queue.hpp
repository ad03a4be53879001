// The members whose states must still be sent to others, and how many times: SWIM's infection-style
// dissemination. Updates are piggybacked on frames that are sent anyway, those sent least often
// first. The number of times that an update is sent grows with the logarithm of the fleet's size.
//
// The queue holds names only; the state that is sent is the one at the time of sending. Owned by
// one thread.
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
  // Restarts the dissemination of the member's state in a fleet of `fleet_size` members.
  void Disseminate(const std::string& name, std::size_t fleet_size);
  // Sends the member's state once more only.
  void DisseminateOnce(const std::string& name) { transmissions_left_[name] = 1; }
  // Removes all members that are not in `names`.
  void Retain(const std::set<std::string>& names);
  // Returns at most `max_count` names for a frame to `receiver`, and counts each as sent once. The
  // receiver's own name is not among them.
  [[nodiscard]] std::vector<std::string> TakeFor(const std::string& receiver,
                                                 std::size_t max_count);

 private:
  std::map<std::string, std::size_t> transmissions_left_;
};

}  // namespace brassfront::peers

#endif  // BRASSFRONT_PEERS_GOSSIP_QUEUE_HPP_
