#include "fleet/state_messages.hpp"

#include "peers/bytes.hpp"

namespace brassfront::fleet {
namespace {

// First byte of a message.
enum class Tag : std::uint8_t { kRequest = 1, kUpdate = 2 };

}  // namespace

std::string Encode(const StateRequest& request) {
  peers::Writer writer;
  writer.U8(static_cast<std::uint64_t>(Tag::kRequest));
  writer.U64(request.revision);
  writer.U64(request.messages_in_flight);
  return writer.Take();
}

std::string Encode(const StateUpdate& update) {
  peers::Writer writer;
  writer.U8(static_cast<std::uint64_t>(Tag::kUpdate));
  writer.U64(update.revision);
  writer.Name(update.leader);
  writer.Text(update.state);
  return writer.Take();
}

std::optional<StateMessage> DecodeStateMessage(std::string_view bytes) {
  peers::Reader reader(bytes);
  const auto tag = static_cast<Tag>(reader.U8());
  if (tag == Tag::kRequest) {
    StateRequest request;
    request.revision = reader.U64();
    request.messages_in_flight = reader.U64();
    if (!reader.done()) return std::nullopt;
    return request;
  }
  if (tag == Tag::kUpdate) {
    StateUpdate update;
    update.revision = reader.U64();
    update.leader = reader.Name();
    update.state = reader.Text();
    if (!reader.done()) return std::nullopt;
    return update;
  }
  return std::nullopt;
}

}  // namespace brassfront::fleet
