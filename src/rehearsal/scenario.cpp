#include "rehearsal/scenario.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <set>
#include <utility>

namespace brassfront::rehearsal {
namespace {

using records::BadRecords;
using records::Fault;
using records::Record;

constexpr std::array<const char*, 31> kActionNames = {
    "slow",  "full",       "shut",         "silent",  "refuse", "reset",          "garble",
    "drain", "churn",      "vanish",       "replace", "stale",  "move-discovery", "terminate",
    "kill",  "roll",       "lose-machine", "burst",   "clump",  "name-server",    "pause",
    "cut",   "lossy",      "slow-link",    "flap",    "work",   "full-disk",      "roster",
    "limit", "wrong-peer", "double"};

constexpr std::array<const char*, 6> kFalseReportNames = {"dead",     "healthy",    "waits",
                                                          "no-limit", "huge-limit", "all"};

constexpr std::array<const char*, 5> kNameServerFaultNames = {"quiet", "refuse", "garbage",
                                                              "half-transfers", "lost-notices"};

constexpr std::size_t kBatchOfBigRetail = 20;
// Slots relative to the mean number that the traffic keeps busy.
constexpr double kSlotsOverBusy = 2.0;
// Default limit on pending messages, in seconds of the traffic.
constexpr double kHeldSeconds = 8;
constexpr std::size_t kMinSlots = 8, kMinHeld = 48;

bool TargetsPartner(FaultKind kind) {
  return kind <= FaultKind::kReplace || kind == FaultKind::kClump || kind == FaultKind::kLimit ||
         kind == FaultKind::kDouble;
}

bool TargetsForwarder(FaultKind kind) {
  return kind == FaultKind::kTerminate || kind == FaultKind::kKill || kind == FaultKind::kRoll ||
         kind == FaultKind::kLoseMachine || kind == FaultKind::kPause ||
         kind == FaultKind::kFullDisk;
}

// Whether the fault affects one endpoint of a partner, or all of them.
bool TargetsEndpoint(FaultKind kind) {
  return TargetsPartner(kind) && kind != FaultKind::kClump && kind != FaultKind::kLimit &&
         kind != FaultKind::kChurn && kind != FaultKind::kVanish;
}

bool NeedsDuration(FaultKind kind) {
  switch (kind) {
    case FaultKind::kBurst:
    case FaultKind::kStale:
    case FaultKind::kDouble:
    case FaultKind::kShut:
    case FaultKind::kFull:
    case FaultKind::kChurn:
    case FaultKind::kVanish:
    case FaultKind::kNameServer:
    case FaultKind::kPause:
    case FaultKind::kFullDisk:
    case FaultKind::kLimit:
    case FaultKind::kWrongPeer:
      return true;
    default:
      return false;
  }
}

bool TargetsLinks(FaultKind kind) { return kind >= FaultKind::kCut && kind <= FaultKind::kFlap; }

class Reader {
 public:
  explicit Reader(const Record& root) : root_(root) {}

  Scenario Read() {
    Scenario s;
    s.name = root_.At("name").Text();
    s.about = root_.At("about").Text();
    s.duration = root_.At("duration").Duration();
    ReadClass(s.message_class);
    ReadMerchants(s.merchants);
    ReadPartners(s.partners);
    const Record& warm_up = root_.At("cold");
    s.warm_up = {warm_up.At("share").Double(), warm_up.At("warm").Duration(),
                 warm_up.At("multiple").Double(), warm_up.At("fall").Duration()};
    ReadClients(s.clients);
    s.notice = root_.At("front").At("notice").Duration();
    s.discovery_delay = root_.At("discovery").At("delay").Duration();
    s.by_zones = root_.At("discovery").At("by").Text() == "zones";
    s.late_by = root_.At("void").At("late").Duration();
    s.late_share = root_.At("void").At("share").Double();
    ReadForwarders(s);
    ReadFleet(s);
    for (const Record& action : root_.At("acts").Items()) ReadAction(action, s);
    for (const Record& line : root_.At("expect").Items()) ReadExpectation(line, s.expectations);
    if (!faults_.empty()) throw BadRecords(std::move(faults_));
    std::stable_sort(s.actions.begin(), s.actions.end(),
                     [](const FaultAction& a, const FaultAction& b) { return a.at < b.at; });
    return s;
  }

 private:
  void Complain(const Record& record, std::string message) {
    if (faults_.size() < records::kMaxFaults) {
      faults_.push_back(record.Complain(std::move(message)));
    }
  }

