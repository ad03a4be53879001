#include "peers/swim_messages.hpp"

#include <algorithm>
#include <utility>

#include "peers/bytes.hpp"

namespace brassfront::peers {
namespace {

// Encode and decode the fields that precede the updates, in wire order.
void EncodeFields(Writer& out, const Ping& ping) { out.U32(ping.sequence); }
void EncodeFields(Writer& out, const Ack& ack) { out.U32(ack.sequence).Name(ack.subject); }
void EncodeFields(Writer& out, const PingRequest& request) {
  out.U32(request.sequence).Name(request.target);
}

SwimMessage DecodeFields(Reader& in, Kind kind) {
  const std::uint32_t sequence = in.U32();
  if (kind == Kind::kPing) return Ping{sequence};
  std::string name = in.Name();
  if (kind == Kind::kAck) return Ack{sequence, std::move(name)};
  return PingRequest{sequence, std::move(name)};
}

std::vector<GossipUpdate> DecodeUpdates(Reader& in) {
  std::vector<GossipUpdate> updates;
  const std::size_t count = std::min<std::size_t>(in.U8(), kMaxUpdatesPerFrame);
  for (std::size_t i = 0; i < count; ++i) {
    GossipUpdate update;
    update.name = in.Name();
    const std::uint8_t state = in.U8();
    update.state = static_cast<State>(state);
    update.incarnation = in.U64();
    const bool is_state = state > static_cast<std::uint8_t>(State::kUnknown) &&
                          state <= static_cast<std::uint8_t>(State::kLeft);
    if (is_state) updates.push_back(std::move(update));
  }
  return updates;
}

}  // namespace

bool IsSwimKind(Kind kind) { return kind <= Kind::kPingReq; }

Kind GetKind(const SwimMessage& message) {
  if (std::holds_alternative<Ping>(message)) return Kind::kPing;
  if (std::holds_alternative<Ack>(message)) return Kind::kAck;
  return Kind::kPingReq;
}

std::string EncodeSwimMessage(const SwimMessage& message,
                              const std::vector<GossipUpdate>& updates) {
  Writer out;
  std::visit([&](const auto& alternative) { EncodeFields(out, alternative); }, message);
  out.U8(updates.size());
  for (const GossipUpdate& update : updates) {
    out.Name(update.name).U8(static_cast<std::uint8_t>(update.state)).U64(update.incarnation);
  }
  return out.Take();
}

std::optional<DecodedSwimMessage> DecodeSwimMessage(Kind kind, std::string_view body) {
  Reader in(body);
  SwimMessage message = DecodeFields(in, kind);
  std::vector<GossipUpdate> updates = DecodeUpdates(in);
  if (!in.done()) return std::nullopt;
  return DecodedSwimMessage{std::move(message), std::move(updates)};
}

}  // namespace brassfront::peers
