#include "rehearsal/run.hpp"

#include <unistd.h>

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <cinttypes>
#include <csignal>
#include <cstdio>
#include <memory>
#include <optional>
#include <stdexcept>

#include "rehearsal/client_stub.hpp"
#include "rehearsal/discovery_stub.hpp"
#include "rehearsal/endpoint_stub.hpp"
#include "rehearsal/fault_injecting_network.hpp"
#include "rehearsal/fleet_auditor.hpp"
#include "rehearsal/operator_script.hpp"
#include "rehearsal/plan.hpp"
#include "rehearsal/sharing_auditor.hpp"
#include "rehearsal/supervisor.hpp"
#ifdef BRASSFRONT_ZONES
#include "rehearsal/name_server_stub.hpp"
#endif

namespace brassfront::rehearsal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kReadyTimeout = seconds(30);
constexpr Time kSampleInterval = milliseconds(250);
constexpr Time kDrainTime = milliseconds(500);   // time between the phases Terminating and Gone
constexpr Time kChurnPause = milliseconds(250);  // default if the action has no wait
// Time for outcomes that are decided at the last moment.
constexpr Time kClosingDelay = milliseconds(1200);

// Returns the prefix 127.x.y. derived from the process ID, so that concurrent rehearsals use
// different addresses.
std::string LoopbackPrefix() {
  const auto pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(16 + (pid >> 8) % 200) + "." + std::to_string(pid & 255) + ".";
}

// FNV-1a (Fowler, Noll, Vo) hash, to distinguish plans.
std::string Hash(const std::string& text) {
  std::uint64_t hash = 0xCBF29CE484222325;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001B3;
  std::array<char, 17> out{};
  std::snprintf(out.data(), out.size(), "%016" PRIx64, hash);
  return out.data();
}

class Run {
 public:
  Run(const Scenario& scenario, const RunOptions& options)
      : scenario_(scenario),
        options_(options),
        plan_(MakePlan(scenario, options.seed)),
        prefix_(LoopbackPrefix()),
        context_(io_, scenario_, options.seed),
        endpoints_(context_, prefix_),
        clients_(context_),
        interrupts_(io_, SIGINT, SIGTERM),
        state_(scenario.forwarders.count),
        fleet_auditor_(scenario_),
        sharing_auditor_(scenario_,
                         [this](std::size_t from, std::size_t to) {
                           return fleet_auditor_.Joined(from, to, context_.Now());
                         }),
        supervisor_(context_, options.forwarder, options.out, prefix_,
                    {.discovery = [this](std::size_t f) { return agents_[f]->address(); },
                     .known = [this](std::size_t f) { return agents_[f]->ListJson(); },
                     .sources = [this](std::size_t f) { return SourcesOf(f); },
                     .roster = [this](std::size_t f) { return RosterOf(f); },
                     .line = [this](std::size_t f, const std::string& line) { Line(f, line); },
                     .ready = [this](std::size_t f, const tcp::endpoint& at) { Ready(f, at); },
                     .stopped = [this](std::size_t f, bool planned) { Stopped(f, planned); }}) {
    for (std::size_t f = 0; f < scenario_.forwarders.count; ++f) {
      agents_.push_back(std::make_unique<DiscoveryStub>(
          context_, endpoints_, f, prefix_ + std::to_string(200 + f),
          [this, f](SubmissionId submission, bool deferred, std::optional<Time> wait) {
            Noticed(f, submission, deferred, wait);
          }));
    }
    if (scenario_.by_zones) ServeZones();
    if (scenario_.fleet.on) {
      context_.event_observer = [this](const Event& event) {
        fleet_auditor_.Handle(event);
        sharing_auditor_.Handle(event);
      };
      endpoints_.limit_changed = [this](std::size_t partner, double limit) {
        sharing_auditor_.Limit(partner, limit, context_.Now());
      };
      operator_script_ = std::make_unique<OperatorScript>(
          context_, fleet_auditor_, options_.out,
          OperatorScript::Hooks{
              .runs = [this](std::size_t f) { return state_[f] == NodeState::kReady && !closing_; },
              .address = [this](std::size_t f) { return addresses_[f]; },
              .restart =
                  [this](std::size_t f) { Signal(f, FaultKind::kTerminate, milliseconds(300)); },
              .takes_clients = [this](std::size_t f,
                                      bool takes) { clients_.TakesClients(f, takes); }});
      network_ = std::make_unique<FaultInjectingNetwork>(
          context_, prefix_, [this](std::size_t from, std::size_t to, bool cut) {
            fleet_auditor_.Cut(from, to, cut, context_.Now());
          });
    }
  }

