// Evaluates dynamic updates (RFC 2136) against a zone: the prerequisites, the permissions, and the
// change that results from the update section. The zone is not modified here: the caller makes the
// change durable, applies it, and answers, in this order.
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

// Permissions of a key for the names at and below `top`.
struct Grant {
  Name key;
  Name top;
  std::set<std::uint16_t> types;  // types that the key may update; empty for all data types
  bool update = false;
  bool transfer = false;
};

struct UpdateOutcome {
  Rcode rcode = Rcode::kNoError;
  std::string why;               // the reason of a refusal
  std::optional<Change> change;  // nullopt if the update changes nothing
};

// `key` is the name of the key that the update is signed with, if it is signed. An update that no
// grant allows is refused.
UpdateOutcome EvaluateUpdate(const Zone& zone, const Message& update,
                             const std::optional<Name>& key, const std::vector<Grant>& grants);

bool MayTransfer(const std::vector<Grant>& grants, const Name& zone,
                 const std::optional<Name>& key);

}  // namespace brassfront::dns

#endif  // BRASSFRONT_DNS_UPDATE_HPP_
