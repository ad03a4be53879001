// What is known of endpoints over the whole fleet: who has seen what, when, on which evidence.
// A core: no I/O, no clock, no threads. Each member says what its own calls show, to each of the
// others itself: under one shared key a word that was passed on could be anybody's. Neither order
// nor repeats matter: of what one witness says of one endpoint the word with the higher number
// holds. A word ages, and is dropped at its bound; from then on each member is on its own evidence
// again.
//
// A word from others makes the decision module more careful at once, if only by a single call that
// checks it; how many members stand behind it goes with it. A witness that our own calls find wrong
// again and again is not counted for a while.
#ifndef BRASSFRONT_VERDICTS_HEALTH_REPORT_TABLE_HPP_
#define BRASSFRONT_VERDICTS_HEALTH_REPORT_TABLE_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace brassfront::verdicts {

using Time = std::chrono::nanoseconds;  // on the member's own monotonic clock

// kFine takes back what was reported before.
enum class ObservedState : std::uint8_t { kFine = 1, kDown, kWait, kCold };
const char* ToString(ObservedState seen);

struct Settings {
  Time kept = std::chrono::seconds(10);            // of a word, from when it was seen
  Time repeat_interval = std::chrono::seconds(2);  // a word that still holds is reported again
  Time round_interval = std::chrono::milliseconds(100);  // between two rounds of frames
};

// What one witness says of one endpoint.
struct HealthReport {
  std::string endpoint;
  std::string witness;
  std::uint64_t number = 0;  // of the witness's words: its process_incarnation, then a count
  ObservedState seen = ObservedState::kFine;
  Time at{};                // when it was seen; on the wire its age
  Time rest{};              // of a told wait, from then on
  std::uint32_t times = 1;  // calls that showed it, in a row
};

inline constexpr std::size_t kMaxReportsPerFrame = 64;  // in one frame
inline constexpr std::size_t kMaxFramesPerRound = 32;   // in one round
inline constexpr std::size_t kMaxReports = 4096;        // words in all
inline constexpr std::uint32_t kFailuresBeforeReport =
    3;                                           // calls in a row, before an endpoint is down
inline constexpr std::uint32_t kMaxStrikes = 3;  // words found wrong, and a witness counts no more
inline constexpr Time kDistrustDuration = std::chrono::minutes(1);
inline constexpr Time kMaxWaitDuration = std::chrono::minutes(10);

// A word for the decision module.
struct HealthAdvice {
  enum class What { kDown, kWait, kCold, kServes, kTried };
  std::string endpoint;
  What what = What::kDown;
  Time age{};
  Time rest{};
  std::size_t witnesses = 0;  // that count
};

class HealthReportTable {
 public:
  // `process_incarnation` counts this member's starts: its words are newer than those of an earlier
  // process_incarnation.
  HealthReportTable(Settings settings, std::string self, std::uint64_t process_incarnation)
      : settings_(settings), self_(std::move(self)), number_(process_incarnation << 32) {}

  // ---- our own calls ----
  void Answered(const std::string& endpoint, Time sent, Time now);  // delivered
  void Failed(const std::string& endpoint, Time now);
  void ToldWait(const std::string& endpoint, Time rest, Time now);

  // ---- others ----
  // A frame's bytes with our own words, and to whom it goes in this round; nobody: all has been
  // reported twice, or it is not time yet.
  struct Saying {
    std::string bytes;
    std::vector<std::string> to;
  };
  Saying Say(Time now);
  [[nodiscard]] Time Next() const { return frames_to_send_ > 0 ? next_round_at_ : Time::max(); }
  // A frame of a member's. What cannot be read changes nothing.
  void Take(const std::string& from, std::string_view bytes, Time now);
  // Members that are heard, ourselves too: who of them tries an endpoint next.
  void SetPresent(std::vector<std::string> present) { present_members_ = std::move(present); }

  std::vector<HealthAdvice> TakeAdvice() { return std::exchange(advice_, {}); }
  // Drops what has aged, and says who is to try. To be called some times a second.
  void Tick(Time now);

  struct Witness {
    std::uint32_t strikes = 0;
    Time shunned_until{};
  };
  [[nodiscard]] const std::map<std::pair<std::string, std::string>, HealthReport>& words() const {
    return reports_;
  }
  [[nodiscard]] const std::map<std::string, Witness>& witnesses() const { return witnesses_; }
  [[nodiscard]] bool Counts(const std::string& witness, Time now) const;
  // Of what is seen there, how many other members that count stand behind it.
  [[nodiscard]] std::size_t WitnessesOf(const std::string& endpoint, ObservedState seen,
                                        Time now) const;
  [[nodiscard]] std::uint64_t refused() const { return rejected_frames_; }

 private:
  struct OwnEvidence {
    std::uint32_t failures = 0;                  // in a row
    Time last_success = Time::min();             // send of the last call that was delivered
    std::optional<HealthReport> current_report;  // and not taken back
    Time reported_at{};
    Time recovery_since{};  // nobody has reported yet what came of a trial
  };

  void RecordOwnReport(const std::string& endpoint, OwnEvidence& own, ObservedState seen, Time rest,
                       Time now);
  void Advise(const HealthReport& word, Time now);
  // Our own calls were answered there since, or just before.
  [[nodiscard]] bool AnsweredRecently(const std::string& endpoint, Time seen) const;
  void AddStrike(const std::string& witness, Time now);
  [[nodiscard]] std::string RecoveryTester(const std::string& endpoint, Time now) const;

  Settings settings_;
  const std::string self_;
  std::uint64_t number_;
  std::map<std::pair<std::string, std::string>, HealthReport> reports_;  // by endpoint and witness
  // By endpoint and witness: the last word that it is down, whatever was reported since,
  // whether it was found wrong, and whether it was passed on to the decision module.
  struct DownClaim {
    HealthReport report;
    bool counted_wrong = false, advised = false;
  };
  std::map<std::pair<std::string, std::string>, DownClaim> down_claims_;
  std::map<std::string, OwnEvidence> own_evidence_;
  std::map<std::string, Witness> witnesses_;
  std::vector<std::string> present_members_;
  std::vector<HealthAdvice> advice_;
  std::size_t frames_to_send_ = 0;  // frames to go, until all have heard all twice
  std::size_t next_recipient_ = 0;  // of who comes next
  Time next_round_at_{};
  std::uint64_t rejected_frames_ = 0;  // frames that could not be read
};

}  // namespace brassfront::verdicts

#endif  // BRASSFRONT_VERDICTS_HEALTH_REPORT_TABLE_HPP_