  Result Play() {
    const auto wall = std::chrono::steady_clock::now();
    interrupts_.async_wait([this](boost::system::error_code error, int) {
      if (!error) Invalidate("interrupted");
    });
    for (std::size_t f = 0; f < agents_.size(); ++f) supervisor_.Start(f);
    context_.At(kReadyTimeout, [this] {
      if (!began_) Invalidate("the forwarders were not ready within 30 s; see their logs");
    });
    io_.run();
    context_.closed = true;
    Result result;
    result.scenario = scenario_;
    result.seed = options_.seed;
    result.plan_hash = Hash(PlanText(scenario_, plan_));
    result.audit = context_.auditor.Finish(context_.Now());
    fleet_auditor_.Finish(context_.Now(), result.audit);
    sharing_auditor_.Finish(result.audit);
    result.audit.metrics["liar_frames"] =
        network_ ? static_cast<double>(network_->false_frames()) : 0;
    auto& metrics = result.audit.metrics;
    metrics["most_memory_mb"] = supervisor_.max_memory_mb();
    metrics["most_sockets"] = static_cast<double>(supervisor_.max_descriptors());
    result.forwarder_cpu_seconds = supervisor_.cpu_seconds();
    result.client_connections = clients_.max_connections();
    result.late_p99_ms = static_cast<double>(context_.lateness.Quantile(0.99).count()) / 1e3;
    result.late_max_ms = static_cast<double>(context_.lateness.max().count()) / 1e3;
    result.late_share = context_.lateness.count() == 0
                            ? 0
                            : static_cast<double>(context_.late_actions) /
                                  static_cast<double>(context_.lateness.count());
    result.wall_seconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - wall).count();
    SetStatus(result);
    return result;
  }

 private:
  enum class NodeState { kStarting, kReady, kStopping, kDown };

  void Invalidate(std::string because) {
    if (invalid_reason_.empty()) invalid_reason_ = std::move(because);
    io_.stop();
  }

  void SetStatus(Result& result) const {
    bool kept = result.audit.metrics.at("rule_breaks") == 0;
    for (const Expectation& e : scenario_.expectations) {
      const double found = result.audit.metrics.at(e.metric);
      const bool holds = e.comparison == Comparison::kAtLeast  ? found >= e.limit
                         : e.comparison == Comparison::kAtMost ? found <= e.limit
                                                               : found == e.limit;
      result.expectations.push_back({e.text, found, holds});
      kept &= holds;
    }
    result.status = kept ? Result::Status::kPassed : Result::Status::kFailed;
    result.invalid_reason = invalid_reason_;
    if (result.invalid_reason.empty() && result.late_share > scenario_.late_share) {
      std::array<char, 120> text{};
      std::snprintf(text.data(), text.size(),
                    "the cast was late: %.1f %% of its actions by over %" PRId64 " ms",
                    result.late_share * 100, std::int64_t{scenario_.late_by.count() / 1'000'000});
      result.invalid_reason = text.data();
    }
    if (!result.invalid_reason.empty()) result.status = Result::Status::kInvalid;
  }

  // ---- the forwarders ----

  void Ready(std::size_t f, const tcp::endpoint& at) {
    state_[f] = NodeState::kReady;
    addresses_[f] = at;
    clients_.Ready(f, at);
    if (began_) {
      fleet_auditor_.Runs(f, true, context_.Now());
      Event event{.what = Event::What::kReady};
      event.forwarder = f;
      return context_.Emit(std::move(event));
    }
    for (const NodeState state : state_) {
      if (state != NodeState::kReady) return;
    }
    Begin();
  }

  void Stopped(std::size_t f, bool planned) {
    if (!began_) {
      return Invalidate("forwarder " + std::to_string(f) + " ended at its start; see its log");
    }
    state_[f] = NodeState::kDown;
    if (closing_) return;
    clients_.Dead(f);
    if (planned) return;  // the event was emitted when it was signalled
    EmitStopped(f, false);
    supervisor_.Start(f);
  }

  std::string RosterOf(std::size_t f) const {
    return network_ ? network_->WriteRoster(f, options_.out) : "";
  }

  void Line(std::size_t f, const std::string& line) {
    if (!began_ || closing_) return;
    fleet_auditor_.Line(f, line, context_.Now());
    if (operator_script_) operator_script_->Line(line);
  }

  void RequestWork(const FaultAction& action) {
    if (!action.machine.empty()) return operator_script_->RequestWork(action, action.machine);
    for (const std::size_t partner : action.partners) {
      const std::vector<std::size_t> its = endpoints_.Of(partner);
      const std::size_t place = action.endpoint.value_or(0);
      if (place >= its.size()) continue;
      const std::string id = endpoints_.at(its[place]).id;
      fleet_auditor_.SetEndpointNumber(id, its[place]);
      operator_script_->RequestWork(action, id);
    }
  }

  // A stopped process does not react to signals other than SIGKILL, so the front notices the pause
  // only as it would notice a slow process.
  void Pause(const FaultAction& action) {
    for (const std::size_t f : action.forwarders) {
      if (!supervisor_.running(f) || state_[f] != NodeState::kReady) continue;
      supervisor_.Pause(f, true);
      fleet_auditor_.Paused(f, true, context_.Now());
      context_.auditor.Paused(f, true, context_.Now());
      context_.At(action.at + action.lasts, [this, f] {
        supervisor_.Pause(f, false);
        fleet_auditor_.Paused(f, false, context_.Now());
        context_.auditor.Paused(f, false, context_.Now());
      });
    }
  }

  void ReportOutage(const FaultAction& action) {
    const bool outage = action.kind == FaultKind::kShut || action.kind == FaultKind::kSilent ||
                        action.kind == FaultKind::kRefuse || action.kind == FaultKind::kReset;
    if (!outage) return;
    for (const std::size_t partner : action.partners) {
      std::optional<std::size_t> endpoint;
      if (action.endpoint) endpoint = endpoints_.Of(partner)[*action.endpoint];
      sharing_auditor_.Outage(partner, endpoint, true, context_.Now());
      if (action.lasts == Time{}) continue;
      context_.At(action.at + action.lasts, [this, partner, endpoint] {
        sharing_auditor_.Outage(partner, endpoint, false, context_.Now());
      });
    }
  }

  void FillDisk(const FaultAction& action) {
    for (const std::size_t f : action.forwarders) {
      supervisor_.FullDisk(f, true);
      context_.At(action.at + action.lasts, [this, f] { supervisor_.FullDisk(f, false); });
    }
  }

  // Writes the roster files of all forwarders and makes the running ones read them.
  void ChangeRoster(const FaultAction& action) {
    network_->ChangeRoster(action);
    std::optional<std::size_t> left;
    if (!action.machine.empty()) left = NumberOfMachine(action.machine);
    fleet_auditor_.Roster(action.places, left, context_.Now());
    for (std::size_t f = 0; f < state_.size(); ++f) {
      if (f == left) continue;
      static_cast<void>(network_->WriteRoster(f, options_.out));
      if (state_[f] == NodeState::kReady) supervisor_.Hangup(f);
    }
  }

  void EmitStopped(std::size_t f, bool planned) {
    fleet_auditor_.Runs(f, false, context_.Now());
    Event event{.what = Event::What::kStopped};
    event.forwarder = f;
    event.planned = planned;
    context_.Emit(std::move(event));
  }

  void Restart(std::size_t f, Time down) {
    context_.At(context_.Now() + down, [this, f] {
      if (closing_ || supervisor_.running(f)) return;
      state_[f] = NodeState::kStarting;
      supervisor_.Start(f);
    });
  }

  void Signal(std::size_t f, FaultKind kind, Time down) {
    if (!supervisor_.running(f) || state_[f] != NodeState::kReady) return;
    state_[f] = NodeState::kStopping;
    if (kind == FaultKind::kLoseMachine) {
      // Clients submit the pending messages again; the old submissions no longer count.
      clients_.MachineLost(f);
      Event event{.what = Event::What::kMachineLost};
      event.forwarder = f;
      context_.Emit(std::move(event));
    }
    EmitStopped(f, true);
    const auto ended = [this, f, kind, down] {
      if (kind == FaultKind::kLoseMachine) supervisor_.EmptyFolder(f);
      Restart(f, down);
    };
    if (kind == FaultKind::kTerminate || kind == FaultKind::kRoll) {
      supervisor_.Terminate(f, ended);
    } else {
      supervisor_.Kill(f, ended);
    }
  }

  // ---- the name server ----

