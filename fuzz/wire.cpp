// Fuzz target for DNS messages: decoded messages survive encoding and decoding, and reading a
// stream of arbitrary bytes terminates.
#include "dns/message.hpp"
#include "targets.hpp"

namespace brassfront::fuzz {

void ProcessInput(std::string_view bytes) {
  dns::StreamReader stream;
  for (std::size_t at = 0; at < bytes.size(); at += 7) stream.Feed(bytes.substr(at, 7));
  dns::StreamReader at_once;
  at_once.Feed(bytes);
  Require(stream.messages() == at_once.messages(),
          "a stream gives the same messages however it is split");

  const dns::Decoded decoded = dns::Decode(bytes);
  Require(decoded.message.has_value() || !decoded.why.empty(), "a rejected message has a reason");
  if (!decoded.message) return;
  dns::Message message = *decoded.message;
  if (message.tsig) message.additional.push_back(*message.tsig);
  const std::string encoded = Encode(message);
  const dns::Decoded again = dns::Decode(encoded);
  if (again.message && again.message->truncated) return;
  Require(again.message.has_value(), "an encoded message can be decoded");
  dns::Message same = *again.message;
  if (same.tsig) same.additional.push_back(*same.tsig);
  Require(Encode(same) == encoded, "a decoded message is encoded to the same bytes");
  for (const auto& record : message.answer) {
    if (!record.rdata.empty()) Require(!record.ToText().empty(), "a record has a text");
  }
  Require(Encode(message, 512).size() <= 512 || message.question.size() > 1 || message.edns,
          "the size limit is respected");
}

}  // namespace brassfront::fuzz
