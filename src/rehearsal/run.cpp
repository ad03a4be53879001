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

#include "rehearsal/agent.hpp"
#include "rehearsal/client_side.hpp"
#include "rehearsal/endpoints.hpp"
#include "rehearsal/fleet_auditor.hpp"
#include "rehearsal/peer_net.hpp"
#include "rehearsal/plan.hpp"
#include "rehearsal/sharing_auditor.hpp"
#include "rehearsal/staff.hpp"
#include "rehearsal/supervisor.hpp"
#ifdef BRASSFRONT_ZONES
#include "rehearsal/zone_side.hpp"
#endif

namespace brassfront::rehearsal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kReadyWithin = seconds(30);
constexpr Time kSampleEvery = milliseconds(250);
constexpr Time kDrainTakes = milliseconds(500);  // from Terminating to Gone
constexpr Time kChurnPause = milliseconds(250);  // where the act names none
constexpr Time kAfterLast = milliseconds(1200);  // for what is decided in the last moment

// 127.x.y. from the process's number, so that rehearsals beside each other keep apart.
std::string LoopbackPrefix() {
  const auto pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(16 + (pid >> 8) % 200) + "." + std::to_string(pid & 255) + ".";
}

// FNV-1a (Fowler, Noll, Vo), for a plan to be told from another.
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
        stage_(io_, scenario_, options.seed),
        endpoints_(stage_, prefix_),
        clients_(stage_),
        interrupts_(io_, SIGINT, SIGTERM),
        state_(scenario.forwarders.count),
        fleet_auditor_(scenario_),
        sharing_auditor_(scenario_,
                         [this](std::size_t from, std::size_t to) {
                           return fleet_auditor_.Joined(from, to, stage_.Now());
                         }),
        supervisor_(stage_, options.forwarder, options.out, prefix_,
                    {.discovery = [this](std::size_t f) { return agents_[f]->address(); },
                     .known = [this](std::size_t f) { return agents_[f]->ListJson(); },
                     .sources = [this](std::size_t f) { return SourcesOf(f); },
                     .roster = [this](std::size_t f) { return RosterOf(f); },
                     .line = [this](std::size_t f, const std::string& line) { Line(f, line); },
                     .ready = [this](std::size_t f, const tcp::endpoint& at) { Ready(f, at); },
                     .stopped = [this](std::size_t f, bool planned) { Stopped(f, planned); }}) {
    for (std::size_t f = 0; f < scenario_.forwarders.count; ++f) {
      agents_.push_back(
          std::make_unique<Agent>(stage_, endpoints_, f, prefix_ + std::to_string(200 + f),
                                  [this, f](PutId put, bool deferred, std::optional<Time> wait) {
                                    Noticed(f, put, deferred, wait);
                                  }));
    }
    if (scenario_.by_zones) ServeZones();
    if (scenario_.fleet.on) {
      stage_.also = [this](const Event& event) {
        fleet_auditor_.Take(event);
        sharing_auditor_.Take(event);
      };
      endpoints_.limit_changed = [this](std::size_t partner, double limit) {
        sharing_auditor_.Limit(partner, limit, stage_.Now());
      };
      staff_ = std::make_unique<Staff>(
          stage_, fleet_auditor_, options_.out,
          Staff::Hooks{
              .runs = [this](std::size_t f) { return state_[f] == NodeState::kReady && !closing_; },
              .address = [this](std::size_t f) { return addresses_[f]; },
              .restart =
                  [this](std::size_t f) { Signal(f, ActKind::kTerminate, milliseconds(300)); },
              .takes_clients = [this](std::size_t f,
                                      bool takes) { clients_.TakesClients(f, takes); }});
      peer_net_ = std::make_unique<PeerNet>(stage_, prefix_,
                                            [this](std::size_t from, std::size_t to, bool cut) {
                                              fleet_auditor_.Cut(from, to, cut, stage_.Now());
                                            });
    }
  }

  Result Play() {
    const auto wall = std::chrono::steady_clock::now();
    interrupts_.async_wait([this](boost::system::error_code error, int) {
      if (!error) Void("interrupted");
    });
    for (std::size_t f = 0; f < agents_.size(); ++f) supervisor_.Start(f);
    stage_.At(kReadyWithin, [this] {
      if (!began_) Void("the forwarders were not ready within 30 s; see their logs");
    });
    io_.run();
    stage_.closed = true;
    Result result;
    result.scenario = scenario_;
    result.seed = options_.seed;
    result.plan_hash = Hash(PlanText(scenario_, plan_));
    result.judgement = stage_.auditor.Finish(stage_.Now());
    fleet_auditor_.Finish(stage_.Now(), result.judgement);
    sharing_auditor_.Finish(result.judgement);
    result.judgement.metrics["liar_frames"] =
        peer_net_ ? static_cast<double>(peer_net_->lies()) : 0;
    auto& metrics = result.judgement.metrics;
    metrics["most_memory_mb"] = supervisor_.most_memory_mb();
    metrics["most_sockets"] = static_cast<double>(supervisor_.most_descriptors());
    result.forwarder_cpu_seconds = supervisor_.cpu_seconds();
    result.client_connections = clients_.most_connections();
    result.late_p99_ms = static_cast<double>(stage_.lateness.Quantile(0.99).count()) / 1e3;
    result.late_max_ms = static_cast<double>(stage_.lateness.max().count()) / 1e3;
    result.late_share = stage_.lateness.count() == 0
                            ? 0
                            : static_cast<double>(stage_.late_actions) /
                                  static_cast<double>(stage_.lateness.count());
    result.wall_seconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - wall).count();
    Judge(result);
    return result;
  }

 private:
  enum class NodeState { kStarting, kReady, kStopping, kDown };

  void Void(std::string because) {
    if (void_because_.empty()) void_because_ = std::move(because);
    io_.stop();
  }

  void Judge(Result& result) const {
    bool kept = result.judgement.metrics.at("rule_breaks") == 0;
    for (const Expectation& e : scenario_.expectations) {
      const double found = result.judgement.metrics.at(e.metric);
      const bool holds = e.sense == Sense::kAtLeast  ? found >= e.limit
                         : e.sense == Sense::kAtMost ? found <= e.limit
                                                     : found == e.limit;
      result.expectations.push_back({e.text, found, holds});
      kept &= holds;
    }
    result.verdict = kept ? Result::Verdict::kKept : Result::Verdict::kBroken;
    result.void_because = void_because_;
    if (result.void_because.empty() && result.late_share > scenario_.late_share) {
      std::array<char, 120> text{};
      std::snprintf(text.data(), text.size(),
                    "the cast was late: %.1f %% of its actions by over %" PRId64 " ms",
                    result.late_share * 100, std::int64_t{scenario_.late_by.count() / 1'000'000});
      result.void_because = text.data();
    }
    if (!result.void_because.empty()) result.verdict = Result::Verdict::kVoid;
  }

  // ---- the forwarders ----

  void Ready(std::size_t f, const tcp::endpoint& at) {
    state_[f] = NodeState::kReady;
    addresses_[f] = at;
    clients_.Ready(f, at);
    if (began_) {
      fleet_auditor_.Runs(f, true, stage_.Now());
      Event event{.what = Event::What::kReady};
      event.forwarder = f;
      return stage_.Emit(std::move(event));
    }
    for (const NodeState state : state_) {
      if (state != NodeState::kReady) return;
    }
    Begin();
  }

  void Stopped(std::size_t f, bool planned) {
    if (!began_) return Void("forwarder " + std::to_string(f) + " ended at its start; see its log");
    state_[f] = NodeState::kDown;
    if (closing_) return;
    clients_.Dead(f);
    if (planned) return;  // told when it was signalled
    TellStopped(f, false);
    supervisor_.Start(f);
  }

  std::string RosterOf(std::size_t f) const {
    return peer_net_ ? peer_net_->WriteRoster(f, options_.out) : "";
  }

  void Line(std::size_t f, const std::string& line) {
    if (!began_ || closing_) return;
    fleet_auditor_.Line(f, line, stage_.Now());
    if (staff_) staff_->Line(line);
  }

  void AskForWork(const Act& act) {
    if (!act.machine.empty()) return staff_->Ask(act, act.machine);
    for (const std::size_t partner : act.partners) {
      const std::vector<std::size_t> its = endpoints_.Of(partner);
      const std::size_t place = act.endpoint.value_or(0);
      if (place >= its.size()) continue;
      const std::string id = endpoints_.at(its[place]).id;
      fleet_auditor_.EndpointIs(id, its[place]);
      staff_->Ask(act, id);
    }
  }

  // A stopped process takes no signal but SIGKILL, so its front finds out as it would of a slow
  // one.
  void Pause(const Act& act) {
    for (const std::size_t f : act.forwarders) {
      if (!supervisor_.running(f) || state_[f] != NodeState::kReady) continue;
      supervisor_.Pause(f, true);
      fleet_auditor_.Paused(f, true, stage_.Now());
      stage_.auditor.Paused(f, true, stage_.Now());
      stage_.At(act.at + act.lasts, [this, f] {
        supervisor_.Pause(f, false);
        fleet_auditor_.Paused(f, false, stage_.Now());
        stage_.auditor.Paused(f, false, stage_.Now());
      });
    }
  }

  void TellOutage(const Act& act) {
    const bool outage = act.kind == ActKind::kShut || act.kind == ActKind::kSilent ||
                        act.kind == ActKind::kRefuse || act.kind == ActKind::kReset;
    if (!outage) return;
    for (const std::size_t partner : act.partners) {
      std::optional<std::size_t> endpoint;
      if (act.endpoint) endpoint = endpoints_.Of(partner)[*act.endpoint];
      sharing_auditor_.Outage(partner, endpoint, true, stage_.Now());
      if (act.lasts == Time{}) continue;
      stage_.At(act.at + act.lasts, [this, partner, endpoint] {
        sharing_auditor_.Outage(partner, endpoint, false, stage_.Now());
      });
    }
  }

  void FillDisk(const Act& act) {
    for (const std::size_t f : act.forwarders) {
      supervisor_.FullDisk(f, true);
      stage_.At(act.at + act.lasts, [this, f] { supervisor_.FullDisk(f, false); });
    }
  }

  // The files of all are written, and all that run read them.
  void ChangeRoster(const Act& act) {
    peer_net_->ChangeRoster(act);
    std::optional<std::size_t> left;
    if (!act.machine.empty()) left = NumberOfMachine(act.machine);
    fleet_auditor_.Roster(act.places, left, stage_.Now());
    for (std::size_t f = 0; f < state_.size(); ++f) {
      if (f == left) continue;
      static_cast<void>(peer_net_->WriteRoster(f, options_.out));
      if (state_[f] == NodeState::kReady) supervisor_.Hangup(f);
    }
  }

  void TellStopped(std::size_t f, bool planned) {
    fleet_auditor_.Runs(f, false, stage_.Now());
    Event event{.what = Event::What::kStopped};
    event.forwarder = f;
    event.planned = planned;
    stage_.Emit(std::move(event));
  }

  void Restart(std::size_t f, Time down) {
    stage_.At(stage_.Now() + down, [this, f] {
      if (closing_ || supervisor_.running(f)) return;
      state_[f] = NodeState::kStarting;
      supervisor_.Start(f);
    });
  }

  void Signal(std::size_t f, ActKind kind, Time down) {
    if (!supervisor_.running(f) || state_[f] != NodeState::kReady) return;
    state_[f] = NodeState::kStopping;
    if (kind == ActKind::kLoseMachine) {
      // Its clients hand in again what it held; nothing of it counts any longer.
      clients_.MachineLost(f);
      Event event{.what = Event::What::kMachineLost};
      event.forwarder = f;
      stage_.Emit(std::move(event));
    }
    TellStopped(f, true);
    const auto ended = [this, f, kind, down] {
      if (kind == ActKind::kLoseMachine) supervisor_.EmptyFolder(f);
      Restart(f, down);
    };
    if (kind == ActKind::kTerminate || kind == ActKind::kRoll) {
      supervisor_.Terminate(f, ended);
    } else {
      supervisor_.Kill(f, ended);
    }
  }

  // ---- the name server ----

