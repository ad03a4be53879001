// Asking a name server: one question by UDP and again by TCP where the answer was cut, transfers
// and updates. Blocking; names are not resolved, a server is IPv4:PORT.
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

std::uint64_t SecondsNow();  // since 1970, as signatures have them
double SteadySeconds();      // on a clock that never goes back
std::uint16_t RandomId();    // not to be guessed (RFC 5452)

struct RequestResult {
  std::optional<dns::Message> answer;
  std::string why;  // where there is none
};

struct RequestOptions {
  std::string server;
  std::optional<dns::Key> key;
  std::chrono::milliseconds timeout{500};  // for each try by UDP, and for all by TCP
  int tries = 3;                           // by UDP
  bool stream = false;                     // by TCP at once
};

// The answer to the message, whose ID is set here; it is checked against the question and, with a
// key, its signature. An update is tried once only, by TCP: who sends it again may do so twice.
RequestResult SendRequest(const RequestOptions& options, dns::Message message);

// IXFR where `have` is given, and AXFR if the primary cannot do that.
dns::TransferResult Transfer(const RequestOptions& options, const dns::Name& zone,
                             const std::optional<dns::Record>& have);

}  // namespace brassfront::nameserver

#endif  // BRASSFRONT_NAMESERVER_CLIENT_HPP_
