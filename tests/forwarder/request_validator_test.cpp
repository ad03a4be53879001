#include "forwarder/request_validator.hpp"

#include <doctest/doctest.h>

namespace brassfront {
namespace {

Config Settings() {
  Config config;
  config.class_names = {"plain", "keyed"};
  config.tenant_names = {"first", "second"};
  config.policy_settings.classes.resize(2);
  config.policy_settings.classes[1].effect = dispatch_policy::Effect::kIdempotentWithKey;
  return config;
}

DeliveryRequest Request(const std::string& class_name, const std::string& tenant_name,
                        const std::string& key) {
  DeliveryRequest request;
  request.class_name = class_name;
  request.tenant_name = tenant_name;
  request.key = key;
  return request;
}

RequestError ErrorFor(const DeliveryRequest& request) {
  const auto result = ValidateRequest(Settings(), request);
  REQUIRE(std::holds_alternative<RequestError>(result));
  return std::get<RequestError>(result);
}

TEST_CASE("a valid request yields the positions of its names in the settings") {
  const auto result = ValidateRequest(Settings(), Request("keyed", "second", "k"));
  REQUIRE(std::holds_alternative<RequestIndexes>(result));
  CHECK(std::get<RequestIndexes>(result).message_class == 1);
  CHECK(std::get<RequestIndexes>(result).tenant == 1);
}

TEST_CASE("a request without a tenant belongs to the first tenant, even if there are none") {
  Config config = Settings();
  CHECK(std::get<RequestIndexes>(ValidateRequest(config, Request("plain", "", ""))).tenant == 0);
  config.tenant_names.clear();
  CHECK(std::get<RequestIndexes>(ValidateRequest(config, Request("plain", "", ""))).tenant == 0);
}

TEST_CASE("a request that the settings do not allow has a typed error") {
  CHECK(ErrorFor(Request("x", "first", "k")) == RequestError::kUnknownClass);
  CHECK(ErrorFor(Request("plain", "x", "k")) == RequestError::kUnknownTenant);
  CHECK(ErrorFor(Request("keyed", "first", "")) == RequestError::kMissingKey);
}

TEST_CASE("error texts for clients are those of the protocol") {
  CHECK(std::string(ToString(RequestError::kUnknownClass)) == "unknown class");
  CHECK(std::string(ToString(RequestError::kUnknownTenant)) == "unknown tenant");
  CHECK(std::string(ToString(RequestError::kMissingKey)) == "no key");
}

}  // namespace
}  // namespace brassfront
