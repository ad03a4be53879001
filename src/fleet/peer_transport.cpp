#include "fleet/peer_transport.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "observe/log.hpp"
#include "system/retry.hpp"

namespace brassfront::fleet {
namespace {

using observe::Concern;
using observe::Level;
using peers::Time;

// Read at one wake-up, so that a flood of datagrams cannot keep the cores from their timers.
constexpr int kMaxDatagramsPerWakeup = 256;
// Between two lines about dropped frames of one sender, so that a sender cannot fill the log.
constexpr Time kDroppedFrameLogInterval = std::chrono::minutes(1);

// The roster's schema admits IPv4:PORT alone.
sockaddr_in ParseSocketAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1))));
  return address;
}

}  // namespace

PeerTransport::PeerTransport(const peers::Roster& roster, std::string self)
    : roster_(roster), self_(std::move(self)), receive_buffer_(peers::kMostFrame + 1) {}

void PeerTransport::Open(const std::string& address) {
  const bool bound = RetryAtStart(SystemCall::kBind, [&] {
    socket_ = BindDatagrams(address);
    return socket_.is_open();
  });
  if (!bound) {
    throw std::runtime_error("cannot take datagrams at " + address + ": " + std::strerror(errno));
  }
  SetNonBlocking(socket_);
}

void PeerTransport::ReceiveFrames(Time now,
                                  const std::function<void(const peers::Frame&)>& on_frame) {
  for (int count = 0; count < kMaxDatagramsPerWakeup; ++count) {
    const ssize_t size = socket_.ReceiveNow({receive_buffer_.data(), receive_buffer_.size()});
    if (size < 0) return;
    const std::string_view bytes(receive_buffer_.data(), static_cast<std::size_t>(size));
    peers::Frame frame;
    const peers::Drop drop = peers::Decode(bytes, roster_.fleet, roster_.secret, self_, frame);
    if (drop == peers::Drop::kNone) {
      on_frame(frame);
    } else {
      RecordDroppedFrame(drop, frame.from, now);
    }
  }
}

// All senders that claim a name which the roster does not have count as one: names are free to
// invent, and must not fill the log or the map.
void PeerTransport::RecordDroppedFrame(peers::Drop reason, const std::string& claimed_sender,
                                       Time now) {
  const std::uint64_t dropped = ++dropped_frames_[reason];
  const std::string sender = roster_.Find(claimed_sender) == nullptr ? "unknown" : claimed_sender;
  const auto [last_logged, first] = last_drop_logged_at_.try_emplace(sender, now);
  if (!first && now - last_logged->second < kDroppedFrameLogInterval) return;
  last_logged->second = now;
  observe::Log(Concern::kFleet, Level::kWarning, "frame dropped",
               {{"from", sender}, {"reason", peers::ToString(reason)}, {"dropped", dropped}});
}

void PeerTransport::Send(const peers::Frame& frame) {
  const peers::Member* to = roster_.Find(frame.to);
  if (to == nullptr) return;
  const std::string bytes = peers::Encode(frame, roster_.fleet, roster_.secret);
  if (bytes.size() > peers::kMostFrame) {
    observe::LogRateLimited(Concern::kFleet, Level::kError, "frame too long",
                            {{"to", frame.to}, {"bytes", bytes.size()}});
    return;
  }
  const sockaddr_in address = ParseSocketAddress(to->address);
  // What does not go out now is as good as lost, which every core bears.
  sendto(socket_.fd(), bytes.data(), bytes.size(), MSG_DONTWAIT,
         reinterpret_cast<const sockaddr*>(&address), sizeof address);
}

}  // namespace brassfront::fleet
