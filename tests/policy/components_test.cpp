// Unit tests of single components of the policy.
#include <gtest/gtest.h>

#include "policy/admission_gate.hpp"
#include "policy/concurrency_limiter.hpp"
#include "policy/decision_context.hpp"
#include "policy/endpoint_registry.hpp"
#include "policy/rate_estimator.hpp"
#include "policy/rate_limiter.hpp"
#include "policy_fixture.hpp"

namespace dispatch_policy {
namespace {

TEST(RateEstimator, ReportsNoRateBeforeTheFirstEvent) {
  const RateEstimator estimator(Seconds(10), 0s);
  EXPECT_EQ(estimator.Rate(5s), 0);
}

TEST(RateEstimator, ReportsASteadyRateSoonAfterItsStart) {
  RateEstimator estimator(Seconds(10), 0s);
  for (Time at = 0s; at < 5s; at += 100ms) estimator.Add(at);
  EXPECT_NEAR(estimator.Rate(5s), 10, 0.5);
}

TEST(RateEstimator, ForgetsARateAfterEventsEnd) {
  RateEstimator estimator(Seconds(3), 0s);
  for (Time at = 0s; at < 5s; at += 100ms) estimator.Add(at);
  EXPECT_LT(estimator.Rate(60s), 1e-6);
}

TEST(DecisionContext, KeepsTheTimeWhenTheClockRunsBackwards) {
  DecisionContext context(TestSettings(), 1);
  context.Begin(5s);
  context.Begin(3s);
  EXPECT_EQ(context.now, 5s);
  EXPECT_EQ(context.started, 5s);
}

TEST(DecisionContext, AddsJitterOfAtMostHalf) {
  DecisionContext context(TestSettings(), 1);
  for (int i = 0; i < 1000; ++i) {
    const Duration jittered = context.AddJitter(1s);
    EXPECT_GE(jittered, 500ms);
    EXPECT_LE(jittered, 1500ms);
  }
}

// A context and a registry in which endpoint 1 of destination 1 is listed.
struct ListedEndpoint {
  explicit ListedEndpoint(Settings settings) : context(std::move(settings), 1), registry(context) {
    context.Begin(1s);
    registry.ApplyList(OneEndpoint());
  }
  Endpoint& endpoint() { return registry.EndpointAt(1); }
  Destination& destination() { return registry.DestinationAt(1); }

  DecisionContext context;
  EndpointRegistry registry;
};

TEST(EndpointRegistry, FindsNoUnknownEndpoint) {
  ListedEndpoint listed(TestSettings());
  EXPECT_EQ(listed.registry.FindEndpoint(2), nullptr);
  EXPECT_EQ(listed.registry.FindEndpoint(1), &listed.endpoint());
}

TEST(EndpointRegistry, SharesTheLimitOfADestinationUnlessLimitsArePerEndpoint) {
  ListedEndpoint shared(TestSettings());
  EXPECT_EQ(&shared.registry.FindScope(shared.endpoint()), &shared.destination().scope);
  Settings settings = TestSettings();
  settings.kinds[0].per_endpoint_limits = true;
  ListedEndpoint own(settings);
  EXPECT_EQ(&own.registry.FindScope(own.endpoint()), &own.endpoint().own_scope);
}

TEST(ConcurrencyLimiter, UsesASlotForEachCallAndFreesItAfterwards) {
  Settings settings = TestSettings();
  settings.max_concurrent_calls = 2;
  ListedEndpoint listed(settings);
  ConcurrencyLimiter limiter(listed.context, listed.registry);
  const Call& first = limiter.BeginCall(listed.endpoint(), listed.destination(), 0);
  limiter.BeginCall(listed.endpoint(), listed.destination(), 0);
  EXPECT_EQ(limiter.FreeSlots(), 0u);
  EXPECT_EQ(listed.endpoint().calls_in_flight, 2);
  limiter.EndCall(listed.endpoint(), first);
  EXPECT_EQ(limiter.FreeSlots(), 1u);
  EXPECT_EQ(listed.destination().calls_in_flight, 1);
}

TEST(ConcurrencyLimiter, HasNoLimitIfNoneIsSet) {
  Settings settings = TestSettings();
  settings.max_concurrent_calls = 0;
  ListedEndpoint listed(settings);
  const ConcurrencyLimiter limiter(listed.context, listed.registry);
  EXPECT_EQ(limiter.FreeSlots(), SIZE_MAX);
  EXPECT_FALSE(limiter.SlotsAreScarce(1000));
}

TEST(AdmissionGate, AdmitsUntilTheDiscardThreshold) {
  ListedEndpoint listed(TestSettings());
  AdmissionGate gate(listed.context, listed.registry);
  listed.destination().waiting = {1, 2, 3, 4, 5, 6, 7};
  EXPECT_TRUE(gate.Admit(listed.destination()));
  listed.destination().waiting.push_back(8);
  EXPECT_FALSE(gate.Admit(listed.destination()));
}

TEST(RateLimiter, SpacesCallsByTheReportedLimit) {
  ListedEndpoint listed(TestSettings());
  RateLimiter limiter(listed.context, listed.registry);
  limiter.ApplyLoadReport(listed.destination().scope, {.allowance_left = 1.0, .limit = 4});
  limiter.RecordCall(listed.endpoint());
  EXPECT_EQ(listed.destination().scope.next_call, 1250ms);
}

TEST(RateLimiter, IgnoresALoadReportWithoutALimit) {
  ListedEndpoint listed(TestSettings());
  RateLimiter limiter(listed.context, listed.registry);
  limiter.ApplyLoadReport(listed.destination().scope, {.allowance_left = 0.5, .limit = {}});
  EXPECT_FALSE(listed.destination().scope.limit_reported);
}

}  // namespace
}  // namespace dispatch_policy
