// Answers the messages that a name server receives, without I/O: queries, transfers, updates and
// NOTIFY messages, with signatures and permissions. The caller passes the bytes and the current
// time and sends the reply.
#ifndef BRASSFRONT_NAMESERVER_RESPONDER_HPP_
#define BRASSFRONT_NAMESERVER_RESPONDER_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dns/message.hpp"
#include "dns/tsig.hpp"
#include "dns/update.hpp"
#include "dns/zone.hpp"

namespace brassfront::nameserver {

// Storage of a zone. Commit makes a change durable before it returns true.
class ZoneManager {
 public:
  virtual ~ZoneManager() = default;
  [[nodiscard]] virtual const dns::Zone& zone() const = 0;
  virtual bool Commit(const dns::Change& change, const dns::UpdateSignature* signature,
                      std::string& why) = 0;
  // Signatures of earlier changes.
  [[nodiscard]] virtual std::vector<dns::UpdateSignature> signatures() const { return {}; }
  // False for a zone that has not been loaded yet or has expired.
  [[nodiscard]] virtual bool answers() const { return true; }
  // False for a secondary zone and for a zone that is read from a file.
  [[nodiscard]] virtual bool takes_updates() const { return true; }
};

// Signatures of requests that changed a zone. A request that is replayed within the time window
// gets the same answer again and has no effect (an old "add" must not undo a later "remove").
class UpdateSignatureCache {
 public:
  static constexpr std::size_t kMaxEntries = 100'000;

  // Returns the answer to the request with this signature; nullopt if the signature is unknown.
  [[nodiscard]] std::optional<dns::Rcode> Find(const std::string& mac) const;
  // `until` is the end of the time window of the request. Above kMaxEntries the entries whose
  // windows end first are evicted, and requests signed no later than those are refused from then
  // on.
  void Add(const std::string& mac, std::uint64_t signed_at, std::uint64_t until, dns::Rcode rcode);
  void RemoveExpired(std::uint64_t now);
  [[nodiscard]] bool IsTooOld(std::uint64_t signed_at) const {
    return signed_at <= newest_evicted_;
  }

 private:
  struct Seen {
    std::uint64_t signed_at = 0;
    dns::Rcode rcode = dns::Rcode::kNoError;
  };
  std::map<std::string, Seen> seen_;
  std::multimap<std::uint64_t, std::string> by_expiry_;
  std::uint64_t newest_evicted_ = 0;
};

class Responder {
 public:
  struct Reply {
    std::vector<std::string> messages;    // empty if nothing is to be sent
    std::string event;                    // for the log: the request and its outcome
    const dns::Zone* changed = nullptr;   // the zone that an update changed
    std::optional<dns::Change> change;    // the change that the update made
    const dns::Name* notified = nullptr;  // the zone that a NOTIFY names
    std::optional<std::uint32_t> notified_serial;
  };

  void AddZone(ZoneManager* manager);
  void SetKeys(dns::KeyRing keys, std::vector<dns::Grant> grants);

  // Sets the serial that SOA answers contain instead of the real one: an injected fault.
  void ClaimSerial(std::optional<std::uint32_t> serial) { claimed_serial_ = serial; }

  // `seconds` is the current time since 1970, for signatures. Over a stream an answer may have
  // several messages.
  Reply Answer(std::string_view bytes, bool stream, std::uint64_t seconds);

 private:
  struct Request {
    const dns::Message& message;
    std::string_view bytes;
    bool stream;
    std::uint64_t now;
    dns::TsigSession* session = nullptr;  // null unless the request is signed with a known key
    std::size_t limit = dns::kMaxMessageBytes;

    [[nodiscard]] std::optional<dns::Name> key() const;
  };

  [[nodiscard]] ZoneManager* ZoneContaining(
      const dns::Name& name) const;  // the nearest zone at or above the name
  [[nodiscard]] ZoneManager* ZoneWithApex(
      const dns::Name& name) const;  // the zone whose apex is the name
  [[nodiscard]] Reply Signed(const Request& request, const dns::Message& answer,
                             std::string event) const;
  [[nodiscard]] Reply Refuse(const Request& request, dns::Rcode rcode, std::string why) const;
  [[nodiscard]] Reply Query(const Request& request) const;
  [[nodiscard]] Reply Transfer(const Request& request) const;
  Reply Update(const Request& request);
  [[nodiscard]] Reply Notify(const Request& request) const;

  std::map<std::string, ZoneManager*> zones_;  // by the Key() of the zone apex
  dns::KeyRing keys_;
  std::vector<dns::Grant> grants_;
  UpdateSignatureCache signatures_;
  std::optional<std::uint32_t> claimed_serial_;
};

}  // namespace brassfront::nameserver

#endif  // BRASSFRONT_NAMESERVER_RESPONDER_HPP_
