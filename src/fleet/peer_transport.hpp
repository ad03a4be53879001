// The datagram socket between the members of a fleet: signed frames in and out.
//
// No retransmission and no order: every core that is fed by it bears lost, repeated and reordered
// frames.
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

// Owned and called by the fleet's thread, but for Open.
class PeerTransport {
 public:
  // The roster must outlive this object. It may change between two calls: addresses, the fleet's
  // name and its key are read from it for each frame.
  PeerTransport(const peers::Roster& roster, std::string self);

  // Binds the socket to this member's address. Throws std::runtime_error.
  void Open(const std::string& address);
  // For poll: readable when a datagram has come.
  [[nodiscard]] int fd() const { return socket_.fd(); }

  // Hands over each valid frame that has come, up to a bounded number. An invalid one is counted,
  // and logged once a sender and minute.
  void ReceiveFrames(peers::Time now, const std::function<void(const peers::Frame&)>& on_frame);
  // Signs the frame and sends it to the member that it names. Frames to names that are not in the
  // roster, and what the system does not take at once, are dropped.
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
