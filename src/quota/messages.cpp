#include "quota/messages.hpp"

#include <algorithm>
#include <cmath>

#include "peers/bytes.hpp"

namespace brassfront::quota {
namespace {

using peers::Reader;
using peers::Writer;

constexpr double kMaxRate = 1e6;  // calls a second; more is not meant

// In thousandths, rounded down: the sum of parts is not more than the whole.
std::uint64_t Milli(double rate) {
  return static_cast<std::uint64_t>(std::floor(std::clamp(rate, 0.0, kMaxRate) * 1e3));
}
double FromMilli(std::uint64_t milli) {
  return std::min(static_cast<double>(milli) / 1e3, kMaxRate);
}

}  // namespace

std::string LeaseRequestBatch::Encode() const {
  Writer out;
  out.U64(number).U64(last_answered).U16(requests.size());
  for (const auto& [key, w] : requests) {
    out.Name(key).U32(Milli(w.demand)).U32(Milli(w.keep)).U32(Milli(w.reported)).U32(Milli(w.lend));
  }
  return out.Take();
}

std::optional<LeaseRequestBatch> LeaseRequestBatch::Decode(std::string_view bytes) {
  Reader in(bytes);
  LeaseRequestBatch request;
  request.number = in.U64();
  request.last_answered = in.U64();
  const std::size_t count = in.U16();
  for (std::size_t i = 0; i < count && !in.broken(); ++i) {
    LeaseRequest& w = request.requests[in.Name()];
    w.demand = FromMilli(in.U32());
    w.keep = FromMilli(in.U32());
    w.reported = FromMilli(in.U32());
    w.lend = FromMilli(in.U32());
  }
  if (!in.done() || count > kMaxKeysPerMessage) return std::nullopt;
  return request;
}

std::string LeaseGrant::Encode() const {
  Writer out;
  out.U64(number).U8(leases).U16(parts.size());
  for (const auto& [key, p] : parts) out.Name(key).U32(Milli(p.limit)).U32(Milli(p.lease));
  return out.Take();
}

std::optional<LeaseGrant> LeaseGrant::Decode(std::string_view bytes) {
  Reader in(bytes);
  LeaseGrant grant;
  grant.number = in.U64();
  grant.leases = in.U8() != 0;
  const std::size_t count = in.U16();
  for (std::size_t i = 0; i < count && !in.broken(); ++i) {
    GrantedLease& p = grant.parts[in.Name()];
    p.limit = FromMilli(in.U32());
    p.lease = FromMilli(in.U32());
  }
  if (!in.done() || count > kMaxKeysPerMessage) return std::nullopt;
  return grant;
}

}  // namespace brassfront::quota
