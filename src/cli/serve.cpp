
#include <pthread.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <cxxopts.hpp>
#include <functional>
#include <future>
#include <memory>

#include "cli/command.hpp"
#include "config/config.hpp"
#include "forwarder/engine.hpp"
#include "net/client_server.hpp"
#include "observe/log.hpp"
#include "spool/spool.hpp"
#ifdef BRASSFRONT_ZONES
#include "forwarder/endpoint_sources.hpp"
#endif
#ifdef BRASSFRONT_FLEET
#include "fleet/fleet.hpp"
#endif

namespace brassfront {
namespace {

using observe::Concern;
using observe::Level;

constexpr std::size_t kMaxClientConnections = 384;  // connections
// A connection costs a command of 68 KiB at the most and what is kept of it, and some have a thread
// for the moment. All of them get half of the memory, beside the quarter for bodies.
constexpr std::size_t kBytesPerClientConnection = std::size_t{96} * 1024;
constexpr std::size_t kReservedDescriptors =
    24;  // standard ones, spool, listener, platform, to spare
constexpr std::size_t kMinClientDescriptorShare = 4;  // of all descriptors, at least a part of this
constexpr std::size_t kIdleClientDescriptorShare =
    6;  // of the descriptors; clients use a third at most

// Zones that are followed have this long to be confirmed at the start, before what was kept of them
// is used.
constexpr std::chrono::milliseconds kZoneConfirmationTimeout{500};

// What the descriptors leave once every delivery is out, within the memory.
std::size_t MaxClientConnections(const Config& config) {
  const std::size_t all = config.limits.sockets;
  const std::size_t others = kReservedDescriptors + Engine::MaxEndpointConnections(config);
  const std::size_t left =
      std::max(all > others ? all - others : 0, all / kMinClientDescriptorShare);
  const std::size_t in_memory = config.limits.memory_bytes / 2 / kBytesPerClientConnection;
  return std::max<std::size_t>(1, std::min({kMaxClientConnections, left, in_memory}));
}

// Blocked in every thread that is started from here on; one of them waits for these.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, signal);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

Config ReadConfig(const std::string& path) {
  Config config = LoadConfig(path);
  if (!IsAddress(config.listen)) throw ConfigError("bad listen address " + config.listen);
  if (!IsAddress(config.discovery)) throw ConfigError("bad discovery address " + config.discovery);
  for (const std::string& warning : config.warnings) {
    observe::Log(Concern::kService, Level::kWarning, "setting replaced by a safe default",
                 {{"error", warning}});
  }
  return config;
}

void Reload(const std::string& path, Engine& engine) {
  try {
    Config config = ReadConfig(path);
    observe::Log(Concern::kService, Level::kInfo, "configuration reloaded",
                 {{"discovery", config.discovery}});
    engine.SetDiscoveryAddress(std::move(config.discovery));
  } catch (const ConfigError& error) {
    observe::Log(Concern::kService, Level::kError,
                 "configuration rejected, keeping the previous one", {{"error", error.what()}});
  }
}

#ifndef BRASSFRONT_ZONES
// Stands in where zones are not built in: there are no sources but the platform.
struct EndpointSources {
  void ApplyPlatformList(const MemberList&) {}
  MemberList Begin(std::chrono::milliseconds) { return {}; }
  void Start(const std::function<void(MemberList)>&) {}
  void Stop() {}
};
#endif

// None if no file is named.
std::unique_ptr<EndpointSources> CreateSources(const std::string& path, const Config& config) {
  if (path.empty()) return nullptr;
#ifdef BRASSFRONT_ZONES
  return std::make_unique<EndpointSources>(LoadSources(path, config), config);
#else
  throw ConfigError("--sources: DNS zones are not built into this program (" + config.name + ")");
#endif
}

#ifndef BRASSFRONT_FLEET
// Stands in where what forwarders share is not built in.
namespace fleet {
struct ForwarderControl {
  std::function<void(bool)> set_standby;
  std::function<bool()> keeps_running;
  std::function<std::size_t()> messages_in_flight;
  std::function<void(EndpointUpdate)> update_endpoint;
  std::function<void(MemberList)> set_endpoints;
  std::function<void(std::function<void()>)> post;
};
struct Fleet {
  MemberList FilterEndpoints(MemberList list) { return list; }
  CallObserver* call_observer() { return nullptr; }
  void Start(const ForwarderControl&) {}
  void ReloadRoster() {}
  void Stop() {}
};
}  // namespace fleet
#endif

// None if no roster is named.
std::unique_ptr<fleet::Fleet> CreateFleet(const std::string& roster, const Config& config,
                                          const std::string& state) {
  if (roster.empty()) return nullptr;
#ifdef BRASSFRONT_FLEET
  return std::make_unique<fleet::Fleet>(roster, config.name, state + "/fleet", config.seed);
#else
  throw ConfigError("--fleet: not built into this program (" + config.name + ", " + state + ")");
#endif
}

int Serve(const std::string& config_path, const std::string& state, const std::string& sources_path,
          const std::string& roster_path) {
  const sigset_t signals = BlockSignals();
  const Config config = ReadConfig(config_path);
  BufferPool buffers;
  Spool spool(state, config.limits.disk_bytes, [](const std::string& text) {
    observe::LogSeldom(Concern::kSpool, Level::kWarning, text);
  });
  const auto sources = CreateSources(sources_path, config);
  const auto fleet = CreateFleet(roster_path, config, state);
  const auto filtered = [&fleet](MemberList list) {
    return fleet ? fleet->FilterEndpoints(std::move(list)) : list;
  };
  std::promise<Engine*> made;  // the watch begins before the engine's constructor returns
  const std::shared_future<Engine*> there = made.get_future();
  const std::function<void(MemberList)> listed = [there](MemberList list) {
    there.get()->SetEndpoints(std::move(list));
  };
  DiscoveryWatcher::OnEndpointList divert;
  if (sources) {
    divert = [&sources](const MemberList& list) { sources->ApplyPlatformList(list); };
  } else if (fleet) {
    divert = [&](MemberList list) { listed(filtered(std::move(list))); };
  }
  Engine engine(config, spool, buffers, std::move(divert));
  made.set_value(&engine);
  if (fleet && fleet->call_observer() != nullptr) engine.SetCallObserver(*fleet->call_observer());
  engine.Restore(filtered(sources ? sources->Begin(kZoneConfirmationTimeout) : config.known));
  Socket listener = Listen(config.listen);
  if (!listener.is_open()) {
    throw ConfigError("cannot listen on " + config.listen + ": " + std::strerror(errno));
  }
  const std::string address = AddressOf(listener);
  if (sources) sources->Start([&](MemberList list) { listed(filtered(std::move(list))); });
  ClientServer clients(std::move(listener),
                       {.connections = MaxClientConnections(config),
                        .most_idle = config.limits.sockets / kIdleClientDescriptorShare},
                       engine, buffers);
  std::atomic<bool> leaves{false}, over{false};
  if (fleet) {
    fleet->Start(
        {.set_standby = [&clients](bool on) { clients.StandBy(on); },
         .keeps_running = [&leaves] { return !leaves; },
         .messages_in_flight = [&engine] { return engine.messages_in_flight(); },
         .update_endpoint =
             [&engine](EndpointUpdate update) { engine.UpdateEndpoint(std::move(update)); },
         .set_endpoints = listed,
         .post = [&engine](std::function<void()> what) { engine.Post(std::move(what)); }});
  }
  Thread waiter("signals", [&] {
    int signal = 0;
    while (sigwait(&signals, &signal) == 0 && !over) {
      if (signal == SIGHUP) {
        Reload(config_path, engine);
        if (fleet) fleet->ReloadRoster();
      } else {
        leaves = true;
        engine.BeginGracefulShutdown();
      }
    }
  });
  observe::Log(Concern::kService, Level::kInfo, "serving",
               {{"name", config.name}, {"listen", address}});
  engine.Run([&] { clients.Drain(); });
  if (sources) sources->Stop();
  if (fleet) fleet->Stop();
  engine.Close();
  over = true;
  kill(getpid(), SIGTERM);  // for the waiter, which takes it
  waiter.Join();
  return 0;
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
  cxxopts::Options options("brassfront serve");
  options.add_options()("config", "configuration file [$NODE_CONFIG]",
                        cxxopts::value<std::string>()->default_value(Environment("NODE_CONFIG")))(
      "state", "folder that lasts [$NODE_STATE]",
      cxxopts::value<std::string>()->default_value(Environment("NODE_STATE")))(
      "sources", "operator file of further sources of endpoints",
      cxxopts::value<std::string>()->default_value(""))(
      "fleet", "operator file of the forwarders that share what they know",
      cxxopts::value<std::string>()->default_value(""))(
      "log-format", "text, logfmt or json", cxxopts::value<std::string>()->default_value("text"))(
      "log-level", "debug, info, warning, error or off",
      cxxopts::value<std::string>()->default_value("info"));
  cxxopts::ParseResult given;
  if (!ParseOptions(options, argc, argv, given)) return 0;
  SetUpLog(given["log-format"].as<std::string>(), given["log-level"].as<std::string>());
  const auto state = given["state"].as<std::string>();
  if (state.empty()) throw ConfigError("no state folder: give --state or NODE_STATE");
  return Serve(given["config"].as<std::string>(), state, given["sources"].as<std::string>(),
               given["fleet"].as<std::string>());
}

}  // namespace brassfront
