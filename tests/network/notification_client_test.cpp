// The lines that the platform reads; what is posted and when is seen in the engine's tests.
#include "net/notification_client.hpp"

#include <doctest/doctest.h>

namespace brassfront {
namespace {

TEST_CASE("a notification that allows a retry tells when") {
  const Notification notification{
      .id = "a\"b", .retry_allowed = true, .retry_after = std::chrono::milliseconds(250)};
  CHECK(NotificationLine(notification) ==
        "{\"id\":\"a\\\"b\",\"status\":\"deferred\",\"again_ms\":250}\n");
}

TEST_CASE("a notification without a retry tells that the message is undeliverable") {
  CHECK(NotificationLine({.id = "m"}) == "{\"id\":\"m\",\"status\":\"undeliverable\"}\n");
}

}  // namespace
}  // namespace brassfront
