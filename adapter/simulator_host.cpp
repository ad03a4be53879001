#include "simulator_host.hpp"

#include <istream>
#include <ostream>

namespace dispatch_policy::simulator {
namespace {

std::string Path(const char* list, std::size_t i, const char* leaf) {
  return std::string(list) + "." + std::to_string(i) + "." + leaf;
}

std::size_t CountOf(std::string_view path, const Line& line) {
  const std::uint64_t count = line.WholeOr(path, 0);
  if (count > 4096) throw WireError("a count out of range: " + std::string(path));
  return count;
}

Effect ParseEffect(std::string_view text) {
  if (text == "pure") return Effect::kIdempotent;
  if (text == "token") return Effect::kIdempotentWithKey;
  if (text == "side_effect") return Effect::kNotIdempotent;
  throw WireError("unknown effect: '" + std::string(text) + "'");
}

ClassSettings ParseClass(const Line& line, std::size_t i) {
  ClassSettings c;
  c.latency_objective = line.TimeOr(Path("classes", i, "goal-time"), Duration{});
  c.deadline = line.TimeOr(Path("classes", i, "hard-limit"), Duration{});
  c.effect = ParseEffect(line.TextOr(Path("classes", i, "effect"), "side_effect"));
  c.dedup_scope = line.TextOr(Path("classes", i, "key-scope"), "all") == "all"
                      ? DedupScope::kDestination
                      : DedupScope::kZone;
  c.dedup_window = line.TimeOr(Path("classes", i, "dedup-window"), Duration{});
  c.priority_weight = line.NumberOr(Path("classes", i, "worth"), c.priority_weight);
  c.late_weight_share = line.NumberOr(Path("classes", i, "late-worth"), c.late_weight_share);
  c.ordered = line.FlagOr(Path("classes", i, "sequential"), c.ordered);
  return c;
}

std::vector<KindSettings> ParseKinds(const Line& line) {
  std::vector<KindSettings> kinds;
  const std::string_view batches = line.TextOr("family-info.bundle-max", "");
  const std::string_view routes = line.TextOr("family-info.own-limits", "");
  if (!batches.empty()) {
    for (std::string_view text : Split(batches, ',')) {
      kinds.emplace_back().max_batch = ParseWhole(text);
    }
  }
  if (!routes.empty()) {
    const std::vector<std::string_view> flags = Split(routes, ',');
    if (kinds.size() < flags.size()) kinds.resize(flags.size());
    for (std::size_t i = 0; i < flags.size(); ++i) {
      kinds[i].per_endpoint_limits = ParseFlag(flags[i]);
    }
  }
  return kinds;
}

Outcome ParseOutcome(std::uint64_t reason) {
  switch (reason) {
    case 0:
      return Outcome::kDelivered;
    case 255:
      return Outcome::kError;
    case 254:
      return Outcome::kRejected;
    case 253:
      return Outcome::kTimeout;
    case 252:
      return Outcome::kConnectFailed;
    case 251:
      return Outcome::kReset;
    case 250:
      return Outcome::kCancelled;
    case 249:
      return Outcome::kNotSent;
    default:
      throw WireError("a reason out of range: " + std::to_string(reason));
  }
}

LoadReport ParseReport(std::string_view text) {
  LoadReport report;
  if (text.empty() || text == "-") return report;
  for (std::string_view pair : Split(text, ',')) {
    const std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos) {
      throw WireError("no name:value: '" + std::string(pair) + "'");
    }
    const std::string_view name = pair.substr(0, colon);
    if (name == "x0") report.allowance_left = ParseNumber(pair.substr(colon + 1));
    if (name == "x1") report.limit = ParseNumber(pair.substr(colon + 1));
  }
  return report;
}

EndpointState ParseState(std::string_view text) {
  if (text == "Running") return EndpointState::kListed;
  if (text == "Stopping") return EndpointState::kDraining;
  if (text == "Deleted") return EndpointState::kRemoved;
  throw WireError("unknown lifecycle: '" + std::string(text) + "'");
}

void Put(std::string& out, const char* name, std::string_view value) {
  out.append("\t").append(name).append("=").append(value);
}

void Put(std::string& out, const char* name, std::uint64_t value) {
  Put(out, name, std::to_string(value));
}

void Put(std::string& out, const char* name, Duration value) {
  Put(out, name, std::to_string(value.count()));
}

}  // namespace

