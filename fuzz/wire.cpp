// Messages: what is decoded goes round, and a stream of anything comes to an end.
#include "dns/message.hpp"
#include "targets.hpp"

namespace brassfront::fuzz {

void Take(std::string_view bytes) {
  dns::StreamReader stream;
  for (std::size_t at = 0; at < bytes.size(); at += 7) stream.Feed(bytes.substr(at, 7));
  dns::StreamReader at_once;
  at_once.Feed(bytes);
  Must(stream.messages() == at_once.messages(), "a stream is the same in any cuts");

  const dns::Decoded decoded = dns::Decode(bytes);
  Must(decoded.message.has_value() || !decoded.why.empty(), "what is refused has a reason");
  if (!decoded.message) return;
  dns::Message message = *decoded.message;
  if (message.tsig) message.additional.push_back(*message.tsig);
  const std::string encoded = Encode(message);
  const dns::Decoded again = dns::Decode(encoded);
  if (again.message && again.message->truncated) return;
  Must(again.message.has_value(), "what is encoded can be decoded");
  dns::Message same = *again.message;
  if (same.tsig) same.additional.push_back(*same.tsig);
  Must(Encode(same) == encoded, "encoding goes round");
  for (const auto& record : message.answer) {
    if (!record.rdata.empty()) Must(!record.ToText().empty(), "a record has a text");
  }
  Must(Encode(message, 512).size() <= 512 || message.question.size() > 1 || message.edns,
       "a limit holds");
}

}  // namespace brassfront::fuzz
