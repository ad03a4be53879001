// What a name server says to each message, without I/O: queries, transfers, updates and notices,
// with signatures and who may what. Whoever drives it hands in bytes and a clock and sends what
// comes back.
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

// Where a zone is kept. Commit makes a change durable before it returns true.
class ZoneManager {
 public:
  virtual ~ZoneManager() = default;
  [[nodiscard]] virtual const dns::Zone& zone() const = 0;
  virtual bool Commit(const dns::Change& change, const dns::UpdateSignature* signature,
                      std::string& why) = 0;
  // What earlier changes were signed with.
  [[nodiscard]] virtual std::vector<dns::UpdateSignature> signatures() const { return {}; }
  // False for a zone that is followed, or has not been read yet, or has expired.
  [[nodiscard]] virtual bool answers() const { return true; }
  [[nodiscard]] virtual bool takes_updates() const { return true; }
};

// Signatures of requests that changed something, so that one that is sent again within the window
// of time is answered as before and does nothing (an old "add" must not undo a later "remove").
class UpdateSignatureCache {
 public:
  static constexpr std::size_t kMaxEntries = 100'000;

  // What was answered to the request with this signature; nothing if it was not seen.
  [[nodiscard]] std::optional<dns::Rcode> Find(const std::string& mac) const;
  // `until` is when its window is over. Of more than kMost those whose windows end first go, and
  // no request as old as them is taken any more.
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
    std::vector<std::string> messages;    // none: nothing is to be sent
    std::string event;                    // for the log: what was asked and what came of it
    const dns::Zone* changed = nullptr;   // the zone that an update changed
    std::optional<dns::Change> change;    // and how
    const dns::Name* notified = nullptr;  // the zone that a notice was about
    std::optional<std::uint32_t> notified_serial;
  };

  void AddZone(ZoneManager* manager);
  void SetKeys(dns::KeyRing keys, std::vector<dns::Grant> grants);

  // What SOA answers say, whatever the zone's serial is: a fault by order.
  void ClaimSerial(std::optional<std::uint32_t> serial) { claimed_serial_ = serial; }

  // `seconds` since 1970, for signatures. Over a stream an answer may have many messages.
  Reply Answer(std::string_view bytes, bool stream, std::uint64_t seconds);

 private:
  struct Request {
    const dns::Message& message;
    std::string_view bytes;
    bool stream;
    std::uint64_t now;
    dns::TsigSession* session = nullptr;  // if it was signed, by a key that is known
    std::size_t limit = dns::kMaxMessageBytes;

    [[nodiscard]] std::optional<dns::Name> key() const;
  };

  [[nodiscard]] ZoneManager* ZoneContaining(
      const dns::Name& name) const;                                      // the nearest at or above
  [[nodiscard]] ZoneManager* ZoneWithApex(const dns::Name& name) const;  // whose top it is
  [[nodiscard]] Reply Signed(const Request& request, const dns::Message& answer,
                             std::string event) const;
  [[nodiscard]] Reply Refuse(const Request& request, dns::Rcode rcode, std::string why) const;
  [[nodiscard]] Reply Query(const Request& request) const;
  [[nodiscard]] Reply Transfer(const Request& request) const;
  Reply Update(const Request& request);
  [[nodiscard]] Reply Notify(const Request& request) const;

  std::map<std::string, ZoneManager*> zones_;  // by the top's Key()
  dns::KeyRing keys_;
  std::vector<dns::Grant> grants_;
  UpdateSignatureCache signatures_;
  std::optional<std::uint32_t> claimed_serial_;
};

}  // namespace brassfront::nameserver

#endif  // BRASSFRONT_NAMESERVER_RESPONDER_HPP_
