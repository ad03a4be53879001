// Checks what the forwarders of a fleet do together. Its input, in order of time, is what the
// rehearsal did to processes and links, and the log lines of each process. It does no I/O and reads
// no clock.
//
// A log line is never taken as a fact about the fleet, only as the belief of one forwarder. It is
// compared with what was done to that forwarder and to the others.
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

// The value of ` name=` in a line of a forwarder's log; empty if the field is missing.
std::string FieldOf(const std::string& line, const std::string& name);

class FleetAuditor {
 public:
  // A report that a member is dead is wrong if the reporting member could reach it for this long.
  static constexpr Time kSettleTime = std::chrono::seconds(3);
  // All running members must have noticed an absence that lasts this long.
  static constexpr Time kNoticeTime = std::chrono::seconds(6);

  // A roster that allows fewer members out must apply this long after it was written and all links
  // worked.
  static constexpr Time kRosterSettleTime = std::chrono::seconds(10);
  // Period after the return of an endpoint in which its calls are counted.
  static constexpr Time kReturnWindow = std::chrono::seconds(2);

  // Interval between two polls of a forwarder plus the time that one poll takes.
  static constexpr Time kPollTolerance = std::chrono::milliseconds(350);

  explicit FleetAuditor(const Scenario& scenario);

  // ---- what the rehearsal does ----
  void Runs(std::size_t f, bool runs, Time at);  // false once it is signalled to end or killed
  void Paused(std::size_t f, bool paused, Time at);
  void Cut(std::size_t from, std::size_t to, bool cut, Time at);
  // Operators changed the roster: `places` members may be out (0: unchanged), or member `left` was
  // removed.
  void Roster(std::size_t places, std::optional<std::size_t> left, Time at);

  // ---- what clients, partners and operators observe ----
  void SetStandby(std::size_t f, bool standby, Time at);  // according to its answer to PING
  void Handle(const Event& event);                        // processes calls to endpoints
  void WorkRequested(Time at);                            // an operator requested maintenance
  void WorkGranted(Time took);  // such a request was granted, after this time
  // An endpoint is out according to a forwarder (`out`), or operators are about to request its
  // return.
  void SetEndpointOut(const std::string& id, bool out, Time at);
  // Sets the number that calls use for the endpoint.
  void SetEndpointNumber(const std::string& id, std::size_t number) { endpoints_[id] = number; }

  // ---- log lines of forwarder `by` ----
  void Line(std::size_t by, const std::string& line, Time at);

  // Returns whether frames pass from one member to the other, and both have been running and
  // connected for kSettleTime.
  [[nodiscard]] bool Joined(std::size_t from, std::size_t to, Time now) const;
  // Adds the metrics and violations of the fleet.
  void Finish(Time now, AuditResult& into);

 private:
  struct Absence {
    std::size_t who = 0;
    Time from{};
    std::optional<Time> until{};
    std::map<std::size_t, Time> noticed{};  // by the member that noticed
    std::vector<bool> excused;              // by member: not able to observe it all the time
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
  std::vector<std::vector<bool>> cut_;    // by sender and receiver
  std::vector<std::vector<bool>> reach_;  // by pair: whether they reach each other now
  std::vector<std::vector<Time>> reach_since_;
  std::vector<bool> absent_;  // by member: no running member reaches it
  std::vector<Absence> absences_;
  std::size_t wrong_deaths_ = 0;
  FleetSettings limits_;
  std::vector<bool> left_;                   // by member: removed from the roster
  std::optional<std::size_t> fewer_places_;  // requested, but may not apply yet
  Time fewer_since_{}, last_cut_{};
  std::vector<bool> standby_;
  std::vector<Time> absent_since_;
  std::size_t max_out_ = 0;
  Time last_standby_start_{};
  // By number of members: since when at least so many are out.
  std::vector<std::optional<Time>> level_since_;
  std::optional<Time> over_since_;
  Time max_grant_time_{};
  std::optional<Time> first_requested_, last_back_;
  std::map<std::string, std::string> work_states_;  // by request: last state
  std::set<std::string> out_requests_;              // requests whose target was reported as out
  std::map<std::string, std::size_t> endpoints_;
  std::map<std::size_t, Time> out_since_;  // by endpoint
  // By endpoint: time of return, calls since then.
  std::map<std::size_t, std::pair<Time, std::size_t>> back_since_;
  std::vector<RuleViolation> violations_;
  std::vector<std::size_t> violation_counts_;
  std::vector<std::string> history_;  // changes of standby, as evidence
};

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_FLEET_AUDITOR_HPP_
