// Sends and receives signed frames on the datagram socket between the members of a fleet.
//
// There is no retransmission and no ordering: every component that receives frames tolerates lost,
// repeated and reordered ones.
#ifndef BRASSFRONT_FLEET_PEER_TRANSPORT_HPP_
#define BRASSFRONT_FLEET_PEER_TRANSPORT_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "net/socket.hpp"
#include "peers/frame.hpp"
#include "peers/roster.hpp"

namespace brassfront::fleet {

// Used only by the fleet's thread, except for Open.
class PeerTransport {
 public:
  // The roster must outlive this object. It may change between calls: the addresses, the fleet's
  // name and its key are read for each frame.
  PeerTransport(const peers::Roster& roster, std::string self);

  // Binds the socket to this member's address. Throws std::runtime_error.
  void Open(const std::string& address);
  // Descriptor for poll; readable when a datagram has arrived.
  [[nodiscard]] int fd() const { return socket_.fd(); }

  // Calls `on_frame` for each valid frame that has arrived, up to a maximum number. Invalid frames
  // are counted, and logged at most once a minute for each sender.
  void ReceiveFrames(peers::Time now, const std::function<void(const peers::Frame&)>& on_frame);
  // Signs the frame and sends it to the member that it names. A frame to a name that is not in the
  // roster, or that the system does not accept at once, is dropped.
  void Send(const peers::Frame& frame);

 private:
  void RecordDroppedFrame(peers::Drop reason, const std::string& claimed_sender, peers::Time now);

  const peers::Roster& roster_;
  const std::string self_;
  Socket socket_;
  std::vector<char> receive_buffer_;
  std::map<peers::Drop, std::uint64_t> dropped_frames_;     // by reason
  std::map<std::string, peers::Time> last_drop_logged_at_;  // by claimed sender
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_PEER_TRANSPORT_HPP_
