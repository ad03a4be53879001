// Checks whether the settings allow a delivery request. It has no state, so any thread may use it.
#ifndef BRASSFRONT_FORWARDER_REQUEST_VALIDATOR_HPP_
#define BRASSFRONT_FORWARDER_REQUEST_VALIDATOR_HPP_

#include <cstddef>
#include <variant>

#include "config/config.hpp"
#include "protocol/delivery_request.hpp"

namespace brassfront {

enum class RequestError {
  kUnknownClass,
  kUnknownTenant,
  kMissingKey  // the class is retried only with an idempotency key, and the request has none
};

// Returns the error text of the reply to the client.
const char* ToString(RequestError error);

// The positions of a valid request's names in the settings.
struct RequestIndexes {
  std::size_t message_class = 0;
  std::size_t tenant = 0;
};

[[nodiscard]] std::variant<RequestIndexes, RequestError> ValidateRequest(
    const Config& config, const DeliveryRequest& request);

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_REQUEST_VALIDATOR_HPP_
