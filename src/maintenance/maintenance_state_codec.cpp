// Codec of a saved MaintenanceState, which is written to snapshots of the replicated log and sent
// in frames to members that do not vote. It is stored on disk, so the format must not change.
#include <utility>

#include "maintenance/maintenance_state.hpp"
#include "peers/bytes.hpp"

namespace brassfront::maintenance {
namespace {

using peers::Reader;
using peers::Writer;

constexpr std::uint8_t kStateFormat = 1;

void WriteRequest(Writer& out, const Request& request) {
  out.U64(request.id).U8(static_cast<std::uint64_t>(request.kind)).Name(request.name);
  out.U8(static_cast<std::uint64_t>(request.urgency)).U8(static_cast<std::uint64_t>(request.state));
  out.U32(request.times_overtaken).Name(request.why).U16(request.confirmed.size());
  for (const auto& [name, process_incarnation] : request.confirmed) {
    out.Name(name).U64(process_incarnation);
  }
}

Request ReadRequest(Reader& in) {
  Request request;
  request.id = in.U64();
  const std::uint8_t kind = in.U8();
  request.kind = static_cast<Kind>(kind);
  request.name = in.Name();
  const std::uint8_t urgency = in.U8();
  const std::uint8_t state = in.U8();
  request.urgency = static_cast<Urgency>(urgency);
  request.state = static_cast<State>(state);
  const bool known = (kind == static_cast<std::uint8_t>(Kind::kMachine) ||
                      kind == static_cast<std::uint8_t>(Kind::kEndpoint)) &&
                     urgency <= static_cast<std::uint8_t>(Urgency::kHigh) &&
                     state <= static_cast<std::uint8_t>(State::kCancelled);
  if (!known) in.Raw(SIZE_MAX);  // marks the reader as broken, so that Load rejects the state
  request.times_overtaken = in.U32();
  request.why = in.Name();
  for (std::size_t n = in.U16(); n > 0 && !in.broken(); --n) {
    const std::string name = in.Name();
    request.confirmed[name] = in.U64();
  }
  return request;
}

}  // namespace

std::string MaintenanceState::Save() const {
  Writer out;
  out.U8(kStateFormat).U64(revision_).U64(next_id_).U32(max_out_total_).U32(max_out_per_zone_);
  out.U8(grants_paused_).Name(last_zone_).U16(members_.size());
  for (const auto& [name, member] : members_) {
    out.Name(name)
        .Name(member.zone)
        .U64(member.process_incarnation)
        .U8(member.dead)
        .U64(member.ended);
  }
  out.U16(requests_.size());
  for (const auto& [id, request] : requests_) WriteRequest(out, request);
  out.U16(finished_.size());
  for (const Request& request : finished_) WriteRequest(out, request);
  out.U16(results_.size());
  for (const auto& [token, result] : results_) {
    out.U64(token).U8(result.good).Name(result.text.substr(0, kMaxTextBytes));
  }
  return out.Take();
}

bool MaintenanceState::Load(std::string_view state) {
  Reader in(state);
  MaintenanceState loaded;
  if (in.U8() != kStateFormat) return false;
  loaded.revision_ = in.U64();
  loaded.next_id_ = in.U64();
  loaded.max_out_total_ = in.U32();
  loaded.max_out_per_zone_ = in.U32();
  loaded.grants_paused_ = in.U8() != 0;
  loaded.last_zone_ = in.Name();
  for (std::size_t n = in.U16(); n > 0 && !in.broken(); --n) {
    const std::string name = in.Name();
    MemberState& member = loaded.members_[name];
    member.zone = in.Name();
    member.process_incarnation = in.U64();
    member.dead = in.U8() != 0;
    member.ended = in.U64();
  }
  for (std::size_t n = in.U16(); n > 0 && !in.broken(); --n) {
    Request request = ReadRequest(in);
    const std::uint64_t id = request.id;
    loaded.requests_[id] = std::move(request);
  }
  for (std::size_t n = in.U16(); n > 0 && !in.broken(); --n) {
    loaded.finished_.push_back(ReadRequest(in));
  }
  for (std::size_t n = in.U16(); n > 0 && !in.broken(); --n) {
    const std::uint64_t token = in.U64();
    RequestResult result;
    result.good = in.U8() != 0;
    result.text = in.Name();
    loaded.results_.emplace_back(token, std::move(result));
  }
  if (!in.done()) return false;
  loaded.CountSlots();
  *this = std::move(loaded);
  return true;
}

}  // namespace brassfront::maintenance
