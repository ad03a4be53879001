// Plays a scenario: the cast on this machine's loopback, real forwarders, one status.
#ifndef BRASSFRONT_REHEARSAL_RUN_HPP_
#define BRASSFRONT_REHEARSAL_RUN_HPP_

#include <cstdint>
#include <functional>
#include <string>

#include "rehearsal/auditor.hpp"
#include "rehearsal/scenario.hpp"

namespace brassfront::rehearsal {

struct RunOptions {
  std::uint64_t seed = 1;
  std::string forwarder;                             // the program
  std::string out;                                   // a folder for logs and states; it must exist
  std::function<void(const std::string&)> progress;  // one line a second; none: silent
};

struct ExpectationResult {
  std::string text;
  double found = 0;
  bool kept = false;
};

struct Result {
  enum class Status { kPassed, kFailed, kInvalid };

  Scenario scenario;
  std::uint64_t seed = 0;
  std::string plan_hash;
  AuditResult audit;
  std::vector<ExpectationResult> expectations;
  Status status = Status::kInvalid;
  std::string invalid_reason;  // with kInvalid
  double wall_seconds = 0;
  double late_p99_ms = 0, late_max_ms = 0;
  double late_share = 0;
  double forwarder_cpu_seconds = 0;
  std::size_t client_connections = 0;  // at once, at most
};

// Throws std::runtime_error where it cannot be played at all.
Result Play(const Scenario& scenario, const RunOptions& options);

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_RUN_HPP_