#ifdef BRASSFRONT_ZONES
  void ServeZones() {
    zones_ = std::make_unique<ZoneSide>(
        stage_, endpoints_, prefix_, options_.out,
        [this](std::size_t f, std::size_t endpoint, Agent::Phase phase, Time since) {
          asio::post(io_, [this, f, endpoint, phase, since] {
            Event event{.what = Event::What::kTold};
            event.forwarder = f;
            event.endpoint = endpoint;
            event.leaving = phase != Agent::Phase::kReady;
            event.since = since;
            stage_.Emit(std::move(event));
          });
        });
    for (const auto& agent : agents_) agent->TellQuietly();
  }

  std::string SourcesOf(std::size_t f) const { return zones_ ? zones_->SourcesFile(f) : ""; }

  void TellZones(std::size_t endpoint, Agent::Phase phase) { zones_->Tell(endpoint, phase); }

  void SpoilNameServer(const Act& act) {
    open_faults_.push_back(&act);
    SetFaults();
    stage_.At(act.at + act.lasts, [this, &act] {
      std::erase(open_faults_, &act);
      SetFaults();
    });
  }

  void SetFaults() {
    nameserver::Faults faults;
    for (const Act* act : open_faults_) {
      faults.quiet |= act->fault == NameServerFault::kQuiet;
      faults.refuse |= act->fault == NameServerFault::kRefuse;
      faults.garbage |= act->fault == NameServerFault::kGarbage;
      faults.half_transfers |= act->fault == NameServerFault::kHalfTransfers;
      faults.notices &= act->fault != NameServerFault::kLostNotices;
    }
    zones_->SetFaults(faults);
  }

