// `brassfront serve`: parses its command line, runs the forwarder and handles signals.
#include <pthread.h>
#include <sysexits.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstring>
#include <cxxopts.hpp>
#include <optional>
#include <string>
#include <utility>

#include "cli/command.hpp"
#include "cli/forwarder_service.hpp"
#include "cli/process_end.hpp"
#include "cli/state_takeover.hpp"
#include "concurrency/thread.hpp"
#include "config/config.hpp"
#include "observe/log.hpp"
#include "system/retry.hpp"

namespace brassfront {
namespace {

using observe::Concern;
using observe::Level;

// SIGUSR1 and SIGUSR2 have no function; they are only logged, so that they do not end the process.
constexpr auto kHandledSignals =
    std::to_array<int>({SIGTERM, SIGINT, SIGQUIT, SIGHUP, SIGUSR1, SIGUSR2});

// Blocks the signals in this thread and all threads that it starts. The signal thread waits for
// them.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : kHandledSignals) sigaddset(&signals, signal);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

// Decides whether the configuration has to be read again without a signal.
class ReloadRetry {
 public:
  using Clock = std::chrono::steady_clock;
  using ReloadResult = ForwarderService::ReloadResult;

  // `config_is_current`: whether this process could read the configuration after its takeover. If
  // not, nobody sends it a signal once the file is complete: the signal went to its predecessor.
  explicit ReloadRetry(bool config_is_current)
      : is_due_(!config_is_current),
        retry_invalid_until_(config_is_current ? Clock::time_point::min()
                                               : Clock::now() + kStartupRetryLimit) {}

  [[nodiscard]] bool is_due() const { return is_due_; }
  void OnReload(ReloadResult result) {
    const bool may_become_valid =
        result == ReloadResult::kInvalid && Clock::now() < retry_invalid_until_;
    is_due_ = result == ReloadResult::kUnreadable || may_become_valid;
  }