  void ReadClass(MessageClass& c) {
    const Record& from = root_.At("class");
    c.name = from.At("name").Text();
    const std::string& effect = from.At("effect").Text();
    c.effect = effect == "pure" ? Effect::kPure : effect == "once" ? Effect::kOnce : Effect::kKeyed;
    c.goal = from.At("goal").Duration();
    c.deadline = from.At("deadline").Duration();
    c.late_weight_share = from.At("late_worth").Double();
    if (c.goal > c.deadline) Complain(from.At("goal"), "goal is later than the deadline");
  }

  // Names in the list must be unique.
  template <typename List>
  void CheckName(const Record& name, const List& list) {
    for (const auto& other : list) {
      if (other.name == name.Text()) {
        Complain(name, records::Quote(name.Text()) + " is defined twice");
      }
    }
  }

  void ReadMerchants(std::vector<Merchant>& merchants) {
    double all = 0;
    for (const Record& from : root_.At("merchants").Items()) {
      CheckName(from.At("name"), merchants);
      merchants.push_back({from.At("name").Text(), from.At("share").Double()});
      all += merchants.back().share;
    }
    if (std::abs(all - 1) > 0.01) {
      Complain(root_.At("merchants"),
               "the shares of the merchants add up to " + std::to_string(all) + ", expected 1");
    }
  }

  void ReadPartners(std::vector<Partner>& partners) {
    double weights = 0;
    for (const Record& from : root_.At("partners").Items()) {
      Partner p;
      p.name = from.At("name").Text();
      CheckName(from.At("name"), partners);
      if (p.name == "all") Complain(from.At("name"), "no partner may be named \"all\"");
      p.destination = partners.size() + 1;
      p.kind = from.At("kind").Text();
      p.batch = p.kind == "big-retail" ? kBatchOfBigRetail : 1;
      p.endpoints = static_cast<std::size_t>(from.At("endpoints").Int());
      p.weight = from.At("weight").Double();
      p.pace = from.At("pace").Duration();
      p.spread = from.At("spread").Double();
      p.capacity = from.At("capacity").PerSecond();
      p.wait = from.At("wait").Duration();
      p.queue = from.At("queue").Duration();
      p.connections = static_cast<std::size_t>(from.At("connections").Int());
      p.handshake = from.At("handshake").Duration();
      p.dedup = from.At("dedup").Duration();
      const Record& limit = from.At("limit");
      if (std::holds_alternative<Record::Struct>(limit.form())) {
        p.limit = Limit{limit.At("kind").Text() == "window", limit.At("calls").PerSecond(),
                        limit.At("span").Duration(), limit.At("counts_refused").Bool(),
                        limit.At("told").Double()};
      }
      weights += p.weight;
      partners.push_back(std::move(p));
    }
    if (weights <= 0) Complain(root_.At("partners"), "no partner has a weight above 0");
  }

  void ReadClients(Clients& c) {
    const Record& from = root_.At("clients");
    c.rate = from.At("rate").PerSecond();
    c.clumps = from.At("clumps").Double();
    c.clump = from.At("clump").Duration();
    c.retries = static_cast<std::size_t>(from.At("retries").Int());
    c.pause = from.At("pause").Duration();
    c.heed_waits = from.At("heed_waits").Bool();
    c.answer_within = from.At("answer_within").Duration();
    c.body = static_cast<std::size_t>(from.At("body").Bytes());
    c.skew = from.At("skew").Double();
  }

  void ReadForwarders(Scenario& s) {
    const Record& from = root_.At("forwarders");
    Forwarders& f = s.forwarders;
    f.count = static_cast<std::size_t>(from.At("count").Int());
    f.memory = static_cast<std::size_t>(from.At("memory").Bytes());
    f.sockets = static_cast<std::size_t>(from.At("sockets").Int());
    f.disk = static_cast<std::size_t>(from.At("disk").Bytes());
    f.slots = static_cast<std::size_t>(from.At("slots").Int());
    f.held = static_cast<std::size_t>(from.At("held").Int());
    double weights = 0, busy = 0;
    for (const Partner& p : s.partners) weights += p.weight;
    for (const Partner& p : s.partners) {
      busy += weights > 0 ? p.weight / weights * std::chrono::duration<double>(p.pace).count() : 0;
    }
    const double even = s.clients.rate / static_cast<double>(f.count);
    const double each = std::max(even, s.clients.skew * s.clients.rate);
    if (f.slots == 0) {
      f.slots =
          std::max(kMinSlots, static_cast<std::size_t>(std::ceil(each * busy * kSlotsOverBusy)));
    }
    if (f.held == 0) f.held = std::max(kMinHeld, static_cast<std::size_t>(each * kHeldSeconds));
  }