Settings ParseSettings(const Line& line) {
  Settings s;
  const std::size_t classes = CountOf("classes.count", line);
  for (std::size_t i = 0; i < classes; ++i) s.classes.push_back(ParseClass(line, i));
  s.kinds = ParseKinds(line);
  for (std::string_view toll : Split(line.TextOr("family-info.toll", ""), ',')) {
    if (!toll.empty()) s.zone_penalty.push_back(ParseNumber(toll));
  }
  const std::size_t tenants = CountOf("realms.count", line);
  for (std::size_t i = 0; i < tenants; ++i) {
    s.tenants.push_back({line.NumberOr(Path("realms", i, "quota-rps"), 0)});
  }
  s.decay =
      line.TextOr("family-info.loses-worth", "line") == "halves" ? Decay::kHalving : Decay::kLinear;
  const std::string_view weights = line.TextOr("weight-source", "none");
  if (weights == "nominal") s.weights = WeightMeaning::kRate;
  if (weights == "rough") s.weights = WeightMeaning::kApproximateRate;
  s.over_quota_weight_share = line.NumberOr("over-share-worth", s.over_quota_weight_share);
  s.max_concurrent_calls = line.WholeOr("family-info.workers", 0);
  s.max_in_flight = line.WholeOr("limits.open-cap", 0);
  s.max_attempts = line.WholeOr("limits.max-attempts", 0);
  s.health_checks_allowed = line.FlagOr("limits.probes", false);
  s.cancel_allowed = line.FlagOr("limits.may-cancel", false);
  s.clients_honor_retry_after = line.FlagOr("limits.retry-after", false);
  s.subscribe_to_endpoint_list = line.TextOr("discovery", "push") == "ask";
  s.max_retry_after = line.TimeOr("limits.max-retry-after", Duration{});
  s.decision_interval = line.TimeOr("tick", Duration{});
  s.slow_start_share = line.NumberOr("rules.cold-share", s.slow_start_share);
  s.slow_start_duration = line.TimeOr("rules.cold", Duration{});
  s.collapse_load_multiple = line.NumberOr("rules.fall-multiple", s.collapse_load_multiple);
  s.collapse_window = line.TimeOr("rules.fall", Duration{});
  s.ordering_cooldown = line.TimeOr("rules.settle-after-doubt", Duration{});
  s.group_size = line.WholeOr("group-size", 1);
  return s;
}

std::uint64_t Host::Names::Number(std::string_view name) {
  const auto [it, added] = numbers_.try_emplace(std::string(name), names_.size());
  if (added) names_.emplace_back(name);
  return it->second;
}

Host::Instance& Host::Find(const Line& line) {
  const auto it = instances_.find(line.Whole("who"));
  if (it == instances_.end()) {
    throw WireError("no such instance: " + std::string(line.Text("who")));
  }
  return it->second;
}

bool Host::Take(std::string_view text) {
  if (!in_batch_) {
    if (text.empty()) return false;
    const Line line(text);
    if (line.name() != "FRAME") throw WireError("not a FRAME");
    now_ = line.Time("moment");
    in_batch_ = true;
    return false;
  }
  const Line line(text);
  if (rows_due_ > 0) {
    TakeRow(line);
    return false;
  }
  if (line.name() != "OVER_TO_YOU") {
    TakeEvent(line);
    return false;
  }
  Reply();
  in_batch_ = false;
  return true;
}

void Host::TakeRow(const Line& line) {
  if (line.name() != "ROW") throw WireError("not a ROW");
  Row row;
  row.endpoint = line.Text("endpoint");
  row.entry.destination = line.Whole("dest");
  row.entry.kind = line.WholeOr("sku", 0);
  row.entry.zone = line.WholeOr("hall", 0);
  row.entry.state = ParseState(line.TextOr("lifecycle", "Running"));
  row.entry.weight = line.NumberOr("rating", 1);
  pages_[page_].push_back(std::move(row));
  --rows_due_;
}

void Host::Start(const Line& line) {
  Instance instance;
  instance.choice = std::make_unique<DispatchPolicy>(ParseSettings(line), line.Whole("seed"));
  instances_.insert_or_assign(line.Whole("who"), std::move(instance));
}

void Host::List(Instance& instance, const Line& line) {
  EndpointList list;
  list.version = line.WholeOr("stamp", 0);
  const std::string_view form = line.Text("form");
  if (form == "broken") {
    list.form = ListForm::kFailed;
  } else if (form == "patch") {
    list.form = ListForm::kChanges;
  } else if (form == "whole" || form == "stale_copy") {
    list.form = ListForm::kComplete;
  } else {
    throw WireError("unknown form: '" + std::string(form) + "'");
  }
  if (list.form != ListForm::kFailed) {
    const std::uint64_t page = line.Whole("page");
    if (page >= pages_.size()) throw WireError("a page out of range: " + std::to_string(page));
    for (const Row& row : pages_[page]) {
      list.entries.push_back(row.entry);
      list.entries.back().endpoint = instance.endpoints.Number(row.endpoint);
    }
  }
  instance.events.emplace_back(std::move(list));
}

