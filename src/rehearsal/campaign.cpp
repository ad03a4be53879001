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

constexpr int kKept = 0, kBroken = 1, kVoid = 3;   // exit statuses of a run
constexpr int kTries = 3;                          // of a run whose cast was late
constexpr double kFaultsEnd = 0.55;                // of the duration
constexpr double kFirstFault = 4, kFirstWork = 3;  // s; the fleet has met and settled by then

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

std::string Ms(double seconds) { return std::to_string(static_cast<long>(seconds * 1000)) + "ms"; }

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
  const std::vector<std::string> words = {options.program, "rehearse", "run", file,     "--seed",
                                          number,          "--out",    out,   "--quiet"};
  std::vector<char*> argv;
  argv.reserve(words.size());
  for (const std::string& word : words) argv.push_back(const_cast<char*>(word.c_str()));
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, text.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  pid_t pid = 0;
  const int error =
      posix_spawn(&pid, options.program.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("no room for a process");
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

// One schedule on its way: played, and if it is broken played again with fewer acts.
struct Job {
  std::uint64_t seed = 0;
  std::vector<std::string> acts;  // the shortest that is known to be broken, or all
  std::size_t acts_before = 0;
  std::vector<std::string> trial;  // being played
  std::size_t next_cut = 0;        // the act to be left out next
  std::size_t spent = 0;
  int tries = 0;
  bool failed = false;
  std::string what, out, file;
};

class Campaign {
 public:
  explicit Campaign(const CampaignOptions& options)
      : options_(options), base_(ReadScenario(options.base, "base")) {
    if (!base_.acts.empty()) throw std::runtime_error("a campaign's base has no acts of its own");
    if (!base_.fleet.on) throw std::runtime_error("a campaign's base needs `fleet: on: true`");
    fs::create_directories(options_.out);
  }

  CampaignResult Play() {
    while (true) {
      while (running_.size() < options_.jobs && More()) {
        Job job;
        job.seed = options_.seed + started_++;
        job.acts = MakeSchedule(base_, job.seed);
        job.acts_before = job.acts.size();
        job.trial = job.acts;
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
      Ended(std::move(job), WIFEXITED(status) ? WEXITSTATUS(status) : kBroken);
    }
  }

 private:
  [[nodiscard]] bool More() const {
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
    std::ofstream(job.file) << WithActs(options_.base, job.trial);
    const pid_t pid = StartRun(options_, job.file, job.out, job.seed);
    running_.emplace(pid, std::move(job));
  }

  void Ended(Job job, int status) {
    if (status == kVoid && ++job.tries < kTries) return Start(std::move(job));
    job.tries = 0;
    if (status != kBroken && !job.failed) {
      (status == kKept ? result_.kept : result_.voided) += 1;
      fs::remove_all(job.out);
      return Tell(job, status == kKept ? "kept" : "void");
    }
    if (status == kBroken) {
      job.what = BrokenLines(job.out);
      job.acts = job.trial;
      if (!std::exchange(job.failed, true)) {
        Tell(job, "BROKEN, being shortened");
        // What was played first stays whole, whatever becomes of the shortening.
        const fs::path whole = options_.out + "/failed-" + std::to_string(job.seed);
        fs::remove_all(whole);
        fs::rename(job.out, whole);
      }
    } else {
      ++job.next_cut;  // without that act it is kept, this time
    }
    if (job.spent++ < options_.shrinking && job.next_cut < job.acts.size()) {
      job.trial = job.acts;
      job.trial.erase(job.trial.begin() + static_cast<std::ptrdiff_t>(job.next_cut));
      return Start(std::move(job));
    }
    const std::string file =
        options_.out + "/failed-" + std::to_string(job.seed) + "/short.rehearsal";
    std::ofstream(file) << WithActs(options_.base, job.acts);
    fs::remove_all(job.out);
    ++result_.broken;
    result_.failed.push_back({job.seed, file, job.acts.size(), job.acts_before, job.what});
    Tell(job, "BROKEN, kept as " + file);
  }

  void Tell(const Job& job, const std::string& what) {
    if (!options_.progress) return;
    options_.progress("seed " + std::to_string(job.seed) + " " + what + "  (kept " +
                      std::to_string(result_.kept) + ", broken " + std::to_string(result_.broken) +
                      ", void " + std::to_string(result_.voided) + ")");
  }

  const CampaignOptions& options_;
  const Scenario base_;
  const std::chrono::steady_clock::time_point began_ = std::chrono::steady_clock::now();
  std::map<pid_t, Job> running_;
  std::size_t started_ = 0;
  CampaignResult result_;
};

}  // namespace

std::vector<std::string> MakeSchedule(const Scenario& base, std::uint64_t seed) {
  Draw draw(seed);
  const double duration = SecondsOf(base.duration), end = duration * kFaultsEnd;
  const std::size_t count = base.forwarders.count;
  std::vector<std::pair<double, std::string>> acts;
  const auto add = [&](double at, const std::string& rest) {
    acts.emplace_back(at, "{at: " + Ms(at) + ", " + rest + "}");
  };
  const auto one = [&] { return "forwarder: " + std::to_string(draw.Below(count)); };
  // Work first: some machines, a hall or all, asked of anybody; sometimes an endpoint.
  const std::size_t works = 1 + draw.Below(2);
  for (std::size_t i = 0; i < works; ++i) {
    const std::size_t kind = draw.Below(4);
    const std::string what =
        kind == 0 ? "machine: \"all\""
        : kind == 1
            ? "machine: \"hall:" + base.fleet.halls[draw.Below(base.fleet.halls.size())] + "\""
        : kind == 2 ? "machine: \"n" + std::to_string(draw.Below(count)) + "\""
                    : "partner: \"" + base.partners[draw.Below(base.partners.size())].name +
                          "\", endpoint: 0";
    add(draw.Between(kFirstWork, end), "do: \"work\", " + what + ", " + one() + ", stay: 300ms" +
                                           (draw.Below(3) == 0 ? ", restart: true" : ""));
  }
  bool lost = false;
  const std::size_t faults = 2 + draw.Below(5);
  for (std::size_t i = 0; i < faults; ++i) {
    const double at = draw.Between(kFirstFault, end);
    const double lasts = std::min(draw.Between(0.3, 8), end - at + 0.5);
    const std::string until = "for: " + Ms(lasts) + ", ";
    const std::string down = "down: " + Ms(draw.Between(0.2, 4));
    const std::string both = draw.Below(3) == 0 ? ", both: false" : "";
    switch (draw.Below(11)) {
      case 0:
      case 1:
        add(at, "do: \"kill\", " + one() + ", " + down);
        break;
      case 2:
        add(at, "do: \"terminate\", " + one() + ", " + down);
        break;
      case 3:
        add(at, until + "do: \"pause\", " + one());
        break;
      case 4:
      case 5:
        add(at, until + "do: \"cut\", from: " + Group(draw, count) + both);
        break;
      case 6:
        add(at, until + "do: \"lossy\", from: " + Group(draw, count) +
                    ", loss: " + std::to_string(10 + draw.Below(30)) +
                    "%, twice: 10%, jitter: " + std::to_string(draw.Below(200)) + "ms");
        break;
      case 7:
        add(at, until + "do: \"flap\", from: " + Group(draw, count) + both +
                    ", period: " + Ms(draw.Between(0.3, 3)));
        break;
      case 8:
        add(at, until + "do: \"full-disk\", " + one());
        break;
      case 9:
        add(at, "do: \"roster\", places: " + std::to_string(1 + draw.Below(2)));
        break;
      default:
        if (!std::exchange(lost, true)) {
          add(at, "do: \"lose-machine\", " + one() + ", " + down);
        } else {
          add(at, until + "do: \"slow-link\", from: " + Group(draw, count) +
                      ", delay: " + std::to_string(draw.Below(300)) + "ms");
        }
    }
  }
  // What strikes partners, where limits and endpoints are shared; drawn last, so that schedules of
  // other bases stay what they were.
  const auto strike = [&](const std::string& what) {
    const double at = draw.Between(kFirstFault, end);
    const double lasts = std::max(0.3, std::min(draw.Between(0.5, 8), end - at + 0.5));
    add(at, "for: " + Ms(lasts) + ", " + what);
  };
  for (const Partner& p : base.partners) {
    if (base.fleet.limits && p.limit && draw.Below(2) == 0) {
      strike("do: \"limit\", partner: \"" + p.name + "\", factor: 0." +
             std::to_string(2 + draw.Below(7)));
    }
    if (base.fleet.verdicts && draw.Below(2) == 0) {
      constexpr std::array<const char*, 3> kOutages = {"silent", "reset", "shut"};
      strike("do: \"" + std::string(kOutages[draw.Below(3)]) + "\", partner: \"" + p.name +
             "\", endpoint: 0");
    }
  }
  // No wrong-peer: it is a member that answers no probe, and so uses a place for good.
  std::sort(acts.begin(), acts.end());
  std::vector<std::string> lines;
  lines.reserve(acts.size());
  for (auto& [at, line] : acts) lines.push_back(std::move(line));
  return lines;
}

std::string WithActs(const std::string& base, const std::vector<std::string>& acts) {
  std::string text = base + "\nacts: [\n";
  for (const std::string& act : acts) text += "  " + act + ",\n";
  return text + "]\n";
}

CampaignResult PlayCampaign(const CampaignOptions& options) { return Campaign(options).Play(); }

}  // namespace brassfront::rehearsal
