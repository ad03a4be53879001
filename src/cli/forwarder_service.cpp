#include "cli/forwarder_service.hpp"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstddef>
#include <cstring>
#include <utility>

#include "forwarder/clock.hpp"
#include "observe/log.hpp"
#include "system/retry.hpp"

namespace brassfront {
namespace {

using observe::Concern;
using observe::Level;

constexpr const char* kReloadableKey = "discovery";
constexpr std::size_t kMaxClientConnections = 384;
// A connection needs memory for a command of up to 68 KiB and the data kept from it, and some
// connections temporarily have a thread. All client connections together may use half of the
// memory limit; message bodies use another quarter.
constexpr std::size_t kBytesPerClientConnection = std::size_t{96} * 1024;
// Descriptors for the standard streams, the spool, the listener and the platform, with some spare.
constexpr std::size_t kReservedDescriptors = 24;
// Clients get at least a quarter of the descriptors.
constexpr std::size_t kMinClientDescriptorDivisor = 4;
// Idle clients keep at most a sixth of the descriptors; clients use a third at most.
constexpr std::size_t kIdleClientDescriptorDivisor = 6;

// Time limit for confirming secondary zones at the start; after it their stored copies are used.
constexpr std::chrono::milliseconds kZoneConfirmationTimeout{500};

// Returns the number of client connections for which descriptors are left when all endpoint
// connections are open, limited by memory.
std::size_t MaxClientConnections(const Config& config) {
  const std::size_t all = config.limits.sockets;
  const std::size_t operators = config.admin.empty() ? 0 : OperatorServer::kMaxDescriptors;
  const std::size_t others =
      kReservedDescriptors + operators + Engine::MaxEndpointConnections(config);
  const std::size_t left =
      std::max(all > others ? all - others : 0, all / kMinClientDescriptorDivisor);
  const std::size_t in_memory = config.limits.memory_bytes / 2 / kBytesPerClientConnection;
  return std::max<std::size_t>(1, std::min({kMaxClientConnections, left, in_memory}));
}

// Joins the words with commas.
std::string Join(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    if (!text.empty()) text += ',';
    text += word;
  }
  return text;
}

// Logs the keys that a reload has changed: those that apply now, and those that apply at the next
// start.
void LogReload(const Config& before, const Config& after) {
  std::vector<std::string> later;
  std::vector<std::string> now;
  for (std::string& key : ChangedKeys(before, after)) {
    (key == kReloadableKey ? now : later).push_back(std::move(key));
  }
  observe::Log(
      Concern::kService, Level::kInfo, "configuration reloaded",
      {{"discovery", after.discovery}, {"taken_up", Join(now)}, {"at_next_start", Join(later)}});
}

// Returns the disk space that the other files in the state folder leave for the spool.
std::size_t SpoolBytes(const Config& config) {
  const std::size_t exclusions = config.admin.empty() ? 0 : ExclusionFile::kMaxBytesOnDisk;
  const std::size_t others = exclusions + FolderOwner::kMaxBytesOnDisk +
                             ConditionStore::MaxBytes(config.limits.disk_bytes);
  return config.limits.disk_bytes - std::min(config.limits.disk_bytes, others);
}

Config ReadConfig(const std::string& path) {
  Config config = LoadConfig(path);
  if (!IsAddress(config.listen)) throw ConfigError("bad listen address " + config.listen);
  if (!config.admin.empty() && !IsAddress(config.admin)) {
    throw ConfigError("bad admin address " + config.admin);
  }
  if (!IsAddress(config.discovery)) throw ConfigError("bad discovery address " + config.discovery);
  for (const std::string& warning : config.warnings) {
    observe::Log(Concern::kService, Level::kWarning, "setting replaced by a safe default",
                 {{"error", warning}});
  }
  if (!config.unknown_keys.empty()) {
    observe::Log(Concern::kService, Level::kWarning, "configuration keys unknown",
                 {{"keys", Join(config.unknown_keys)}});
  }
  return config;
}

using ReloadResult = ForwarderService::ReloadResult;

// Reads the configuration and passes it to `use`. Logs an error, and returns what it means for the
// caller.
template <typename Use>
ReloadResult TryReadConfig(const std::string& path, Use use) {
  try {
    use(ReadConfig(path));
    return ReloadResult::kDone;
  } catch (const ConfigUnreadable& error) {
    observe::LogRateLimited(Concern::kService, Level::kError, "configuration not read yet",
                            {{"error", error.what()}});
    return ReloadResult::kUnreadable;
  } catch (const ConfigError& error) {
    observe::LogRateLimited(Concern::kService, Level::kError,
                            "configuration rejected, keeping the previous one",
                            {{"error", error.what()}});
    return ReloadResult::kInvalid;
  }
}

void LogSpoolWarning(const std::string& text) {
  observe::LogRateLimited(Concern::kSpool, Level::kWarning, text);
}

}  // namespace

Config ForwarderService::ReadConfigAtStart(const std::string& path) {
  while (true) {
    try {
      return ReadConfig(path);
    } catch (const ConfigUnreadable&) {
      if (std::chrono::steady_clock::now() >= StartupDeadline()) throw;
      Pause(kTransientPause);
    }
  }
}

ForwarderService::ConfigAfterTakeover ForwarderService::ReadConfigAfterTakeover(
    const std::string& path, Config previous) {
  ConfigAfterTakeover result{.config = std::move(previous)};
  const ReloadResult read = TryReadConfig(path, [&](Config config) {
    observe::Log(
        Concern::kService, Level::kInfo, "configuration read after the takeover",
        {{"discovery", config.discovery}, {"changed", Join(ChangedKeys(result.config, config))}});
    result.config = std::move(config);
  });
  result.is_current = read == ReloadResult::kDone;
  return result;
}

