// Campaigns: random schedules of faults from a seed. Each schedule runs as a separate rehearsal,
// and a failed one is reduced to as few actions as possible.
#ifndef BRASSFRONT_REHEARSAL_CAMPAIGN_HPP_
#define BRASSFRONT_REHEARSAL_CAMPAIGN_HPP_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "rehearsal/scenario.hpp"

namespace brassfront::rehearsal {

// Returns one schedule: lines of actions in order of time. The same seed gives the same lines.
// Faults end with two fifths of the scenario left, so that requested maintenance can complete. A
// majority keeps its folders: at most one machine is lost.
std::vector<std::string> MakeSchedule(const Scenario& base, std::uint64_t seed);

// Returns the text of the base scenario with these actions appended.
std::string WithActions(const std::string& base, const std::vector<std::string>& actions);

struct CampaignOptions {
  std::string base;     // text of a scenario without actions
  std::string program;  // program whose `rehearse run` is executed
  std::string out;      // output folder; failed runs are kept in it
  std::uint64_t seed = 1;
  std::size_t runs = 0;              // 0: no bound
  double minutes = 0;                // 0: no bound
  std::size_t jobs = 1;              // runs at the same time
  std::size_t max_shrink_runs = 24;  // runs spent on reducing one failed schedule
  std::function<void(const std::string&)> progress;
};

struct CampaignResult {
  std::size_t passed = 0, failed = 0, invalid = 0;
  struct Failure {
    std::uint64_t seed = 0;
    std::string scenario;  // path of the file with the reduced schedule
    std::size_t actions = 0, original_actions = 0;
    std::string report_lines;  // lines of the report about violations and failed expectations
  };
  std::vector<Failure> failures;
};

// Runs a campaign. Throws std::runtime_error if no run can be started, and records::BadRecords for
// an invalid base scenario.
CampaignResult PlayCampaign(const CampaignOptions& options);

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_CAMPAIGN_HPP_
