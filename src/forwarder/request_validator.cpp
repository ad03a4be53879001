#include "forwarder/request_validator.hpp"

#include "forwarder/index_of.hpp"

namespace brassfront {

const char* ToString(RequestError error) {
  switch (error) {
    case RequestError::kUnknownClass:
      return "unknown class";
    case RequestError::kUnknownTenant:
      return "unknown tenant";
    case RequestError::kMissingKey:
      break;
  }
  return "no key";
}

std::variant<RequestIndexes, RequestError> ValidateRequest(const Config& config,
                                                           const DeliveryRequest& request) {
  RequestIndexes indexes;
  indexes.message_class = IndexOf(config.class_names, request.class_name);
  if (indexes.message_class == config.class_names.size()) return RequestError::kUnknownClass;
  if (!request.tenant_name.empty()) {
    indexes.tenant = IndexOf(config.tenant_names, request.tenant_name);
  }
  // A request without a tenant belongs to the first tenant, even if the settings have no tenants.
  if (indexes.tenant > 0 && indexes.tenant == config.tenant_names.size()) {
    return RequestError::kUnknownTenant;
  }
  const bool needs_key = config.policy_settings.classes[indexes.message_class].effect ==
                         dispatch_policy::Effect::kIdempotentWithKey;
  if (needs_key && request.key.empty()) return RequestError::kMissingKey;
  return indexes;
}

}  // namespace brassfront