 private:
  bool is_due_;
  const Clock::time_point retry_invalid_until_;
};

// Handles signals until `finished`. Retries a reload that is due without delaying other signals.
void HandleSignals(const sigset_t& signals, ForwarderService& service, ReloadRetry retry,
                   const std::atomic<bool>& finished) {
  constexpr timespec kReloadRetryDelay{.tv_sec = 0, .tv_nsec = 200'000'000};
  while (!finished) {
    const int signal = retry.is_due() ? sigtimedwait(&signals, nullptr, &kReloadRetryDelay)
                                      : sigwaitinfo(&signals, nullptr);
    if (finished) return;
    if (signal > 0) {
      observe::Log(Concern::kService, Level::kInfo, "signal received",
                   {{"signal", sigabbrev_np(signal)}});
    }
    if (signal == SIGHUP || (signal < 0 && retry.is_due())) {
      retry.OnReload(service.Reload());
    } else if (signal == SIGTERM || signal == SIGINT || signal == SIGQUIT) {
      service.BeginGracefulShutdown();
    }
  }
}

// Why the process ends, and its exit status.
struct ServeResult {
  const char* reason;
  int status;
};

// Returns the error text after a failed takeover.
std::string DescribeUnavailability(FolderOwner& owner, const std::string& listen,
                                   int listen_error) {
  if (owner.Lock() != FileLock::Outcome::kHeldByOther) {
    return "cannot listen on " + listen + ": " + std::strerror(listen_error);
  }
  return "state folder " + owner.folder() + " is owned by process " +
         std::to_string(owner.ReadHolder().process_id);
}

// What a process has once it is the only one that serves.
struct Ownership {
  Takeover takeover;
  Config config;
  bool config_is_current = false;
};

// Takes over the folder and the address, and reads the configuration again after the wait. If that
// names another address, takes over that one instead.
Ownership BecomeOwner(FolderOwner& owner, const std::string& config_path) {
  Ownership result{.takeover = {}, .config = ForwarderService::ReadConfigAtStart(config_path)};
  observe::Log(Concern::kService, Level::kInfo, "process starts",
               {{"pid", getpid()}, {"state", owner.folder()}});
  while (true) {
    const std::string listen = result.config.listen;
    result.takeover = TakeOver(owner, listen, kTakeoverLimit);
    if (result.takeover.outcome != TakeoverOutcome::kDone) return result;
    BeginStartup();  // the wait for a predecessor does not count towards startup
    auto [config, is_current] =
        ForwarderService::ReadConfigAfterTakeover(config_path, std::move(result.config));
    result.config = std::move(config);
    result.config_is_current = is_current;
    if (result.config.listen == listen) return result;
    result.takeover.listener.Close();
  }
}

ServeResult Serve(const ServeOptions& options, const std::string& state_folder,
                  const sigset_t& signals) {
  FolderOwner owner(state_folder);
  Ownership ownership = BecomeOwner(owner, options.config_path);
  const Takeover& takeover = ownership.takeover;
  if (takeover.outcome == TakeoverOutcome::kStopped) {
    return {"asked to end before the takeover was complete", EX_OK};
  }
  if (takeover.outcome != TakeoverOutcome::kDone) {
    throw UnavailableError(DescribeUnavailability(owner, ownership.config.listen, takeover.error));
  }
  const ReloadRetry retry(ownership.config_is_current);
  ForwarderService service(options, std::move(ownership.config), owner,
                           std::move(ownership.takeover.listener));
  std::atomic<bool> finished{false};
  Thread signal_thread =
      Thread::Require("signals", [&] { HandleSignals(signals, service, retry, finished); });
  observe::Log(Concern::kService, Level::kInfo, "serving",
               {{"name", service.name()}, {"listen", service.address()}});
  service.Run();
  finished = true;
  kill(getpid(), SIGTERM);  // wakes the signal thread, which receives it and returns
  signal_thread.Join();
  if (const auto open = service.open_messages()) owner.RecordGracefulEnd(*open);
  return {"shutdown complete", 0};
}

// Exit statuses as in sysexits.h.
int ExitStatus(const std::exception& error) {
  if (dynamic_cast<const ConfigError*>(&error) != nullptr) return EX_CONFIG;
  if (dynamic_cast<const UnavailableError*>(&error) != nullptr) return EX_UNAVAILABLE;
  return EX_OSERR;
}

void SetUpLog(const std::string& format, const std::string& level) {
  observe::LogOptions options;
  if (!observe::ParseFormat(format, options.format)) {
    throw UsageError("--log-format takes text, logfmt or json, not " + format);
  }
  if (!observe::ParseLevel(level, options.level)) {
    throw UsageError("--log-level takes debug, info, warning, error or off, not " + level);
  }
  observe::SetUpLog(options);
}

}  // namespace

int ServeCommand(int argc, char** argv) {
  const sigset_t signals = BlockSignals();  // first, because a SIGHUP may arrive at any moment
  cxxopts::Options options("brassfront serve");
  options.add_options()("config", "configuration file [$NODE_CONFIG]",
                        cxxopts::value<std::string>()->default_value(Environment("NODE_CONFIG")))(
      "state", "state folder, which must survive restarts [$NODE_STATE]",
      cxxopts::value<std::string>()->default_value(Environment("NODE_STATE")))(
      "sources", "operator file with additional sources of endpoints",
      cxxopts::value<std::string>()->default_value(""))(
      "fleet", "operator file of the forwarders that share what they know",
      cxxopts::value<std::string>()->default_value(""))(
      "log-format", "text, logfmt or json", cxxopts::value<std::string>()->default_value("text"))(
      "log-level", "debug, info, warning, error or off",
      cxxopts::value<std::string>()->default_value("info"));
  const std::optional<cxxopts::ParseResult> parsed = ParseOptions(options, argc, argv);
  if (!parsed) return 0;
  const cxxopts::ParseResult& given = *parsed;
  SetUpLog(given["log-format"].as<std::string>(), given["log-level"].as<std::string>());
  LogFatalSignals();
  try {
    const auto state = given["state"].as<std::string>();
    if (state.empty()) throw ConfigError("no state folder: give --state or NODE_STATE");
    const ServeResult result = Serve({.config_path = given["config"].as<std::string>(),
                                      .sources_path = given["sources"].as<std::string>(),
                                      .roster_path = given["fleet"].as<std::string>()},
                                     state, signals);
    LogExit(result.reason, result.status);
    return result.status;
  } catch (const std::exception& error) {
    const int status = ExitStatus(error);
    LogExit(error.what(), status);
    return status;
  }
}

}  // namespace brassfront
