// `brassfront rehearse`: plays scenarios on this machine and judges them.
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "cli/command.hpp"
#include "rehearsal/campaign.hpp"
#include "rehearsal/plan.hpp"
#include "rehearsal/report.hpp"
#include "rehearsal/run.hpp"

namespace brassfront {
namespace {

namespace fs = std::filesystem;
using rehearsal::Result;

// The documented exit statuses.
constexpr int kPassed = 0, kFailed = 1, kBadInput = 2, kInvalid = 3;

constexpr const char* kHelp =
    "brassfront rehearse run FILE    play a scenario and judge it\n"
    "brassfront rehearse campaign FILE   play it repeatedly with random faults\n"
    "brassfront rehearse check FILE  check a scenario and report its errors\n"
    "brassfront rehearse plan FILE   print the messages and actions that it plans, with times\n"
    "brassfront rehearse list        list the scenarios of a folder\n"
    "brassfront rehearse report DIR  print a run's report again\n"
    "brassfront rehearse schema      print the fields that a scenario may have\n";

rehearsal::Scenario Load(const std::string& path) {
  return rehearsal::ReadScenario(records::ReadRecordFile(path), path);
}

std::string FolderFor(const std::string& asked, const rehearsal::Scenario& scenario,
                      std::uint64_t seed) {
  fs::path folder = asked;
  if (asked.empty()) {
    folder = fs::temp_directory_path() / ("rehearsal-" + std::to_string(getpid()) + "-" +
                                          scenario.name + "-" + std::to_string(seed));
  }
  // Removes state folders of an earlier run; the forwarders would otherwise recover their messages.
  for (std::size_t f = 0; f < scenario.forwarders.count; ++f) {
    fs::remove_all(folder / ("n" + std::to_string(f)));
  }
  fs::create_directories(folder);
  return fs::absolute(folder).string();
}

int RunOne(const std::string& path, const cxxopts::ParseResult& given) {
  const rehearsal::Scenario scenario = Load(path);
  rehearsal::RunOptions options;
  options.seed = given["seed"].as<std::uint64_t>();
  options.forwarder = given["forwarder"].as<std::string>();
  if (options.forwarder.empty()) options.forwarder = fs::read_symlink("/proc/self/exe").string();
  if (access(options.forwarder.c_str(), X_OK) != 0) {
    throw UsageError("no executable forwarder at " + options.forwarder);
  }
  options.out = FolderFor(given["out"].as<std::string>(), scenario, options.seed);
  const bool quiet = given.count("quiet") > 0;
  const bool on_terminal = isatty(STDERR_FILENO) != 0;
  if (!quiet) {
    options.progress = [on_terminal](const std::string& line) {
      std::cerr << (on_terminal ? "\r\033[K" : "") << line << (on_terminal ? "" : "\n")
                << std::flush;
    };
  }
  const Result result = rehearsal::Play(scenario, options);
  if (!quiet && on_terminal) std::cerr << "\r\033[K";
  rehearsal::WriteReports(result, options.out);
  std::cout << rehearsal::TextReport(result) << "  report: " << options.out << "/report.html\n";
  switch (result.status) {
    case Result::Status::kPassed:
      return kPassed;
    case Result::Status::kFailed:
      return kFailed;
    case Result::Status::kInvalid:
      break;
  }
  return kInvalid;
}

int RunCampaign(const std::string& path, const cxxopts::ParseResult& given) {
  rehearsal::CampaignOptions options;
  options.base = records::ReadRecordFile(path);
  options.program = fs::read_symlink("/proc/self/exe").string();
  options.seed = given["seed"].as<std::uint64_t>();
  options.runs = given["runs"].as<std::size_t>();
  options.minutes = given["minutes"].as<double>();
  options.jobs = std::max<std::size_t>(1, given["jobs"].as<std::size_t>());
  options.out = given["out"].as<std::string>();
  if (options.out.empty()) {
    options.out =
        (fs::temp_directory_path() / ("campaign-" + std::to_string(options.seed))).string();
  }
  if (options.runs == 0 && options.minutes <= 0) {
    throw UsageError("a campaign needs --runs or --minutes");
  }
  if (given.count("quiet") == 0) {
    options.progress = [](const std::string& line) { std::cerr << line << "\n"; };
  }
  const rehearsal::CampaignResult result = rehearsal::PlayCampaign(options);
  std::cout << result.kept << " kept, " << result.broken << " broken, " << result.voided
            << " void\n";
  for (const auto& failed : result.failed) {
    std::cout << "seed " << failed.seed << ": " << failed.actions << " of " << failed.acts_before
              << " acts; brassfront rehearse run " << failed.scenario << " --seed " << failed.seed
              << "\n"
              << failed.what;
  }
  return result.broken > 0 ? kFailed : result.kept > 0 ? kPassed : kInvalid;
}

int List(const std::string& folder) {
  std::vector<fs::path> files;
  for (const auto& entry : fs::directory_iterator(folder)) {
    if (entry.path().extension() == ".rehearsal") files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  for (const fs::path& file : files) {
    const rehearsal::Scenario s = Load(file.string());
    std::cout << file.string() << "  "
              << std::chrono::duration_cast<std::chrono::seconds>(s.duration).count() << " s  "
              << s.about << "\n";
  }
  return kPassed;
}

int Report(const std::string& folder) {
  std::ifstream in(folder + "/report.txt");
  if (!in) throw UsageError("no report in " + folder);
  std::cout << in.rdbuf();
  return kPassed;
}

}  // namespace

int RehearseCommand(int argc, char** argv) {
  cxxopts::Options options("brassfront rehearse",
                           "Plays partner outages on this machine and judges them");
  options.add_options()("what", "run, campaign, check, plan, list, report or schema",
                        cxxopts::value<std::string>()->default_value(""))(
      "target", "a scenario or a folder", cxxopts::value<std::string>()->default_value(""))(
      "seed", "seed of all random choices", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "out", "folder for the report, the logs and the states",
      cxxopts::value<std::string>()->default_value(""))(
      "forwarder", "the forwarder program to rehearse; the default is this program",
      cxxopts::value<std::string>()->default_value(""))("quiet", "print no progress")(
      "runs", "maximum runs of a campaign; 0: no limit",
      cxxopts::value<std::size_t>()->default_value("0"))(
      "minutes", "maximum duration of a campaign; 0: no limit",
      cxxopts::value<double>()->default_value("0"))(
      "jobs", "plays of a campaign at once", cxxopts::value<std::size_t>()->default_value("1"));
  options.parse_positional({"what", "target"});
  options.custom_help("[OPTIONS]");
  options.positional_help("run|campaign|check|plan|list|report|schema [FILE|DIR]");
  const std::optional<cxxopts::ParseResult> parsed = ParseOptions(options, argc, argv);
  if (!parsed) return 0;
  const cxxopts::ParseResult& given = *parsed;
  const auto what = given["what"].as<std::string>();
  const auto target = given["target"].as<std::string>();
  if (what.empty()) {
    std::cout << kHelp;
    return 0;
  }
  if (what == "schema") {
    std::cout << rehearsal::ScenarioSchema();
    return 0;
  }
  if (target.empty() && what != "list") throw UsageError(what + " needs a file or a folder");
  try {
    if (what == "run") return RunOne(target, given);
    if (what == "campaign") return RunCampaign(target, given);
    if (what == "list") return List(target.empty() ? "rehearsals" : target);
    if (what == "report") return Report(target);
    if (what == "check") {
      const rehearsal::Scenario s = Load(target);
      std::cout << target << ": good; " << s.partners.size() << " partners, " << s.forwarders.count
                << " forwarders, " << s.actions.size() << " acts\n";
      return kPassed;
    }
    if (what == "plan") {
      const rehearsal::Scenario s = Load(target);
      std::cout << rehearsal::PlanText(s,
                                       rehearsal::MakePlan(s, given["seed"].as<std::uint64_t>()));
      return kPassed;
    }
  } catch (const records::BadRecords& bad) {
    std::cerr << bad.what() << "\n";
    return kBadInput;
  }
  throw UsageError("no such thing to do: " + what);
}

}  // namespace brassfront
