// DNS messages (RFC 1035 §4, EDNS(0) RFC 6891, updates RFC 2136 §2): bytes to messages and back.
//
// A stream's framing (RFC 1035 §4.2.2) is a state machine that takes any cut of the bytes; a
// message is decoded when it is all there, since names point back into it. A pointer must point
// before the labels that lead to it, so that no name goes round in a circle, and a name ends at
// 255 bytes: what a message costs is bounded by its length.
#ifndef BRASSFRONT_DNS_MESSAGE_HPP_
#define BRASSFRONT_DNS_MESSAGE_HPP_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dns/name.hpp"
#include "dns/rdata.hpp"

namespace brassfront::dns {

inline constexpr std::size_t kMaxMessageBytes = 65535;
inline constexpr std::size_t kPlainUdpBytes = 512;
// What UDP carries without being cut up on any usual path (DNS flag day 2020).
inline constexpr std::size_t kUdpBytes = 1232;

enum class Opcode : std::uint8_t { kQuery = 0, kNotify = 4, kUpdate = 5 };

// RFC 1035 §4.1.1, RFC 2136 §2.2, RFC 6891 §9, RFC 8945 §3.
enum class Rcode : std::uint16_t {
  kNoError = 0,
  kFormErr = 1,
  kServFail = 2,
  kNxDomain = 3,
  kNotImp = 4,
  kRefused = 5,
  kYxDomain = 6,
  kYxRrset = 7,
  kNxRrset = 8,
  kNotAuth = 9,
  kNotZone = 10,
  kBadVers = 16,
};
std::string RcodeText(std::uint16_t rcode);
inline std::string RcodeText(Rcode rcode) { return RcodeText(static_cast<std::uint16_t>(rcode)); }

struct Question {
  Name name;
  std::uint16_t type = type::kA;
  std::uint16_t klass = klass::kIn;
};

struct Record {
  Name name;
  std::uint16_t type = type::kA;
  std::uint16_t klass = klass::kIn;
  std::uint32_t ttl = 0;
  std::string rdata;

  // Owner, TTL, class, type and RDATA in a zone file's form.
  [[nodiscard]] std::string ToText() const;
};
// Name, type and RDATA, whatever the TTL and the case of names.
bool SameData(const Record& a, const Record& b);

// The OPT record's fields (RFC 6891 §6.1).
struct Edns {
  std::uint16_t udp_bytes = kUdpBytes;
  std::uint8_t version = 0;
  bool dnssec_ok = false;
  std::string options;  // as they came
};

struct Message {
  std::uint16_t id = 0;
  bool response = false;
  Opcode opcode = Opcode::kQuery;
  bool authoritative = false;
  bool truncated = false;
  bool recursion_desired = false;
  bool recursion_available = false;
  Rcode rcode = Rcode::kNoError;   // with EDNS's upper eight bits
  std::vector<Question> question;  // an update's zone
  std::vector<Record> answer;      // prerequisites
  std::vector<Record> authority;   // the update itself
  std::vector<Record> additional;  // without OPT and TSIG
  std::optional<Edns> edns;
  std::optional<Record> tsig;  // the last record, if it is one (RFC 8945 §5.1)
  std::size_t tsig_at = 0;     // where it starts in the bytes
};

struct Decoded {
  std::optional<Message> message;
  // Where there is no message: what to answer, from the header alone. Nothing if not even a header
  // came, or what came is a response: that is never answered.
  std::optional<Message> refusal;
  std::string why;
};
Decoded Decode(std::string_view bytes);

// At most `limit` bytes, to which OPT belongs and a TSIG does not. What does not fit is left out:
// of the additional section record by record; of the others with TC set (RFC 2181 §9).
std::string Encode(const Message& message, std::size_t limit = kMaxMessageBytes);

// An answer's start: the request's identity, opcode, question and RD, and EDNS if it had that.
Message ReplyTo(const Message& request, Rcode rcode);

// Messages out of a stream, each with two bytes of length before it.
class StreamReader {
 public:
  void Feed(std::string_view bytes);
  std::deque<std::string>& messages() { return messages_; }
  // Nothing of a further message has come.
  [[nodiscard]] bool between_messages() const { return pending_.empty(); }

 private:
  std::string pending_;  // a length, and what has come of its message
  std::deque<std::string> messages_;
};
std::string WithLengthPrefix(std::string_view message);  // with its length before it

}  // namespace brassfront::dns

#endif  // BRASSFRONT_DNS_MESSAGE_HPP_