ForwarderService::ForwarderService(const ServeOptions& options, Config config, FolderOwner& owner,
                                   Socket listener)
    : config_path_(options.config_path),
      config_(std::move(config)),
      spool_(owner, SpoolBytes(config_), LogSpoolWarning),
      conditions_(owner, ConditionStore::MaxBytes(config_.limits.disk_bytes), Now()),
      operator_commands_(
          config_.admin.empty() ? nullptr : std::make_unique<OperatorCommands>(owner, exclusions_)),
      sources_(CreateSources(options.sources_path, config_)),
      fleet_(CreateFleet(options.roster_path, config_, owner.folder(), exclusions_)),
      initial_list_(InitialList()),
      engine_future_(engine_promise_.get_future()),
      engine_(config_, spool_, buffers_, ListInterceptor()) {
  engine_promise_.set_value(&engine_);
  if (spool_.is_available()) CheckAgainstPredecessor(owner.predecessor(), spool_);
  if (fleet_ && fleet_->call_observer() != nullptr) {
    engine_.SetCallObserver(*fleet_->call_observer());
  }
  engine_.SetExclusions(exclusions_);
  engine_.SetConditionStore(conditions_);
  engine_.Restore(initial_list_);
  StartClientServer(std::move(listener));
  StartFleet();
  StartOperatorServer();
}

MemberList ForwarderService::InitialList() {
  MemberList list = sources_ ? sources_->Begin(kZoneConfirmationTimeout) : config_.known_endpoints;
  if (fleet_) fleet_->OnEndpointList(list);
  return exclusions_.Apply(std::move(list));
}

// Returns the function that receives the platform's endpoint lists instead of the engine. It is
// empty without sources, a fleet and an operators' address.
DiscoveryWatcher::OnEndpointList ForwarderService::ListInterceptor() {
  if (sources_) {
    return [this](const MemberList& list) { sources_->ApplyPlatformList(list); };
  }
  if (fleet_ || operator_commands_) {
    return [this](MemberList list) { FilterAndSetEndpoints(std::move(list)); };
  }
  return {};
}

void ForwarderService::FilterAndSetEndpoints(MemberList list) {
  if (fleet_) fleet_->OnEndpointList(list);
  exclusions_.Apply(std::move(list),
                    [this](MemberList filtered) { SetEndpoints(std::move(filtered)); });
}

void ForwarderService::SetEndpoints(MemberList list) {
  engine_future_.get()->SetEndpoints(std::move(list));
}

void ForwarderService::StartClientServer(Socket listener) {
  address_ = LocalAddress(listener);
  if (sources_) {
    sources_->Start([this](MemberList list) { FilterAndSetEndpoints(std::move(list)); });
  }
  const ClientServer::Limits limits{
      .connections = MaxClientConnections(config_),
      .max_idle = config_.limits.sockets / kIdleClientDescriptorDivisor};
  clients_.emplace(std::move(listener), limits, engine_, buffers_);
}

void ForwarderService::StartFleet() {
  if (!fleet_) return;
  fleet_->Start({.set_standby = [this](bool standby) { clients_->StandBy(standby); },
                 .keeps_running = [this] { return !shutting_down_; },
                 .messages_in_flight = [this] { return engine_.messages_in_flight(); },
                 .update_endpoint =
                     [this](EndpointUpdate update) { engine_.UpdateEndpoint(std::move(update)); },
                 .set_endpoints = [this](MemberList list) { SetEndpoints(std::move(list)); },
                 .post = [this](std::function<void()> task) { engine_.Post(std::move(task)); }});
}

void ForwarderService::StartOperatorServer() {
  if (!operator_commands_) return;
  // A report of two witnesses is binding, as an operator's command must be.
  constexpr std::size_t kWitnesses = 2;
  operator_commands_->Attach(
      {.serves = [this] { return !shutting_down_; },
       .set_standby = [this](bool standby) { clients_->StandBy(standby); },
       .set_endpoints =
           [this](MemberList changes) { engine_.SetEndpointsUrgently(std::move(changes)); },
       .readmit =
           [this](const std::string& endpoint) {
             const dispatch_policy::PeerHealthReport report{
                 .health = dispatch_policy::PeerHealth::kWarmingUp, .witnesses = kWitnesses};
             engine_.UpdateEndpointUrgently({endpoint, report});
           }});
  operator_server_ = std::make_unique<OperatorServer>(config_.admin, *operator_commands_, buffers_);
}

void ForwarderService::Run() {
  engine_.Run([this] { clients_->Drain(); });
  operator_server_.reset();
  if (sources_) sources_->Stop();
  if (fleet_) fleet_->Stop();
  engine_.Close();
}

std::optional<std::size_t> ForwarderService::open_messages() const {
  if (!spool_.is_available()) return std::nullopt;
  return spool_.open_messages();
}

void ForwarderService::BeginGracefulShutdown() {
  shutting_down_ = true;
  engine_.BeginGracefulShutdown();
}

ForwarderService::ReloadResult ForwarderService::Reload() {
  const ReloadResult result = TryReadConfig(config_path_, [this](Config config) {
    LogReload(config_, config);
    engine_.SetDiscoveryAddress(std::move(config.discovery));
  });
  if (fleet_) fleet_->ReloadRoster();
  return result;
}

}  // namespace brassfront
