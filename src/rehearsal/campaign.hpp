// Campaigns: random schedules of faults from a seed, each played as a rehearsal of its own, and a
// failed one made as short as it goes.
#ifndef BRASSFRONT_REHEARSAL_CAMPAIGN_HPP_
#define BRASSFRONT_REHEARSAL_CAMPAIGN_HPP_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "rehearsal/scenario.hpp"

namespace brassfront::rehearsal {

// One schedule: lines of actions, in order of time. The same seed gives the same lines. Faults end
// with two fifths of the scenario left, so that what was asked for can end; no more folders are
// lost than a majority bears.
std::vector<std::string> MakeSchedule(const Scenario& base, std::uint64_t seed);

// The base's text with these actions.
std::string WithActions(const std::string& base, const std::vector<std::string>& actions);

struct CampaignOptions {
  std::string base;     // the text of a scenario without actions
  std::string program;  // to run `rehearse run` with
  std::string out;      // a folder; failed runs are kept in it
  std::uint64_t seed = 1;
  std::size_t runs = 0;              // 0: no bound
  double minutes = 0;                // 0: no bound
  std::size_t jobs = 1;              // at once
  std::size_t max_shrink_runs = 24;  // plays spent on making one failed schedule shorter
  std::function<void(const std::string&)> progress;
};

struct CampaignResult {
  std::size_t passed = 0, failed = 0, invalid = 0;
  struct Failure {
    std::uint64_t seed = 0;
    std::string scenario;  // its file, shortened
    std::size_t actions = 0, original_actions = 0;
    std::string report_lines;  // the broken lines of its report
  };
  std::vector<Failure> failures;
};

// Throws std::runtime_error where nothing can be played, and records::BadRecords for a bad base.
CampaignResult PlayCampaign(const CampaignOptions& options);

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_CAMPAIGN_HPP_
