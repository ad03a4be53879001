#include "rehearsal/campaign.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <map>
#include <random>
#include <sstream>
#include <stdexcept>

extern char** environ;

namespace brassfront::rehearsal {
namespace {

namespace fs = std::filesystem;

constexpr int kPassed = 0, kFailed = 1, kInvalid = 3;  // exit statuses of a run
constexpr int kMaxTries = 3;                           // runs of a schedule whose actions were late
// End of the faults, as share of the duration.
constexpr double kFaultsEnd = 0.55;
// Seconds; by then the members of the fleet have found each other and settled.
constexpr double kFirstFault = 4, kFirstWork = 3;

class Draw {
 public:
  explicit Draw(std::uint64_t seed) : random_(seed * 0x9E3779B97F4A7C15 + 1) {}
  std::size_t Below(std::size_t n) { return static_cast<std::size_t>(random_() % n); }
  double Between(double low, double high) {
    return low + (high - low) * static_cast<double>(random_() >> 11) / 9007199254740992.0;
  }

 private:
  std::mt19937_64 random_;
};

std::string Ms(double seconds) {
  return std::to_string(static_cast<std::int64_t>(seconds * 1000)) + "ms";
}

std::string Group(Draw& draw, std::size_t count) {
  std::vector<std::size_t> all;
  for (std::size_t i = 0; i < count; ++i) all.push_back(i);
  for (std::size_t i = count; i > 1; --i) std::swap(all[i - 1], all[draw.Below(i)]);
  const std::size_t size = 1 + draw.Below(std::max<std::size_t>(1, count / 2));
  std::string text;
  for (std::size_t i = 0; i < size; ++i) text += (i == 0 ? "" : ", ") + std::to_string(all[i]);
  return "[" + text + "]";
}

pid_t StartRun(const CampaignOptions& options, const std::string& file, const std::string& out,
               std::uint64_t seed) {
  const std::string number = std::to_string(seed), text = out + "/verdict.txt";
  const std::vector<std::string> arguments = {
      options.program, "rehearse", "run", file, "--seed", number, "--out", out, "--quiet"};
  std::vector<char*> argv;
  argv.reserve(arguments.size());
  for (const std::string& word : arguments) argv.push_back(const_cast<char*>(word.c_str()));
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, text.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  pid_t pid = 0;
  const int error =
      posix_spawn(&pid, options.program.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("cannot start a process");
  return pid;
}

std::string BrokenLines(const std::string& out) {
  std::ifstream in(out + "/verdict.txt");
  std::string line, text;
  while (std::getline(in, line)) {
    const bool tells =
        line.find("BROKEN") != std::string::npos || line.find("first at") != std::string::npos;
    if (tells) text += line + "\n";
  }
  return text;
}

// A schedule that is running; if it fails, it runs again with fewer actions.
struct Job {
  std::uint64_t seed = 0;
  std::vector<std::string> actions;  // shortest list known to fail, initially all
  std::size_t original_actions = 0;
  std::vector<std::string> trial;  // list that is running
  std::size_t next_cut = 0;        // index of the action to leave out next
  std::size_t spent = 0;
  int tries = 0;
  bool failed = false;
  std::string what, out, file;
};

class Campaign {
 public:
  explicit Campaign(const CampaignOptions& options)
      : options_(options), base_(ReadScenario(options.base, "base")) {
    if (!base_.actions.empty()) {
      throw std::runtime_error("a campaign's base must not have acts");
    }
    if (!base_.fleet.on) throw std::runtime_error("a campaign's base needs `fleet: on: true`");
    fs::create_directories(options_.out);
  }

  CampaignResult Play() {
    while (true) {
      while (running_.size() < options_.jobs && MayStartAnother()) {
        Job job;
        job.seed = options_.seed + started_++;
        job.actions = MakeSchedule(base_, job.seed);
        job.original_actions = job.actions.size();
        job.trial = job.actions;
        Start(std::move(job));
      }
      if (running_.empty()) return std::move(result_);
      int status = 0;
      const pid_t pid = waitpid(-1, &status, 0);
      if (pid < 0 && errno == EINTR) continue;
      const auto it = running_.find(pid);
      if (it == running_.end()) continue;
      Job job = std::move(it->second);
      running_.erase(it);
      HandleEnd(std::move(job), WIFEXITED(status) ? WEXITSTATUS(status) : kFailed);
    }
  }

 private:
  [[nodiscard]] bool MayStartAnother() const {
    const double minutes =
        std::chrono::duration<double, std::ratio<60>>(std::chrono::steady_clock::now() - began_)
            .count();
    if (options_.minutes > 0 && minutes >= options_.minutes) return false;
    return options_.runs == 0 ? options_.minutes > 0 : started_ < options_.runs;
  }

  void Start(Job job) {
    job.out = options_.out + "/run-" + std::to_string(job.seed);
    fs::remove_all(job.out);
    fs::create_directories(job.out);
    job.file = job.out + "/schedule.rehearsal";
    std::ofstream(job.file) << WithActions(options_.base, job.trial);
    const pid_t pid = StartRun(options_, job.file, job.out, job.seed);
    running_.emplace(pid, std::move(job));
  }

  void HandleEnd(Job job, int status) {
    if (status == kInvalid && ++job.tries < kMaxTries) return Start(std::move(job));
    job.tries = 0;
    if (status != kFailed && !job.failed) {
      (status == kPassed ? result_.passed : result_.invalid) += 1;
      fs::remove_all(job.out);
      return ReportProgress(job, status == kPassed ? "kept" : "void");
    }
    if (status == kFailed) {
      job.what = BrokenLines(job.out);
      job.actions = job.trial;
      if (!std::exchange(job.failed, true)) {
        ReportProgress(job, "BROKEN, reducing its schedule");
        // The output of the first run is kept, whatever the reduction finds.
        const fs::path whole = options_.out + "/failed-" + std::to_string(job.seed);
        fs::remove_all(whole);
        fs::rename(job.out, whole);
      }
    } else {
      ++job.next_cut;  // without that action the run passed this time
    }
    if (job.spent++ < options_.max_shrink_runs && job.next_cut < job.actions.size()) {
      job.trial = job.actions;
      job.trial.erase(job.trial.begin() + static_cast<std::ptrdiff_t>(job.next_cut));
      return Start(std::move(job));
    }
    const std::string file =
        options_.out + "/failed-" + std::to_string(job.seed) + "/short.rehearsal";
    std::ofstream(file) << WithActions(options_.base, job.actions);
    fs::remove_all(job.out);
    ++result_.failed;
    result_.failures.push_back(
        {job.seed, file, job.actions.size(), job.original_actions, job.what});
    ReportProgress(job, "BROKEN, kept as " + file);
  }

  void ReportProgress(const Job& job, const std::string& what) {
    if (!options_.progress) return;
    options_.progress("seed " + std::to_string(job.seed) + " " + what + "  (kept " +
                      std::to_string(result_.passed) + ", broken " +
                      std::to_string(result_.failed) + ", void " + std::to_string(result_.invalid) +
                      ")");
  }

  const CampaignOptions& options_;
  const Scenario base_;
  const std::chrono::steady_clock::time_point began_ = std::chrono::steady_clock::now();
  std::map<pid_t, Job> running_;
  std::size_t started_ = 0;
  CampaignResult result_;
};

// Draws the faults of one run. The order of the draws determines the schedule of a seed and must
// not change.
class ScheduleGenerator {
 public:
  ScheduleGenerator(const Scenario& base, std::uint64_t seed)
      : base_(base),
        draw_(seed),
        end_(SecondsOf(base.duration) * kFaultsEnd),
        count_(base.forwarders.count) {}

  // Returns the actions as lines of a scenario file, in order of time.
  std::vector<std::string> Generate() {
    const std::size_t works = 1 + draw_.Below(2);
    for (std::size_t i = 0; i < works; ++i) AddMaintenance();
    const std::size_t faults = 2 + draw_.Below(5);
    for (std::size_t i = 0; i < faults; ++i) AddFault();
    // Faults of partners, for bases that share limits or verdicts. They are drawn last so that the
    // schedules of other bases do not change.
    for (const Partner& partner : base_.partners) AddPartnerFaults(partner);
    // No wrong-peer action: that member answers no probe, so it would count as out for the whole
    // run.
    std::sort(acts_.begin(), acts_.end());
    std::vector<std::string> lines;
    lines.reserve(acts_.size());
    for (auto& [at, line] : acts_) lines.push_back(std::move(line));
    return lines;
  }

 private:
  void Add(double at, const std::string& rest) {
    acts_.emplace_back(at, "{at: " + Ms(at) + ", " + rest + "}");
  }

  std::string OneForwarder() { return "forwarder: " + std::to_string(draw_.Below(count_)); }

  // Requests maintenance of a machine, a hall, all machines or an endpoint from any forwarder.
  void AddMaintenance() {
    const std::string what = DrawMaintenanceTarget();
    const std::string restart = draw_.Below(3) == 0 ? ", restart: true" : "";
    const std::string rest = "do: \"work\", " + what + ", " + OneForwarder() + ", stay: 300ms";
    Add(draw_.Between(kFirstWork, end_), rest + restart);
  }

  std::string DrawMaintenanceTarget() {
    switch (draw_.Below(4)) {
      case 0:
        return "machine: \"all\"";
      case 1:
        return "machine: \"hall:" + base_.fleet.zones[draw_.Below(base_.fleet.zones.size())] + "\"";
      case 2:
        return "machine: \"n" + std::to_string(draw_.Below(count_)) + "\"";
      default:
        return "partner: \"" + base_.partners[draw_.Below(base_.partners.size())].name +
               "\", endpoint: 0";
    }
  }

  void AddFault() {
    const double at = draw_.Between(kFirstFault, end_);
    const double lasts = std::min(draw_.Between(0.3, 8), end_ - at + 0.5);
    const std::string until = "for: " + Ms(lasts) + ", ";
    const std::string down = "down: " + Ms(draw_.Between(0.2, 4));
    const std::string both = draw_.Below(3) == 0 ? ", both: false" : "";
    switch (draw_.Below(11)) {
      case 0:
      case 1:
        return Add(at, "do: \"kill\", " + OneForwarder() + ", " + down);
      case 2:
        return Add(at, "do: \"terminate\", " + OneForwarder() + ", " + down);
      case 3:
        return Add(at, until + "do: \"pause\", " + OneForwarder());
      case 4:
      case 5:
        return Add(at, until + "do: \"cut\", from: " + Group(draw_, count_) + both);
      case 6:
        return Add(at, until + LossyLinks());
      case 7:
        return Add(at, until + FlappingLinks(both));
      case 8:
        return Add(at, until + "do: \"full-disk\", " + OneForwarder());
      case 9:
        return Add(at, "do: \"roster\", places: " + std::to_string(1 + draw_.Below(2)));
      default:
        if (!std::exchange(machine_lost_, true)) {
          return Add(at, "do: \"lose-machine\", " + OneForwarder() + ", " + down);
        }
        return Add(at, until + SlowLinks());
    }
  }

  std::string LossyLinks() {
    const std::size_t jitter = draw_.Below(200);
    const std::size_t loss = 10 + draw_.Below(30);
    const std::string from = Group(draw_, count_);
    return "do: \"lossy\", from: " + from + ", loss: " + std::to_string(loss) +
           "%, twice: 10%, jitter: " + std::to_string(jitter) + "ms";
  }

  std::string FlappingLinks(const std::string& both) {
    const std::string period = Ms(draw_.Between(0.3, 3));
    return "do: \"flap\", from: " + Group(draw_, count_) + both + ", period: " + period;
  }

  std::string SlowLinks() {
    const std::string delay = std::to_string(draw_.Below(300)) + "ms";
    return "do: \"slow-link\", from: " + Group(draw_, count_) + ", delay: " + delay;
  }

  void AddPartnerFaults(const Partner& partner) {
    const std::string name = "partner: \"" + partner.name + "\"";
    if (base_.fleet.limits && partner.limit && draw_.Below(2) == 0) {
      const std::string factor = "0." + std::to_string(2 + draw_.Below(7));
      AddPartnerFault("do: \"limit\", " + name + ", factor: " + factor);
    }
    if (base_.fleet.verdicts && draw_.Below(2) == 0) {
      constexpr std::array<const char*, 3> kOutages = {"silent", "reset", "shut"};
      const std::string outage = kOutages[draw_.Below(3)];
      AddPartnerFault("do: \"" + outage + "\", " + name + ", endpoint: 0");
    }
  }

  void AddPartnerFault(const std::string& what) {
    const double at = draw_.Between(kFirstFault, end_);
    const double lasts = std::max(0.3, std::min(draw_.Between(0.5, 8), end_ - at + 0.5));
    Add(at, "for: " + Ms(lasts) + ", " + what);
  }

  const Scenario& base_;
  Draw draw_;
  const double end_;  // end of the faults, in seconds
  const std::size_t count_;
  std::vector<std::pair<double, std::string>> acts_;  // time in seconds and line
  bool machine_lost_ = false;
};

}  // namespace

std::vector<std::string> MakeSchedule(const Scenario& base, std::uint64_t seed) {
  return ScheduleGenerator(base, seed).Generate();
}

std::string WithActions(const std::string& base, const std::vector<std::string>& actions) {
  std::string text = base + "\nacts: [\n";
  for (const std::string& action : actions) text += "  " + action + ",\n";
  return text + "]\n";
}

CampaignResult PlayCampaign(const CampaignOptions& options) { return Campaign(options).Play(); }

}  // namespace brassfront::rehearsal
