// An request: what a client hands in, whatever protocol it came by.
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

inline constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;

struct DeliveryRequest {
  std::string id;
  std::string key;  // the idempotency key; empty: none
  std::string class_name;
  std::string tenant_name;  // empty: the first
  std::uint64_t destination = 0;
  std::chrono::milliseconds time_left{};  // from `received_at` on
  std::string body;
  // When its last byte came, or earlier where that is not known; none: at its submission.
  std::optional<std::chrono::steady_clock::time_point> received_at{};
};

// What the client is told in answer; the text is for people.
class InvalidDeliveryRequest : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The words of `MSG.PUT ZEROS ID FIELDS BODY`; throws InvalidDeliveryRequest.
DeliveryRequest ParseDeliveryRequest(std::vector<std::string>&& words);

}  // namespace brassfront

#endif  // BRASSFRONT_PROTOCOL_DELIVERY_REQUEST_HPP_
