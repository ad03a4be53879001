// Client of a name server: queries over UDP, repeated over TCP if the answer is truncated, zone
// transfers and updates. Calls block. Host names are not resolved: a server is given as IPv4:PORT.
#ifndef BRASSFRONT_NAMESERVER_CLIENT_HPP_
#define BRASSFRONT_NAMESERVER_CLIENT_HPP_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "dns/message.hpp"
#include "dns/transfer.hpp"
#include "dns/tsig.hpp"
#include "net/socket.hpp"

namespace brassfront::nameserver {

std::uint64_t SecondsNow();  // since 1970, as in signatures
double SteadySeconds();      // of a monotonic clock
std::uint16_t RandomId();    // unpredictable (RFC 5452)

struct RequestResult {
  std::optional<dns::Message> answer;
  std::string why;  // the reason if there is no answer
};

struct RequestOptions {
  std::string server;
  std::optional<dns::Key> key;
  std::chrono::milliseconds timeout{500};  // for each try over UDP; times `tries` over TCP
  int tries = 3;                           // over UDP
  bool stream = false;                     // use TCP from the start
};

// Sends the message with a new ID and returns the answer after checking it against the question
// and, if a key is given, its signature. An update is sent only once, over TCP, since repeating it
// could apply it twice.
RequestResult SendRequest(const RequestOptions& options, dns::Message message);

// Requests an IXFR if `have` is given, and an AXFR otherwise or if the primary does not support
// IXFR.
dns::TransferResult Transfer(const RequestOptions& options, const dns::Name& zone,
                             const std::optional<dns::Record>& have);

}  // namespace brassfront::nameserver

#endif  // BRASSFRONT_NAMESERVER_CLIENT_HPP_
