#include "quota/messages.hpp"

#include <algorithm>
#include <cmath>

#include "peers/bytes.hpp"

namespace brassfront::quota {
namespace {

using peers::Reader;
using peers::Writer;

constexpr double kMaxRate = 1e6;  // calls a second; larger rates are reduced to this one

// Converts to thousandths, rounded down, so that the parts do not add up to more than the total.
std::uint64_t ToThousandths(double rate) {
  return static_cast<std::uint64_t>(std::floor(std::clamp(rate, 0.0, kMaxRate) * 1e3));
}
double FromThousandths(std::uint64_t milli) {
  return std::min(static_cast<double>(milli) / 1e3, kMaxRate);
}

}  // namespace

std::string LeaseRequestBatch::Encode() const {
  Writer out;
  out.U64(number).U64(last_answered).U16(requests.size());
  for (const auto& [key, wanted] : requests) {
    out.Name(key)
        .U32(ToThousandths(wanted.demand))
        .U32(ToThousandths(wanted.keep))
        .U32(ToThousandths(wanted.reported))
        .U32(ToThousandths(wanted.lend));
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
    LeaseRequest& wanted = request.requests[in.Name()];
    wanted.demand = FromThousandths(in.U32());
    wanted.keep = FromThousandths(in.U32());
    wanted.reported = FromThousandths(in.U32());
    wanted.lend = FromThousandths(in.U32());
  }
  if (!in.done() || count > kMaxKeysPerMessage) return std::nullopt;
  return request;
}

std::string LeaseGrant::Encode() const {
  Writer out;
  out.U64(number).U8(leases).U16(parts.size());
  for (const auto& [key, part] : parts) {
    out.Name(key).U32(ToThousandths(part.limit)).U32(ToThousandths(part.lease));
  }
  return out.Take();
}

std::optional<LeaseGrant> LeaseGrant::Decode(std::string_view bytes) {
  Reader in(bytes);
  LeaseGrant grant;
  grant.number = in.U64();
  grant.leases = in.U8() != 0;
  const std::size_t count = in.U16();
  for (std::size_t i = 0; i < count && !in.broken(); ++i) {
    GrantedLease& part = grant.parts[in.Name()];
    part.limit = FromThousandths(in.U32());
    part.lease = FromThousandths(in.U32());
  }
  if (!in.done() || count > kMaxKeysPerMessage) return std::nullopt;
  return grant;
}

}  // namespace brassfront::quota
