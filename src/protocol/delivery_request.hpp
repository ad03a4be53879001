// A delivery request: what a client submits, independent of the client protocol.
#ifndef BRASSFRONT_PROTOCOL_DELIVERY_REQUEST_HPP_
#define BRASSFRONT_PROTOCOL_DELIVERY_REQUEST_HPP_

#include <chrono>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace brassfront {

// Maximum size of a message body.
inline constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;

// A message that a client submits for delivery to a destination.
struct DeliveryRequest {
  std::string id;
  std::string key;  // the idempotency key; empty if there is none
  std::string class_name;
  std::string tenant_name;  // empty: the first configured tenant
  std::uint64_t destination = 0;
  std::chrono::milliseconds time_left{};  // counted from `received_at`
  std::string body;
  // When its last byte was received, or an earlier time where that is not known. Without a value
  // the time of submission counts.
  std::optional<std::chrono::steady_clock::time_point> received_at{};
};

// Its text is the error reply to the client, for human readers.
class InvalidDeliveryRequest : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Parses the words of the command `MSG.PUT ZEROS ID FIELDS BODY`. Throws InvalidDeliveryRequest.
DeliveryRequest ParseDeliveryRequest(std::vector<std::string>&& words);

}  // namespace brassfront

#endif  // BRASSFRONT_PROTOCOL_DELIVERY_REQUEST_HPP_
