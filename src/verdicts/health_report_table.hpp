// Health reports on endpoints from all members of the fleet, and the advice derived from them.
//
// No I/O, no clock, no threads: the caller passes its monotonic time and serializes the calls.
// Invariants:
// - Each member sends its own reports directly to each other member. Reports are not relayed,
//   because with one shared key the origin of a relayed report could not be verified.
// - For each witness and endpoint, the report with the highest number is valid. Neither the order
//   of arrival nor duplicates matter.
// - A report is dropped after its retention; from then on each member relies on its own calls.
// - Advice only makes the decision module more careful; at least a single test call remains
//   possible. A witness whose reports our own calls repeatedly contradict is distrusted and ignored
//   for a while.
#ifndef BRASSFRONT_VERDICTS_HEALTH_REPORT_TABLE_HPP_
#define BRASSFRONT_VERDICTS_HEALTH_REPORT_TABLE_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "verdicts/health_report.hpp"

namespace brassfront::verdicts {

// Identifies the current report of one witness on one endpoint.
struct ReportKey {
  std::string endpoint;
  std::string witness;

  friend bool operator<(const ReportKey& left, const ReportKey& right) {
    return std::tie(left.endpoint, left.witness) < std::tie(right.endpoint, right.witness);
  }
};

struct Settings {
  Time kept = std::chrono::seconds(10);            // retention of a report, from the observation on
  Time repeat_interval = std::chrono::seconds(2);  // after which a continued down is reported again
  Time round_interval = std::chrono::milliseconds(100);  // between two rounds of frames
};

inline constexpr std::size_t kMaxFramesPerRound = 32;
inline constexpr std::size_t kMaxReports = 4096;  // of all witnesses
// Consecutive failed calls before this member reports an endpoint down.
inline constexpr std::uint32_t kFailuresBeforeReport = 3;
// Wrong reports after which a witness is distrusted, for kDistrustDuration.
inline constexpr std::uint32_t kMaxStrikes = 3;
inline constexpr Time kDistrustDuration = std::chrono::minutes(1);

// Advice for the decision module.
struct HealthAdvice {
  enum class What { kDown, kWait, kCold, kServes, kTestedByOther };
  std::string endpoint;
  What what = What::kDown;
  Time age{};
  Time duration{};            // how long it applies, with kWait and kTestedByOther
  std::size_t witnesses = 0;  // number of trusted other members that report this
};

class HealthReportTable {
 public:
  // `process_incarnation` counts this member's starts, so that reports of a later process supersede
  // those of an earlier one.
  HealthReportTable(Settings settings, std::string self, std::uint64_t process_incarnation)
      : settings_(settings), self_(std::move(self)), number_(process_incarnation << 32) {}

  // ---- our own calls ----
  void Answered(const std::string& endpoint, Time sent, Time now);  // delivered
  void Failed(const std::string& endpoint, Time now);
  void OnRetryAfter(const std::string& endpoint, Time wait_duration, Time now);

  // ---- others ----
  // One frame with this member's own reports, and its recipients in this round. There are no
  // recipients if all reports have been sent twice, or if the next round is not due.
  struct OutgoingReports {
    std::string bytes;
    std::vector<std::string> to;
  };
  OutgoingReports TakeOutgoingReports(Time now);
  [[nodiscard]] Time Next() const { return frames_to_send_ > 0 ? next_round_at_ : Time::max(); }
  // Handles a frame from another member. An invalid frame only increments the count of rejected
  // frames.
  void Receive(const std::string& from, std::string_view bytes, Time now);
  // Sets the members that are alive, including this one. They take turns at recovery tests.
  void SetPresent(std::vector<std::string> present) { present_members_ = std::move(present); }

  std::vector<HealthAdvice> TakeAdvice() { return std::exchange(advice_, {}); }
  // Drops expired reports and assigns recovery tests. Must be called several times a second.
  void Tick(Time now);

  struct Witness {
    std::uint32_t strikes = 0;
    Time distrusted_until{};
  };
  [[nodiscard]] const std::map<ReportKey, HealthReport>& reports() const { return reports_; }
  [[nodiscard]] const std::map<std::string, Witness>& witnesses() const { return witnesses_; }
  [[nodiscard]] bool Counts(const std::string& witness, Time now) const;
  // Number of trusted other members that report this state of the endpoint.
  [[nodiscard]] std::size_t WitnessesOf(const std::string& endpoint, ObservedState seen,
                                        Time now) const;
  [[nodiscard]] std::uint64_t rejected_frames() const { return rejected_frames_; }

 private:
  struct OwnEvidence {
    std::uint32_t failures = 0;                  // consecutive failed calls
    Time last_success = Time::min();             // when the last delivered call was sent
    std::optional<HealthReport> current_report;  // our last report, unless it was retracted
    Time reported_at{};
    Time recovery_since{};  // since when recovery tests run without a reported result
  };

  void RecordOwnReport(const std::string& endpoint, OwnEvidence& own, ObservedState seen,
                       Time wait_duration, Time now);
  void DropExpired(Time now);
  [[nodiscard]] std::set<std::string> DownEndpoints(Time now) const;
  // Gives the advice on down reports that was withheld because a recent call of ours was answered.
  void AdviseOpenClaims(Time now);
  void AdviseRecoveryTests(const std::set<std::string>& down, Time now);
  void Advise(const HealthReport& report, Time now);
  // Whether one of our own calls was answered after or just before the time `seen` of an
  // observation.
  [[nodiscard]] bool AnsweredRecently(const std::string& endpoint, Time seen) const;
  void AddStrike(const std::string& witness, Time now);
  [[nodiscard]] std::string RecoveryTester(const std::string& endpoint, Time now) const;

  Settings settings_;
  const std::string self_;
  std::uint64_t number_;
  std::map<ReportKey, HealthReport> reports_;  // by endpoint and witness
  // The last down report of a witness, even if it has reported something else since.
  struct DownClaim {
    HealthReport report;
    bool counted_wrong = false;  // the report has added a strike to the witness
    bool advised = false;        // the advice was passed to the decision module
  };
  std::map<ReportKey, DownClaim> down_claims_;
  std::map<std::string, OwnEvidence> own_evidence_;
  std::map<std::string, Witness> witnesses_;
  std::vector<std::string> present_members_;
  std::vector<HealthAdvice> advice_;
  std::size_t frames_to_send_ = 0;  // until all reports have been sent to each member twice
  std::size_t next_recipient_ = 0;  // index of the next recipient
  Time next_round_at_{};
  std::uint64_t rejected_frames_ = 0;  // frames that could not be decoded
};

}  // namespace brassfront::verdicts

#endif  // BRASSFRONT_VERDICTS_HEALTH_REPORT_TABLE_HPP_
