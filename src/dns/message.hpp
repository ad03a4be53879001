// Encoding and decoding of DNS messages (RFC 1035 §4, EDNS(0) RFC 6891, updates RFC 2136 §2).
//
// The framing of a stream (RFC 1035 §4.2.2) is parsed by a state machine that accepts the bytes in
// chunks of any size. A message is decoded only when it is complete, since its names may point back
// into it. A compression pointer must point before the labels that precede it, so that a name
// cannot form a loop, and a name has at most 255 bytes. The cost of decoding a message is therefore
// bounded by its length.
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
// Largest UDP payload that is not fragmented on any usual path (DNS flag day 2020).
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

  // Returns owner, TTL, class, type and RDATA in zone file format.
  [[nodiscard]] std::string ToText() const;
};
// Compares name, type and RDATA; ignores the TTL and the case of names.
bool SameData(const Record& a, const Record& b);

// Fields of the OPT record (RFC 6891 §6.1).
struct Edns {
  std::uint16_t udp_bytes = kUdpBytes;
  std::uint8_t version = 0;
  bool dnssec_ok = false;
  std::string options;  // undecoded
};

struct Message {
  std::uint16_t id = 0;
  bool response = false;
  Opcode opcode = Opcode::kQuery;
  bool authoritative = false;
  bool truncated = false;
  bool recursion_desired = false;
  bool recursion_available = false;
  Rcode rcode = Rcode::kNoError;   // includes the upper eight bits from EDNS
  std::vector<Question> question;  // in an update: the zone
  std::vector<Record> answer;      // in an update: the prerequisites
  std::vector<Record> authority;   // in an update: the records to add and delete
  std::vector<Record> additional;  // without OPT and TSIG
  std::optional<Edns> edns;
  std::optional<Record> tsig;  // always the last record of a signed message (RFC 8945 §5.1)
  std::size_t tsig_at = 0;     // byte offset of the TSIG record in the message
};

struct Decoded {
  std::optional<Message> message;
  // If decoding failed: the reply to send, built from the header alone. Empty if not even the
  // header is complete, or if the message is a response, which is never answered.
  std::optional<Message> refusal;
  std::string why;
};
Decoded Decode(std::string_view bytes);

// Encodes at most `limit` bytes, which include the OPT record but not a TSIG. Records that do not
// fit are left out: from the additional section without a mark, from the other sections with TC set
// (RFC 2181 §9).
std::string Encode(const Message& message, std::size_t limit = kMaxMessageBytes);

// Returns an empty reply with the ID, opcode, question and RD bit of the request, and with EDNS if
// the request had it.
Message ReplyTo(const Message& request, Rcode rcode);

// Splits a stream into messages; each is preceded by its length in two bytes.
class StreamReader {
 public:
  void Feed(std::string_view bytes);
  std::deque<std::string>& messages() { return messages_; }
  // True if no part of a further message has been received.
  [[nodiscard]] bool between_messages() const { return pending_.empty(); }

 private:
  std::string pending_;  // the length prefix and the part of its message received so far
  std::deque<std::string> messages_;
};
// Returns the message preceded by its length, as a stream carries it.
std::string WithLengthPrefix(std::string_view message);

}  // namespace brassfront::dns

#endif  // BRASSFRONT_DNS_MESSAGE_HPP_
