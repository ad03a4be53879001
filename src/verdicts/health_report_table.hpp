// Health reports on endpoints from the whole fleet, and the advice that follows from them.
//
// No I/O, no clock, no threads: the caller passes its monotonic time and serializes the calls.
// Invariants:
// - Each member sends its own reports to each other member itself. They are not relayed: under one
//   shared key nobody could tell who made a relayed report.
// - Of one witness and endpoint the report with the highest number holds: neither order nor
//   duplicates matter.
// - A report is dropped after its retention; from then on each member relies on its own calls.
// - Advice makes the decision module more careful, by a single test call at least. A witness that
//   our own calls find wrong repeatedly is distrusted, and does not count, for a while.
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

// One witness reports one state of an endpoint at a time.
struct ReportKey {
  std::string endpoint;
  std::string witness;

  friend bool operator<(const ReportKey& left, const ReportKey& right) {
    return std::tie(left.endpoint, left.witness) < std::tie(right.endpoint, right.witness);
  }
};

struct Settings {
  Time kept = std::chrono::seconds(10);            // retention of a report, from the observation on
  Time repeat_interval = std::chrono::seconds(2);  // a down report that still holds is repeated
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
  Time duration{};            // how long it holds, with kWait and kTestedByOther
  std::size_t witnesses = 0;  // other members behind it that are not distrusted
};

class HealthReportTable {
 public:
  // `process_incarnation` counts this member's starts: reports of a later process supersede those
  // of an earlier one.
  HealthReportTable(Settings settings, std::string self, std::uint64_t process_incarnation)
      : settings_(settings), self_(std::move(self)), number_(process_incarnation << 32) {}

  // ---- our own calls ----
  void Answered(const std::string& endpoint, Time sent, Time now);  // delivered
  void Failed(const std::string& endpoint, Time now);
  void OnRetryAfter(const std::string& endpoint, Time wait_duration, Time now);

  // ---- others ----
  // One frame with this member's own reports and its recipients in this round; no recipients: all
  // have been sent twice, or the round is not due.
  struct OutgoingReports {
    std::string bytes;
    std::vector<std::string> to;
  };
  OutgoingReports TakeOutgoingReports(Time now);
  [[nodiscard]] Time Next() const { return frames_to_send_ > 0 ? next_round_at_ : Time::max(); }
  // A frame from another member. An invalid one changes nothing but the count of rejected frames.
  void Receive(const std::string& from, std::string_view bytes, Time now);
  // The members that are alive, this one included: they take turns at recovery tests.
  void SetPresent(std::vector<std::string> present) { present_members_ = std::move(present); }

  std::vector<HealthAdvice> TakeAdvice() { return std::exchange(advice_, {}); }
  // Drops expired reports and assigns recovery tests. To be called several times a second.
  void Tick(Time now);

  struct Witness {
    std::uint32_t strikes = 0;
    Time distrusted_until{};
  };
  [[nodiscard]] const std::map<ReportKey, HealthReport>& reports() const { return reports_; }
  [[nodiscard]] const std::map<std::string, Witness>& witnesses() const { return witnesses_; }
  [[nodiscard]] bool Counts(const std::string& witness, Time now) const;
  // Other members that report this state of the endpoint and are not distrusted.
  [[nodiscard]] std::size_t WitnessesOf(const std::string& endpoint, ObservedState seen,
                                        Time now) const;
  [[nodiscard]] std::uint64_t rejected_frames() const { return rejected_frames_; }

 private:
  struct OwnEvidence {
    std::uint32_t failures = 0;                  // in a row
    Time last_success = Time::min();             // send of the last call that was delivered
    std::optional<HealthReport> current_report;  // and not taken back
    Time reported_at{};
    Time recovery_since{};  // nobody has reported yet what came of a trial
  };

  void RecordOwnReport(const std::string& endpoint, OwnEvidence& own, ObservedState seen,
                       Time wait_duration, Time now);
  void DropExpired(Time now);
  [[nodiscard]] std::set<std::string> DownEndpoints(Time now) const;
  // Advice on down reports that a recent answer of our own held back.
  void AdviseOpenClaims(Time now);
  void AdviseRecoveryTests(const std::set<std::string>& down, Time now);
  void Advise(const HealthReport& report, Time now);
  // Whether our own calls were answered after, or just before, this observation.
  [[nodiscard]] bool AnsweredRecently(const std::string& endpoint, Time seen) const;
  void AddStrike(const std::string& witness, Time now);
  [[nodiscard]] std::string RecoveryTester(const std::string& endpoint, Time now) const;

  Settings settings_;
  const std::string self_;
  std::uint64_t number_;
  std::map<ReportKey, HealthReport> reports_;  // by endpoint and witness
  // The last down report of a witness, whatever it reported since.
  struct DownClaim {
    HealthReport report;
    bool counted_wrong = false;  // it cost the witness a strike
    bool advised = false;        // the decision module has it
  };
  std::map<ReportKey, DownClaim> down_claims_;
  std::map<std::string, OwnEvidence> own_evidence_;
  std::map<std::string, Witness> witnesses_;
  std::vector<std::string> present_members_;
  std::vector<HealthAdvice> advice_;
  std::size_t frames_to_send_ = 0;  // until each member was sent all reports twice
  std::size_t next_recipient_ = 0;  // index of the next recipient
  Time next_round_at_{};
  std::uint64_t rejected_frames_ = 0;  // frames that could not be read
};

}  // namespace brassfront::verdicts

#endif  // BRASSFRONT_VERDICTS_HEALTH_REPORT_TABLE_HPP_
