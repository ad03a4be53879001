// Judges what forwarders do together: fed what the kit did to processes and links, and what each
// process says on its log, in order of time. No I/O, no clock.
//
// What a forwarder says is never believed as a fact of the fleet, only as its own belief; it is
// held against what was done to it and to the others.
#ifndef BRASSFRONT_REHEARSAL_FLEET_AUDITOR_HPP_
#define BRASSFRONT_REHEARSAL_FLEET_AUDITOR_HPP_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rehearsal/scenario.hpp"

namespace brassfront::rehearsal {

struct Judgement;

class FleetAuditor {
 public:
  // A death told of one that both ends of a good path have been able to reach for so long is wrong.
  static constexpr Time kSettled = std::chrono::seconds(3);
  // An absence that lasts so long has to be noticed by all that run.
  static constexpr Time kNoticed = std::chrono::seconds(6);

  explicit FleetAuditor(const Scenario& scenario);

  // ---- what the kit does ----
  void Runs(std::size_t f, bool runs, Time at);  // serves, or is signalled to end or killed
  void Paused(std::size_t f, bool paused, Time at);
  void Cut(std::size_t from, std::size_t to, bool cut, Time at);

  // ---- what forwarder `by` says on its log ----
  void Line(std::size_t by, const std::string& line, Time at);

  // Adds its metrics.
  void Finish(Time now, Judgement& into);

 private:
  struct Absence {
    std::size_t who = 0;
    Time from{};
    std::optional<Time> until{};
    std::map<std::size_t, Time> noticed{};  // by whom
    std::vector<bool> excused;              // by member: could not have seen it all the time
  };

  void Recount(Time at);
  bool Reach(std::size_t a, std::size_t b) const;
  bool Works(std::size_t f) const { return runs_[f] && !paused_[f]; }
  void Held(std::size_t by, std::size_t about, const std::string& state, Time at);

  const std::size_t count_;
  std::vector<bool> runs_, paused_;
  std::vector<std::vector<bool>> cut_;    // from, to
  std::vector<std::vector<bool>> reach_;  // now
  std::vector<std::vector<Time>> reach_since_;
  std::vector<bool> absent_;  // by member: nobody that works reaches it
  std::vector<Absence> absences_;
  std::size_t wrong_deaths_ = 0;
};

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_FLEET_AUDITOR_HPP_