void Host::TakeEvent(const Line& line) {
  const std::string_view name = line.name();
  if (name == "REGISTER") {
    page_ = line.Whole("page");
    if (page_ >= pages_.size()) throw WireError("a page out of range: " + std::to_string(page_));
    pages_[page_].clear();
    rows_due_ = line.Whole("rows-in");
    return;
  }
  if (name == "START") return Start(line);
  Instance& instance = Find(line);
  if (name == "EXIT") {
    instances_.erase(line.Whole("who"));
  } else if (name == "DISCOVERY") {
    List(instance, line);
  } else if (name == "REQUEST") {
    MessageArrived e;
    e.message = instance.messages.Number(line.Text("call"));
    e.destination = line.Whole("terminates-at");
    e.message_class = line.WholeOr("band", 0);
    e.tenant = line.WholeOr("org", 0);
    e.time_left = line.Time("patience-left");
    e.key = line.TextOr("subject", "");
    instance.events.emplace_back(std::move(e));
  } else if (name == "SETTLED") {
    AttemptCompleted e;
    e.message = instance.messages.Number(line.Text("call"));
    e.attempt = line.Whole("hop");
    e.endpoint = instance.endpoints.Number(line.Text("endpoint"));
    e.outcome = ParseOutcome(line.Whole("reason"));
    e.elapsed = line.TimeOr("duration", Duration{});
    e.finished = line.FlagOr("over", false);
    if (e.outcome == Outcome::kRejected) {
      e.retry_after = std::chrono::milliseconds(line.WholeOr("hold-ms", 0));
    }
    e.report = ParseReport(line.TextOr("pressure", ""));
    instance.events.emplace_back(e);
  } else if (name == "ABORTED") {
    instance.events.emplace_back(MessageCancelled{instance.messages.Number(line.Text("call"))});
  } else if (name == "TIMER") {
    instance.events.emplace_back(TimerFired{line.Whole("key-back")});
  } else if (name == "HEALTH_RESULT") {
    HealthCheckCompleted e;
    e.endpoint = instance.endpoints.Number(line.Text("endpoint"));
    e.outcome = ParseOutcome(line.Whole("reason"));
    e.elapsed = line.TimeOr("duration", Duration{});
    e.report = ParseReport(line.TextOr("pressure", ""));
    instance.events.emplace_back(e);
  } else if (name != "FIRST_BYTE" && name != "DATAGRAM") {  // streams and peer notes: unused
    throw WireError("unknown message: '" + std::string(name) + "'");
  }
}

void Host::Write(std::uint64_t who, const Instance& instance, const Action& action) {
  const auto begin = [&](const char* name) {
    reply_.append(name);
    Put(reply_, "who", who);
  };
  const auto call = [&](MessageId id) { Put(reply_, "call", instance.messages.Name(id)); };
  const auto endpoint = [&](EndpointId id) {
    Put(reply_, "endpoint", instance.endpoints.Name(id));
  };
  if (const auto* send = std::get_if<SendAttempt>(&action)) {
    begin("TRY");
    call(send->message);
    endpoint(send->endpoint);
    Put(reply_, "max-wait", send->timeout);
  } else if (const auto* refuse = std::get_if<RejectMessage>(&action)) {
    begin("REFUSE");
    call(refuse->message);
    Put(reply_, "pause", refuse->retry_after);
  } else if (const auto* surrender = std::get_if<FailMessage>(&action)) {
    begin("SURRENDER");
    call(surrender->message);
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
    begin("CALL_OFF");
    call(cancel->message);
    Put(reply_, "hop", std::uint64_t{cancel->attempt});
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    begin("SET_TIMER");
    Put(reply_, "key-back", timer->token);
    Put(reply_, "moment", timer->at);
  } else if (const auto* probe = std::get_if<StartHealthCheck>(&action)) {
    begin("HEALTH_CHECK");
    endpoint(probe->endpoint);
  } else if (std::holds_alternative<SubscribeToEndpointList>(action)) {
    begin("LISTEN");
    Put(reply_, "active", std::uint64_t{1});
  } else if (const auto* log = std::get_if<LogMessage>(&action)) {
    begin("PRINT");
    Put(reply_, "message", log->text);
  }
  reply_.append("\n");
}

void Host::Reply() {
  reply_.clear();
  for (auto& [who, instance] : instances_) {
    if (instance.events.empty()) continue;
    for (const Action& action : instance.choice->Decide(now_, instance.events)) {
      Write(who, instance, action);
    }
    instance.events.clear();
  }
  reply_.append("YIELD\n");
}

int Run(std::istream& in, std::ostream& out, std::ostream& errors) {
  Host host;
  std::uint64_t number = 0;
  std::string text;
  try {
    while (std::getline(in, text)) {
      ++number;
      if (!text.empty() && text.back() == '\r') text.pop_back();
      if (host.Take(text)) out << host.reply() << std::flush;
    }
    if (host.in_batch()) throw WireError("the input ends inside a batch");
  } catch (const WireError& error) {
    errors << "policy_simulator: line " << number << ": " << error.what() << std::endl;
    return 1;
  }
  return 0;
}

}  // namespace dispatch_policy::simulator