  void ReadFleet(Scenario& s) {
    const Record& from = root_.At("fleet");
    FleetSettings& f = s.fleet;
    f.on = from.At("on").Bool();
    for (const Record& hall : from.At("halls").Items()) f.zones.push_back(hall.Text());
    f.voters = static_cast<std::size_t>(from.At("voters").Int());
    f.out_in_all = static_cast<std::size_t>(from.At("out").At("all").Int());
    f.out_in_hall = static_cast<std::size_t>(from.At("out").At("hall").Int());
    for (const char* name : {"probe", "answer", "suspicion"}) {
      const auto ms = from.At(name).Duration().count() / 1'000'000;
      f.timings += std::string(name) + ": " + std::to_string(ms) + "ms\n";
    }
    const Record& sharing = from.At("sharing");
    f.limits = f.on && sharing.At("limits").Bool();
    f.verdicts = f.on && sharing.At("verdicts").Bool();
    f.term = sharing.At("term").Duration();
    f.burst = sharing.At("burst").Duration();
    f.kept = sharing.At("kept").Duration();
    f.drift = sharing.At("drift").Double();
    f.floor = sharing.At("floor").Double();
    f.election = from.At("election").Duration();
    f.timings += "election: " + std::to_string(f.election.count() / 1'000'000) + "ms\n";
    if (f.on && s.forwarders.count < 3) {
      Complain(root_.At("forwarders").At("count"), "a fleet needs at least 3 forwarders");
    }
  }

  void ReadLinks(const Record& from, const Scenario& s, FaultAction& action) {
    if (!s.fleet.on) {
      Complain(from, std::string(ToString(action.kind)) + " needs `fleet: on: true`");
    }
    const auto read = [&](const char* name, std::vector<std::size_t>& into) {
      const Record* group = from.Find(name);
      if (group == nullptr) return;
      for (const Record& number : group->Items()) {
        into.push_back(static_cast<std::size_t>(number.Int()));
        if (into.back() < s.forwarders.count) continue;
        Complain(number,
                 "there are " + std::to_string(s.forwarders.count) + " forwarders, counted from 0");
      }
    };
    read("from", action.from);
    read("to", action.to);
    if (action.from.empty()) Complain(from, std::string(ToString(action.kind)) + " needs `from`");
    if (action.to.empty()) {
      for (std::size_t i = 0; i < s.forwarders.count; ++i) {
        if (std::find(action.from.begin(), action.from.end(), i) == action.from.end()) {
          action.to.push_back(i);
        }
      }
    }
    action.both_ways = from.At("both").Bool();
    action.loss = from.At("loss").Double();
    action.duplicate_share = from.At("twice").Double();
    action.delay = from.At("delay").Duration();
    action.jitter = from.At("jitter").Duration();
    action.rate = static_cast<double>(from.At("rate").Bytes());
    action.period = from.At("period").Duration();
    if (action.lasts == Time{}) Complain(from, std::string(ToString(action.kind)) + " needs `for`");
  }

  template <typename List>
  std::optional<std::size_t> FindByName(const Record& name, const List& list, const char* what) {
    std::vector<std::string> known;
    for (std::size_t i = 0; i < list.size(); ++i) {
      if (list[i].name == name.Text()) return i;
      known.push_back(list[i].name);
    }
    const std::string near = records::Nearest(name.Text(), known);
    Complain(name, std::string("no ") + what + " " + records::Quote(name.Text()) +
                       (near.empty() ? "" : ", did you mean " + near + "?"));
    return std::nullopt;
  }

  void ReadAction(const Record& from, Scenario& s) {
    FaultAction action;
    const std::string& name = from.At("do").Text();
    const auto it = std::find(kActionNames.begin(), kActionNames.end(), name);
    action.kind = static_cast<FaultKind>(it - kActionNames.begin());
    action.at = from.At("at").Duration();
    action.lasts = from.At("for").Duration();
    action.factor = from.At("factor").Double();
    action.down = from.At("down").Duration();
    if (const Record* wait = from.Find("wait")) action.wait = wait->Duration();
    if (action.at >= s.duration) Complain(from.At("at"), "after the end of the scenario");
    CheckTargets(from, action.kind);
    if (action.kind == FaultKind::kNameServer) ReadNameServerFault(from, s, action);
    const bool work = action.kind == FaultKind::kWork;
    const Record* partner = from.Find("partner");
    if (work) ReadWork(from, partner, s, action);
    if (action.kind == FaultKind::kRoster) ReadRoster(from, s, action);
    if (action.kind == FaultKind::kWrongPeer) ReadWrongPeer(from, s, action);
    if (TargetsPartner(action.kind) || (work && partner != nullptr)) ReadPartners(from, s, action);
    ReadEndpoint(from, s, action);
    if (TargetsForwarder(action.kind) || work) {
      ReadForwarderTargets(from, from.Find("forwarder"), s, action);
    }
    if (TargetsLinks(action.kind)) ReadLinks(from, s, action);
    const Record* merchant = from.Find("merchant");
    if (merchant != nullptr) action.merchant = FindByName(*merchant, s.merchants, "merchant");
    if (action.kind == FaultKind::kBurst && merchant == nullptr) {
      Complain(from, "burst needs a merchant");
    }
    if (NeedsDuration(action.kind) && action.lasts == Time{}) Complain(from, name + " needs `for`");
    s.actions.push_back(std::move(action));
  }