#ifdef BRASSFRONT_ZONES
  void ServeZones() {
    zones_ = std::make_unique<NameServerStub>(
        context_, endpoints_, prefix_, options_.out,
        [this](std::size_t f, std::size_t endpoint, DiscoveryStub::Phase phase, Time since) {
          asio::post(io_, [this, f, endpoint, phase, since] {
            Event event{.what = Event::What::kEndpointChange};
            event.forwarder = f;
            event.endpoint = endpoint;
            event.draining = phase != DiscoveryStub::Phase::kReady;
            event.since = since;
            context_.Emit(std::move(event));
          });
        });
    for (const auto& agent : agents_) agent->OmitFromAudit();
  }

  std::string SourcesOf(std::size_t f) const { return zones_ ? zones_->SourcesFile(f) : ""; }

  void UpdateZones(std::size_t endpoint, DiscoveryStub::Phase phase) {
    zones_->QueueUpdate(endpoint, phase);
  }

  void InjectNameServerFault(const FaultAction& action) {
    open_faults_.push_back(&action);
    SetFaults();
    context_.At(action.at + action.lasts, [this, &action] {
      std::erase(open_faults_, &action);
      SetFaults();
    });
  }

  void SetFaults() {
    nameserver::Faults faults;
    for (const FaultAction* action : open_faults_) {
      faults.quiet |= action->fault == NameServerFault::kQuiet;
      faults.refuse |= action->fault == NameServerFault::kRefuse;
      faults.garbage |= action->fault == NameServerFault::kGarbage;
      faults.half_transfers |= action->fault == NameServerFault::kHalfTransfers;
      faults.notices &= action->fault != NameServerFault::kLostNotices;
    }
    zones_->SetFaults(faults);
  }