#else
  void ServeZones() { throw std::runtime_error("zones are not built into this program"); }
  std::string SourcesOf(std::size_t) const { return ""; }
  void TellZones(std::size_t, Agent::Phase) {}
  void SpoilNameServer(const Act&) {}
#endif

  // ---- the course of it ----

  void Begin() {
    began_ = true;
    stage_.Begin();
    for (std::size_t f = 0; f < agents_.size(); ++f) fleet_auditor_.Runs(f, true, Time{});
    clients_.Play(plan_);
    if (staff_) staff_->Begin();
    for (const Act& act : scenario_.acts) {
      stage_.At(act.at, [this, &act] { PlayAct(act); });
    }
    Sample();
    Tick(1);
    CheckEnd();
  }

  void PlayAct(const Act& act) {
    switch (act.kind) {
      case ActKind::kDrain:
      case ActKind::kReplace:
        return LeaveOrReplace(act);
      case ActKind::kChurn:
        return Churn(act, 0);
      case ActKind::kVanish:
        return Vanish(act);
      case ActKind::kNameServer:
        return SpoilNameServer(act);
      case ActKind::kStale:
        stale_ = Time(static_cast<Time::rep>(act.factor * 1e9));
        stage_.At(act.at + act.lasts, [this] { stale_ = {}; });
        return;
      case ActKind::kMoveDiscovery:
        for (std::size_t f = 0; f < agents_.size(); ++f) {
          agents_[f]->Move();
          supervisor_.Reload(f);
        }
        return;
      case ActKind::kRoll:
        return Roll(act, 0);
      case ActKind::kTerminate:
      case ActKind::kKill:
      case ActKind::kLoseMachine:
        for (const std::size_t f : act.forwarders) Signal(f, act.kind, act.down);
        return;
      case ActKind::kPause:
        return Pause(act);
      case ActKind::kFullDisk:
        return FillDisk(act);
      case ActKind::kWrongPeer:
        return peer_net_->Lie(act, [this] {
          std::vector<std::string> ids;
          for (std::size_t p = 0; p < scenario_.partners.size(); ++p) {
            for (const std::size_t e : endpoints_.Of(p)) ids.push_back(endpoints_.at(e).id);
          }
          return ids;
        });
      case ActKind::kRoster:
        return ChangeRoster(act);
      case ActKind::kCut:
      case ActKind::kLossy:
      case ActKind::kSlowLink:
      case ActKind::kFlap:
        return peer_net_->Play(act);
      case ActKind::kWork:
        return AskForWork(act);
      case ActKind::kBurst:
      case ActKind::kClump:
        return;  // the plan has them
      default:
        TellOutage(act);
        return endpoints_.Play(act);
    }
  }

  // One after the other, each once the one before is ready again.
  void Roll(const Act& act, std::size_t place) {
    if (place >= act.forwarders.size() || closing_) return;
    Signal(act.forwarders[place], ActKind::kRoll, act.down);
    AwaitReady(act, place);
  }

  void AwaitReady(const Act& act, std::size_t place) {
    stage_.At(stage_.Now() + milliseconds(50), [this, &act, place] {
      if (state_[act.forwarders[place]] == NodeState::kReady) return Roll(act, place + 1);
      AwaitReady(act, place);
    });
  }

  void LeaveOrReplace(const Act& act) {
    for (const std::size_t partner : act.partners) {
      const std::vector<std::size_t> its = endpoints_.Of(partner);
      const std::size_t place = act.endpoint.value_or(0);
      if (place >= its.size()) continue;
      const std::size_t leaves = its[place];
      endpoints_.at(leaves).gone = true;
      if (act.kind == ActKind::kReplace) {
        TellAll(endpoints_.Add(partner).number, Agent::Phase::kReady);
      }
      TellAll(leaves, Agent::Phase::kTerminating);
      stage_.At(stage_.Now() + kDrainTakes,
                [this, leaves] { TellAll(leaves, Agent::Phase::kGone); });
      if (act.kind == ActKind::kDrain && act.lasts != Time{}) {
        stage_.At(act.at + act.lasts, [this, partner] {
          TellAll(endpoints_.Add(partner).number, Agent::Phase::kReady);
        });
      }
    }
  }

  // One endpoint after the other goes without a drain, and a new one comes for it.
  void Churn(const Act& act, std::size_t round) {
    const Time now = stage_.Now();
    if (now >= act.at + act.lasts || closing_) return;
    const std::size_t partner = act.partners[round % act.partners.size()];
    const std::vector<std::size_t> its = endpoints_.Of(partner);
    if (!its.empty()) {
      endpoints_.at(its.front()).gone = true;
      TellAll(endpoints_.Add(partner).number, Agent::Phase::kReady);
      TellAll(its.front(), Agent::Phase::kGone);
    }
    stage_.At(act.at + static_cast<Time::rep>(round + 1) * act.wait.value_or(kChurnPause),
              [this, &act, round] { Churn(act, round + 1); });
  }

  // All of a partner's endpoints go, and as many new ones come at the act's end.
  void Vanish(const Act& act) {
    for (const std::size_t partner : act.partners) {
      const std::vector<std::size_t> its = endpoints_.Of(partner);
      for (const std::size_t leaves : its) {
        endpoints_.at(leaves).gone = true;
        TellAll(leaves, Agent::Phase::kGone);
      }
      stage_.At(act.at + act.lasts, [this, partner, count = its.size()] {
        for (std::size_t n = 0; n < count; ++n) {
          TellAll(endpoints_.Add(partner).number, Agent::Phase::kReady);
        }
      });
    }
  }

  void TellAll(std::size_t endpoint, Agent::Phase phase) {
    if (scenario_.by_zones) TellZones(endpoint, phase);
    stage_.At(stage_.Now() + scenario_.discovery_delay + stale_, [this, endpoint, phase] {
      for (const auto& agent : agents_) agent->Learn(endpoint, phase);
    });
  }

  void Noticed(std::size_t f, PutId put, bool deferred, std::optional<Time> wait) {
    const bool held = stage_.auditor.IsHeld(put);
    Event event{.what = Event::What::kNotice};
    event.put = put;
    event.forwarder = f;
    event.deferred = deferred;
    event.wait = wait;
    stage_.Emit(std::move(event));
    if (put != kUnknownPut && held) clients_.Noticed(put, deferred, wait);
  }

  void Sample() {
    supervisor_.Sample();
    stage_.At(stage_.Now() + kSampleEvery, [this] { Sample(); });
  }

  void Tick(int second) {
    if (!options_.progress) return;
    stage_.At(seconds(second), [this, second] {
      std::array<char, 160> text{};
      std::snprintf(text.data(), text.size(),
                    "%4d s of %" PRId64 "  handed in %zu  held %zu  late p99 %.1f ms", second,
                    std::int64_t{scenario_.duration.count() / 1'000'000'000},
                    stage_.hand_ins.size(), stage_.auditor.held(),
                    static_cast<double>(stage_.lateness.Quantile(0.99).count()) / 1e3);
      options_.progress(text.data());
      Tick(second + 1);
    });
  }

  // It is over once the last message's time is up, or all are ended and nothing more will come.
  void CheckEnd() {
    const Time now = stage_.Now();
    const Time last = scenario_.duration + scenario_.message_class.deadline;
    bool all_ready = true;
    for (const NodeState state : state_) all_ready &= state == NodeState::kReady;
    if (now > scenario_.duration && stage_.auditor.held() == 0 && all_ready) {
      ++quiet_;
    } else {
      quiet_ = 0;
    }
    const bool over = now > last + kAfterLast + seconds(2) || quiet_ * kSampleEvery > kAfterLast;
    if (!over) return stage_.At(now + kSampleEvery, [this] { CheckEnd(); });
    closing_ = true;
    if (staff_) staff_->Close();
    for (std::size_t f = 0; f < agents_.size(); ++f) supervisor_.Terminate(f, nullptr);
    AwaitAllGone();
  }

  void AwaitAllGone() {
    for (std::size_t f = 0; f < agents_.size(); ++f) {
      if (supervisor_.running(f)) {
        return stage_.At(stage_.Now() + milliseconds(20), [this] { AwaitAllGone(); });
      }
    }
    io_.stop();
  }

  const Scenario scenario_;
  const RunOptions& options_;
  const Plan plan_;
  const std::string prefix_;
  asio::io_context io_;
  Stage stage_;
  Endpoints endpoints_;
  std::vector<std::unique_ptr<Agent>> agents_;
  ClientSide clients_;
  asio::signal_set interrupts_;
  std::vector<NodeState> state_;
  FleetAuditor fleet_auditor_;
  SharingAuditor sharing_auditor_;
  std::unique_ptr<PeerNet> peer_net_;  // none without a fleet
  std::unique_ptr<Staff> staff_;       // likewise
  std::vector<tcp::endpoint> addresses_ = std::vector<tcp::endpoint>(scenario_.forwarders.count);
  Time stale_{};
  bool began_ = false, closing_ = false;
  int quiet_ = 0;
  std::string void_because_;
#ifdef BRASSFRONT_ZONES
  std::unique_ptr<ZoneSide> zones_;
  std::vector<const Act*> open_faults_;  // of the name server
#endif
  Supervisor supervisor_;
};

}  // namespace

Result Play(const Scenario& scenario, const RunOptions& options) {
  // On the heap, for the players refer to each other.
  return std::make_unique<Run>(scenario, options)->Play();
}

}  // namespace brassfront::rehearsal
