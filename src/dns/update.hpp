// Dynamic updates (RFC 2136) worked out against a zone: the prerequisites, who may change what, and
// the change that the update section comes to. Nothing is changed here: the caller makes the change
// durable, applies it, and answers, in this order.
#ifndef BRASSFRONT_DNS_UPDATE_HPP_
#define BRASSFRONT_DNS_UPDATE_HPP_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dns/message.hpp"
#include "dns/zone.hpp"

namespace brassfront::dns {

// What a key may do with the names at and below `top`.
struct Grant {
  Name key;
  Name top;
  std::set<std::uint16_t> types;  // that it may update; all data types if empty
  bool update = false;
  bool transfer = false;
};

struct UpdateOutcome {
  Rcode rcode = Rcode::kNoError;
  std::string why;               // where it is refused
  std::optional<Change> change;  // nothing where there is nothing to change
};

// `key` is what the update was signed with, if it was signed; what no grant allows is refused.
UpdateOutcome EvaluateUpdate(const Zone& zone, const Message& update,
                             const std::optional<Name>& key, const std::vector<Grant>& grants);

bool MayTransfer(const std::vector<Grant>& grants, const Name& zone,
                 const std::optional<Name>& key);

}  // namespace brassfront::dns

#endif  // BRASSFRONT_DNS_UPDATE_HPP_