  // Rejects targets that the kind of action does not use.
  void CheckTargets(const Record& from, FaultKind kind) {
    const bool work = kind == FaultKind::kWork;
    const auto allow = [&](const char* field, bool allowed) {
      const Record* given = from.Find(field);
      if (given != nullptr && !allowed) {
        Complain(*given, from.At("do").Text() + " takes no " + field);
      }
    };
    allow("partner", TargetsPartner(kind) || work);
    allow("endpoint", work || TargetsEndpoint(kind));
    allow("fault", kind == FaultKind::kNameServer);
    allow("forwarder", TargetsForwarder(kind) || work);
    allow("merchant", kind == FaultKind::kBurst || kind == FaultKind::kClump);
  }

  void ReadNameServerFault(const Record& from, const Scenario& s, FaultAction& action) {
    const std::string& name = from.At("do").Text();
    const Record* fault = from.Find("fault");
    if (fault == nullptr) {
      Complain(from, name + " needs a fault");
    } else {
      const auto found =
          std::find(kNameServerFaultNames.begin(), kNameServerFaultNames.end(), fault->Text());
      action.fault = static_cast<NameServerFault>(found - kNameServerFaultNames.begin());
    }
    if (!s.by_zones) Complain(from, name + " needs `discovery: by: \"zones\"`");
  }

  void ReadWrongPeer(const Record& from, Scenario& s, FaultAction& action) {
    if (!s.fleet.limits && !s.fleet.verdicts) Complain(from, "wrong-peer needs `fleet: sharing`");
    const auto lie =
        std::find(kFalseReportNames.begin(), kFalseReportNames.end(), from.At("lie").Text());
    action.lie = static_cast<FalseReport>(lie - kFalseReportNames.begin());
    s.fleet.malicious_peer = true;
  }

  // Reads the partners that the action affects: one by name, or all.
  void ReadPartners(const Record& from, const Scenario& s, FaultAction& action) {
    const Record* partner = from.Find("partner");
    if (partner == nullptr) {
      Complain(from, from.At("do").Text() + " needs a partner");
    } else if (partner->Text() == "all") {
      for (std::size_t i = 0; i < s.partners.size(); ++i) action.partners.push_back(i);
    } else if (const auto place = FindByName(*partner, s.partners, "partner")) {
      action.partners.push_back(*place);
    }
  }

  void ReadEndpoint(const Record& from, const Scenario& s, FaultAction& action) {
    const Record* endpoint = from.Find("endpoint");
    if (endpoint == nullptr) return;
    action.endpoint = static_cast<std::size_t>(endpoint->Int());
    for (const std::size_t partner : action.partners) {
      const std::size_t endpoints = s.partners[partner].endpoints;
      if (*action.endpoint < endpoints) continue;
      Complain(*endpoint,
               "the partner has " + std::to_string(endpoints) + " endpoints, counted from 0");
    }
  }

  void ReadWork(const Record& from, const Record* partner, const Scenario& s, FaultAction& action) {
    if (!s.fleet.on) Complain(from, "work needs `fleet: on: true`");
    const Record* machine = from.Find("machine");
    if ((machine == nullptr) == (partner == nullptr)) {
      return Complain(from, "work needs either a machine or a partner with its endpoint");
    }
    action.stay = from.At("stay").Duration();
    action.restart = from.At("restart").Bool();
    if (machine == nullptr) return;
    action.machine = machine->Text();
    bool known = action.machine == "all" || IsMachine(action.machine, s);
    for (const std::string& hall : s.fleet.zones) known |= action.machine == "hall:" + hall;
    if (!known) Complain(*machine, "no machine " + records::Quote(action.machine));
  }

