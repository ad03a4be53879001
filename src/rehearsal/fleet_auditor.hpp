// Judges what forwarders do together: fed what the kit did to processes and links, and what each
// process says on its log, in order of time. No I/O, no clock.
//
// What a forwarder says is never believed as a fact of the fleet, only as its own belief; it is
// held against what was done to it and to the others.
#ifndef BRASSFRONT_REHEARSAL_FLEET_AUDITOR_HPP_
#define BRASSFRONT_REHEARSAL_FLEET_AUDITOR_HPP_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rehearsal/auditor.hpp"
#include "rehearsal/scenario.hpp"

namespace brassfront::rehearsal {

// The value of ` name=` in a line of a forwarder's log; empty if it is not there.
std::string FieldOf(const std::string& line, const std::string& name);

class FleetAuditor {
 public:
  // A death told of one that both ends of a good path have been able to reach for so long is wrong.
  static constexpr Time kSettleTime = std::chrono::seconds(3);
  // An absence that lasts so long has to be noticed by all that run.
  static constexpr Time kNoticeTime = std::chrono::seconds(6);

  // A roster with fewer places holds for sure so long after it was written and all links stood.
  static constexpr Time kRosterSettleTime = std::chrono::seconds(10);
  // Calls to an endpoint that has come back are counted for so long.
  static constexpr Time kReturnWindow = std::chrono::seconds(2);

  // Between two looks at a forwarder, and the time that one takes.
  static constexpr Time kPollTolerance = std::chrono::milliseconds(350);

  explicit FleetAuditor(const Scenario& scenario);

  // ---- what the kit does ----
  void Runs(std::size_t f, bool runs, Time at);  // serves, or is signalled to end or killed
  void Paused(std::size_t f, bool paused, Time at);
  void Cut(std::size_t from, std::size_t to, bool cut, Time at);
  // OperatorScript have written so many places, or one member less, into the roster.
  void Roster(std::size_t places, std::optional<std::size_t> left, Time at);

  // ---- what clients, partners and staff see ----
  void SetStandby(std::size_t f, bool standby, Time at);  // its PING says so
  void Handle(const Event& event);                        // a call to an endpoint
  void WorkRequested(Time at);                            // work
  void WorkGranted(Time took);                            // the answer to that was yes
  // An endpoint is out, as a forwarder has said, or staff are about to ask for it back.
  void SetEndpointOut(const std::string& id, bool out, Time at);
  // The number by which calls name it.
  void SetEndpointNumber(const std::string& id, std::size_t number) { endpoints_[id] = number; }

  // ---- what forwarder `by` says on its log ----
  void Line(std::size_t by, const std::string& line, Time at);

  // Frames go from one to the other now, and both have worked and been joined for a while.
  [[nodiscard]] bool Joined(std::size_t from, std::size_t to, Time now) const;
  // Adds its metrics.
  void Finish(Time now, AuditResult& into);

 private:
  struct Absence {
    std::size_t who = 0;
    Time from{};
    std::optional<Time> until{};
    std::map<std::size_t, Time> noticed{};  // by whom
    std::vector<bool> excused;              // by member: could not have seen it all the time
  };

  void Recount(Time at);
  bool UpdateReach(std::size_t member, Time at);
  void NoteAbsence(std::size_t member, bool absent, Time at);
  [[nodiscard]] bool Reach(std::size_t a, std::size_t b) const;
  [[nodiscard]] bool Works(std::size_t f) const { return runs_[f] && !paused_[f]; }
  void HandleWorkLine(const std::string& line, Time at);
  void CheckUnavailable(Time at);
  void ReportViolation(Rule rule, Time at, std::string what);
  void RecordPeerState(std::size_t by, std::size_t about, const std::string& state, Time at);

  const std::size_t count_;
  std::vector<bool> runs_, paused_;
  std::vector<std::vector<bool>> cut_;    // from, to
  std::vector<std::vector<bool>> reach_;  // now
  std::vector<std::vector<Time>> reach_since_;
  std::vector<bool> absent_;  // by member: nobody that works reaches it
  std::vector<Absence> absences_;
  std::size_t wrong_deaths_ = 0;
  FleetSettings limits_;
  std::vector<bool> left_;                   // by member: in the roster no longer
  std::optional<std::size_t> fewer_places_;  // asked for, and not certain to hold yet
  Time fewer_since_{}, last_cut_{};
  std::vector<bool> standby_;
  std::vector<Time> absent_since_;
  std::size_t max_out_ = 0;
  Time last_standby_start_{};
  std::vector<std::optional<Time>> level_since_;  // that so many or more are out
  std::optional<Time> over_since_;
  Time max_grant_time_{};
  std::optional<Time> first_requested_, last_back_;
  std::map<std::string, std::string> work_states_;  // by request: its last state
  std::set<std::string> out_requests_;              // requests
  std::map<std::string, std::size_t> endpoints_;
  std::map<std::size_t, Time> out_since_;                           // endpoints
  std::map<std::size_t, std::pair<Time, std::size_t>> back_since_;  // endpoints: when, calls since
  std::vector<RuleViolation> violations_;
  std::vector<std::size_t> violation_counts_;
  std::vector<std::string> history_;  // of places, as evidence
};

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_FLEET_AUDITOR_HPP_