#else
  void ServeZones() { throw std::runtime_error("zones are not built into this program"); }
  std::string SourcesOf(std::size_t) const { return ""; }
  void UpdateZones(std::size_t, DiscoveryStub::Phase) {}
  void InjectNameServerFault(const FaultAction&) {}
#endif

  // ---- schedule ----

  void Begin() {
    began_ = true;
    context_.Begin();
    for (std::size_t f = 0; f < agents_.size(); ++f) fleet_auditor_.Runs(f, true, Time{});
    clients_.Play(plan_);
    if (operator_script_) operator_script_->Begin();
    for (const FaultAction& action : scenario_.actions) {
      context_.At(action.at, [this, &action] { PlayAction(action); });
    }
    Sample();
    Tick(1);
    CheckEnd();
  }

  void PlayAction(const FaultAction& action) {
    switch (action.kind) {
      case FaultKind::kDrain:
      case FaultKind::kReplace:
        return LeaveOrReplace(action);
      case FaultKind::kChurn:
        return Churn(action, 0);
      case FaultKind::kVanish:
        return Vanish(action);
      case FaultKind::kNameServer:
        return InjectNameServerFault(action);
      case FaultKind::kStale:
        stale_delay_ = Time(static_cast<Time::rep>(action.factor * 1e9));
        context_.At(action.at + action.lasts, [this] { stale_delay_ = {}; });
        return;
      case FaultKind::kMoveDiscovery:
        for (std::size_t f = 0; f < agents_.size(); ++f) {
          agents_[f]->Move();
          supervisor_.Reload(f);
        }
        return;
      case FaultKind::kRoll:
        return Roll(action, 0);
      case FaultKind::kTerminate:
      case FaultKind::kKill:
      case FaultKind::kLoseMachine:
        for (const std::size_t f : action.forwarders) Signal(f, action.kind, action.down);
        return;
      case FaultKind::kPause:
        return Pause(action);
      case FaultKind::kFullDisk:
        return FillDisk(action);
      case FaultKind::kWrongPeer:
        return network_->SendFalseReports(action, [this] {
          std::vector<std::string> ids;
          for (std::size_t p = 0; p < scenario_.partners.size(); ++p) {
            for (const std::size_t e : endpoints_.Of(p)) ids.push_back(endpoints_.at(e).id);
          }
          return ids;
        });
      case FaultKind::kRoster:
        return ChangeRoster(action);
      case FaultKind::kCut:
      case FaultKind::kLossy:
      case FaultKind::kSlowLink:
      case FaultKind::kFlap:
        return network_->Play(action);
      case FaultKind::kWork:
        return RequestWork(action);
      case FaultKind::kBurst:
      case FaultKind::kClump:
        return;  // part of the plan
      default:
        ReportOutage(action);
        return endpoints_.Play(action);
    }
  }

  // Restarts the forwarders one after another, each after the previous one is ready again.
  void Roll(const FaultAction& action, std::size_t place) {
    if (place >= action.forwarders.size() || closing_) return;
    Signal(action.forwarders[place], FaultKind::kRoll, action.down);
    AwaitReady(action, place);
  }

  void AwaitReady(const FaultAction& action, std::size_t place) {
    context_.At(context_.Now() + milliseconds(50), [this, &action, place] {
      if (state_[action.forwarders[place]] == NodeState::kReady) return Roll(action, place + 1);
      AwaitReady(action, place);
    });
  }

  void LeaveOrReplace(const FaultAction& action) {
    for (const std::size_t partner : action.partners) {
      const std::vector<std::size_t> its = endpoints_.Of(partner);
      const std::size_t place = action.endpoint.value_or(0);
      if (place >= its.size()) continue;
      const std::size_t leaves = its[place];
      endpoints_.at(leaves).gone = true;
      if (action.kind == FaultKind::kReplace) {
        AnnounceToAll(endpoints_.Add(partner).number, DiscoveryStub::Phase::kReady);
      }
      AnnounceToAll(leaves, DiscoveryStub::Phase::kTerminating);
      context_.At(context_.Now() + kDrainTime,
                  [this, leaves] { AnnounceToAll(leaves, DiscoveryStub::Phase::kGone); });
      if (action.kind == FaultKind::kDrain && action.lasts != Time{}) {
        context_.At(action.at + action.lasts, [this, partner] {
          AnnounceToAll(endpoints_.Add(partner).number, DiscoveryStub::Phase::kReady);
        });
      }
    }
  }

  // Removes one endpoint after another without draining, and adds a new one for each.
  void Churn(const FaultAction& action, std::size_t round) {
    const Time now = context_.Now();
    if (now >= action.at + action.lasts || closing_) return;
    const std::size_t partner = action.partners[round % action.partners.size()];
    const std::vector<std::size_t> its = endpoints_.Of(partner);
    if (!its.empty()) {
      endpoints_.at(its.front()).gone = true;
      AnnounceToAll(endpoints_.Add(partner).number, DiscoveryStub::Phase::kReady);
      AnnounceToAll(its.front(), DiscoveryStub::Phase::kGone);
    }
    context_.At(action.at + static_cast<Time::rep>(round + 1) * action.wait.value_or(kChurnPause),
                [this, &action, round] { Churn(action, round + 1); });
  }

  // Removes all endpoints of a partner, and adds as many new ones at the end of the action.
  void Vanish(const FaultAction& action) {
    for (const std::size_t partner : action.partners) {
      const std::vector<std::size_t> its = endpoints_.Of(partner);
      for (const std::size_t leaves : its) {
        endpoints_.at(leaves).gone = true;
        AnnounceToAll(leaves, DiscoveryStub::Phase::kGone);
      }
      context_.At(action.at + action.lasts, [this, partner, count = its.size()] {
        for (std::size_t n = 0; n < count; ++n) {
          AnnounceToAll(endpoints_.Add(partner).number, DiscoveryStub::Phase::kReady);
        }
      });
    }
  }

  void AnnounceToAll(std::size_t endpoint, DiscoveryStub::Phase phase) {
    if (scenario_.by_zones) UpdateZones(endpoint, phase);
    context_.At(context_.Now() + scenario_.discovery_delay + stale_delay_, [this, endpoint, phase] {
      for (const auto& agent : agents_) agent->ApplyChange(endpoint, phase);
    });
  }

  void Noticed(std::size_t f, SubmissionId submission, bool deferred, std::optional<Time> wait) {
    const bool held = context_.auditor.IsPending(submission);
    Event event{.what = Event::What::kNotice};
    event.submission = submission;
    event.forwarder = f;
    event.deferred = deferred;
    event.wait = wait;
    context_.Emit(std::move(event));
    if (submission != kUnknownSubmission && held) clients_.Noticed(submission, deferred, wait);
  }

  void Sample() {
    supervisor_.Sample();
    context_.At(context_.Now() + kSampleInterval, [this] { Sample(); });
  }

  void Tick(int second) {
    if (!options_.progress) return;
    context_.At(seconds(second), [this, second] {
      std::array<char, 160> text{};
      std::snprintf(text.data(), text.size(),
                    "%4d s of %" PRId64 "  handed in %zu  held %zu  late p99 %.1f ms", second,
                    std::int64_t{scenario_.duration.count() / 1'000'000'000},
                    context_.submissions.size(), context_.auditor.pending(),
                    static_cast<double>(context_.lateness.Quantile(0.99).count()) / 1e3);
      options_.progress(text.data());
      Tick(second + 1);
    });
  }

  // The rehearsal ends after the last message's deadline, or when all messages have ended and no
  // more will be submitted.
  void CheckEnd() {
    const Time now = context_.Now();
    const Time last = scenario_.duration + scenario_.message_class.deadline;
    bool all_ready = true;
    for (const NodeState state : state_) all_ready &= state == NodeState::kReady;
    if (now > scenario_.duration && context_.auditor.pending() == 0 && all_ready) {
      ++idle_checks_;
    } else {
      idle_checks_ = 0;
    }
    const bool over =
        now > last + kClosingDelay + seconds(2) || idle_checks_ * kSampleInterval > kClosingDelay;
    if (!over) return context_.At(now + kSampleInterval, [this] { CheckEnd(); });
    closing_ = true;
    if (operator_script_) operator_script_->Close();
    for (std::size_t f = 0; f < agents_.size(); ++f) supervisor_.Terminate(f, nullptr);
    AwaitAllGone();
  }

  void AwaitAllGone() {
    for (std::size_t f = 0; f < agents_.size(); ++f) {
      if (supervisor_.running(f)) {
        return context_.At(context_.Now() + milliseconds(20), [this] { AwaitAllGone(); });
      }
    }
    io_.stop();
  }

  const Scenario scenario_;
  const RunOptions& options_;
  const Plan plan_;
  const std::string prefix_;
  asio::io_context io_;
  RunContext context_;
  EndpointStub endpoints_;
  std::vector<std::unique_ptr<DiscoveryStub>> agents_;
  ClientStub clients_;
  asio::signal_set interrupts_;
  std::vector<NodeState> state_;
  FleetAuditor fleet_auditor_;
  SharingAuditor sharing_auditor_;
  std::unique_ptr<FaultInjectingNetwork> network_;   // null without a fleet
  std::unique_ptr<OperatorScript> operator_script_;  // null without a fleet
  std::vector<tcp::endpoint> addresses_ = std::vector<tcp::endpoint>(scenario_.forwarders.count);
  Time stale_delay_{};
  bool began_ = false, closing_ = false;
  int idle_checks_ = 0;
  std::string invalid_reason_;
#ifdef BRASSFRONT_ZONES
  std::unique_ptr<NameServerStub> zones_;
  std::vector<const FaultAction*> open_faults_;  // active faults of the name server
#endif
  Supervisor supervisor_;
};

}  // namespace

Result Play(const Scenario& scenario, const RunOptions& options) {
  // On the heap, because the members refer to each other by address.
  return std::make_unique<Run>(scenario, options)->Play();
}

}  // namespace brassfront::rehearsal