  static bool IsMachine(const std::string& name, const Scenario& s) {
    for (std::size_t f = 0; f < s.forwarders.count; ++f) {
      if (name == "n" + std::to_string(f)) return true;
    }
    return false;
  }

  void ReadRoster(const Record& from, const Scenario& s, FaultAction& action) {
    if (!s.fleet.on) Complain(from, "roster needs `fleet: on: true`");
    action.places = static_cast<std::size_t>(from.At("places").Int());
    const Record* machine = from.Find("machine");
    if ((action.places == 0) == (machine == nullptr)) {
      return Complain(from, "roster needs either `places` or a machine to take out of it");
    }
    if (machine == nullptr) return;
    action.machine = machine->Text();
    if (!IsMachine(action.machine, s)) {
      Complain(*machine, "no machine " + records::Quote(action.machine));
    }
  }

  void ReadForwarderTargets(const Record& from, const Record* named, const Scenario& s,
                            FaultAction& action) {
    const std::size_t count = s.forwarders.count;
    if (named != nullptr) {
      action.forwarders.push_back(static_cast<std::size_t>(named->Int()));
      if (action.forwarders[0] >= count) {
        Complain(*named, "there are " + std::to_string(count) + " forwarders, counted from 0");
      }
      return;
    }
    const auto struck = static_cast<std::size_t>(
        std::floor(from.At("forwarders").Double() * static_cast<double>(count) + 0.5));
    for (std::size_t i = 0; i < std::max<std::size_t>(1, struck); ++i) {
      action.forwarders.push_back(i);
    }
  }

  void ReadExpectation(const Record& line, std::vector<Expectation>& into) {
    Expectation e;
    e.text = line.Text();
    e.at = line.at();
    const std::size_t sign = e.text.find_first_of("<>=");
    const std::size_t end_of_name = e.text.find_first_of(" <>=");
    e.metric = e.text.substr(0, end_of_name);
    const auto& known = MetricNames();
    if (std::find(known.begin(), known.end(), e.metric) == known.end()) {
      const std::string near = records::Nearest(e.metric, known);
      std::string list;
      for (const std::string& name : known) list += " " + name;
      return Complain(line,
                      "expected a metric, found " + records::Quote(e.metric) +
                          (near.empty() ? "; metrics are" + list : ", did you mean " + near + "?"));
    }
    const std::string_view rest =
        sign == std::string::npos ? "" : std::string_view(e.text).substr(sign);
    const std::string_view relation = rest.substr(0, 2);
    e.comparison = relation == ">="   ? Comparison::kAtLeast
                   : relation == "<=" ? Comparison::kAtMost
                                      : Comparison::kEqual;
    if (relation != ">=" && relation != "<=" && relation != "==") {
      return Complain(line, "expected >=, <= or == after " + e.metric);
    }
    std::string_view number = rest.substr(2);
    while (!number.empty() && number.front() == ' ') number.remove_prefix(1);
    const auto [stop, error] =
        std::from_chars(number.data(), number.data() + number.size(), e.limit);
    if (error != std::errc() || stop != number.data() + number.size() || !std::isfinite(e.limit)) {
      return Complain(line, "expected a number after " + std::string(relation));
    }
    into.push_back(std::move(e));
  }

  const Record& root_;
  std::vector<Fault> faults_;
};

}  // namespace

const std::vector<std::string>& MetricNames() {
  static const std::vector<std::string> kNames = {"service",        "whole",
                                                  "worst_10s",      "worst_merchant",
                                                  "rule_breaks",    "lost",
                                                  "delivered",      "refused",
                                                  "failed",         "refusals_above_limit",
                                                  "attempts_each",  "late_share",
                                                  "p50_ms",         "p99_ms",
                                                  "unheard_share",  "most_memory_mb",
                                                  "most_sockets",   "crashes",
                                                  "applied_twice",  "removals",
                                                  "removed_p50_ms", "removed_p99_ms",
                                                  "removed_max_ms", "wrong_deaths",
                                                  "settled_ms",     "works_back",
                                                  "works_open",     "works_s",
                                                  "most_out",       "noticed_ms",
                                                  "unnoticed",      "returned_calls",
                                                  "over_limit",     "over_bound",
                                                  "over_share",     "stale_calls",
                                                  "liar_frames"};
  return kNames;
}

const char* ToString(FaultKind kind) { return kActionNames[static_cast<std::size_t>(kind)]; }

Scenario ReadScenario(std::string_view text, const std::string& file) {
  const Record root = records::Load({text, file}, {ScenarioSchema(), "scenario"}, "#Scenario");
  return Reader(root).Read();
}

}  // namespace brassfront::rehearsal
