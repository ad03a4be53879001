// `brassfront serve`: parses its command line, runs the forwarder and handles signals.
#include <pthread.h>
#include <sysexits.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <csignal>
#include <cstring>
#include <cxxopts.hpp>
#include <optional>

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

// Handles signals until `finished`. Retries a reload whose file can't be read now, without delaying
// other signals.
void HandleSignals(const sigset_t& signals, ForwarderService& service,
                   const std::atomic<bool>& finished) {
  constexpr timespec kReloadRetryDelay{.tv_sec = 0, .tv_nsec = 200'000'000};
  bool reload_is_due = false;
  while (!finished) {
    const int signal = reload_is_due ? sigtimedwait(&signals, nullptr, &kReloadRetryDelay)
                                     : sigwaitinfo(&signals, nullptr);
    if (finished) return;
    if (signal > 0) {
      observe::Log(Concern::kService, Level::kInfo, "signal received",
                   {{"signal", sigabbrev_np(signal)}});
    }
    if (signal == SIGHUP || (signal < 0 && reload_is_due)) {
      reload_is_due = !service.Reload();
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

ServeResult Serve(const ServeOptions& options, const std::string& state_folder,
                  const sigset_t& signals) {
  Config config = ForwarderService::ReadConfigAtStart(options.config_path);
  observe::Log(Concern::kService, Level::kInfo, "process starts",
               {{"pid", getpid()}, {"state", state_folder}});
  FolderOwner owner(state_folder);
  Takeover takeover = TakeOver(owner, config.listen, kTakeoverLimit);
  if (takeover.outcome == TakeoverOutcome::kStopped) {
    return {"asked to end before the takeover was complete", EX_OK};
  }
  if (takeover.outcome != TakeoverOutcome::kDone) {
    throw UnavailableError(DescribeUnavailability(owner, config.listen, takeover.error));
  }
  BeginStartup();  // the wait for a predecessor does not count towards startup
  ForwarderService service(options, std::move(config), owner, std::move(takeover.listener));
  std::atomic<bool> finished{false};
  Thread signal_thread =
      Thread::Require("signals", [&] { HandleSignals(signals, service, finished); });
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
