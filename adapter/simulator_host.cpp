#include "simulator_host.hpp"

#include <istream>
#include <ostream>

namespace dispatch_policy::simulator {
namespace {

// Maximum number of classes or tenants in one START line; a higher number can only be a mistake.
constexpr std::uint64_t kMaxCount = 4096;

std::string FieldPath(const char* list, std::size_t i, const char* leaf) {
  return std::string(list) + "." + std::to_string(i) + "." + leaf;
}

std::size_t ParseCount(std::string_view path, const Line& line) {
  const std::uint64_t count = line.UnsignedOr(path, 0);
  if (count > kMaxCount) throw WireError("a count out of range: " + std::string(path));
  return count;
}

Effect ParseEffect(std::string_view text) {
  if (text == "pure") return Effect::kIdempotent;
  if (text == "token") return Effect::kIdempotentWithKey;
  if (text == "side_effect") return Effect::kNotIdempotent;
  throw WireError("unknown effect: '" + std::string(text) + "'");
}

ClassSettings ParseClass(const Line& line, std::size_t i) {
  ClassSettings message_class;
  message_class.latency_objective = line.TimeOr(FieldPath("classes", i, "goal-time"), Duration{});
  message_class.deadline = line.TimeOr(FieldPath("classes", i, "hard-limit"), Duration{});
  message_class.effect = ParseEffect(line.TextOr(FieldPath("classes", i, "effect"), "side_effect"));
  message_class.dedup_scope = line.TextOr(FieldPath("classes", i, "key-scope"), "all") == "all"
                                  ? DedupScope::kDestination
                                  : DedupScope::kZone;
  message_class.dedup_window = line.TimeOr(FieldPath("classes", i, "dedup-window"), Duration{});
  message_class.priority_weight =
      line.NumberOr(FieldPath("classes", i, "worth"), message_class.priority_weight);
  message_class.late_weight_share =
      line.NumberOr(FieldPath("classes", i, "late-worth"), message_class.late_weight_share);
  message_class.ordered = line.FlagOr(FieldPath("classes", i, "sequential"), message_class.ordered);
  return message_class;
}

std::vector<KindSettings> ParseKinds(const Line& line) {
  std::vector<KindSettings> kinds;
  const std::string_view max_batches = line.TextOr("family-info.bundle-max", "");
  const std::string_view own_limits = line.TextOr("family-info.own-limits", "");
  if (!max_batches.empty()) {
    for (std::string_view text : Split(max_batches, ',')) {
      kinds.emplace_back().max_batch = ParseUnsigned(text);
    }
  }
  if (!own_limits.empty()) {
    const std::vector<std::string_view> flags = Split(own_limits, ',');
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

void AppendField(std::string& out, const char* name, std::string_view value) {
  out.append("\t").append(name).append("=").append(value);
}

void AppendField(std::string& out, const char* name, std::uint64_t value) {
  AppendField(out, name, std::to_string(value));
}

void AppendField(std::string& out, const char* name, Duration value) {
  AppendField(out, name, std::to_string(value.count()));
}

}  // namespace

Settings ParseSettings(const Line& line) {
  Settings settings;
  const std::size_t classes = ParseCount("classes.count", line);
  for (std::size_t i = 0; i < classes; ++i) settings.classes.push_back(ParseClass(line, i));
  settings.kinds = ParseKinds(line);
  for (std::string_view penalty : Split(line.TextOr("family-info.toll", ""), ',')) {
    if (!penalty.empty()) settings.zone_penalty.push_back(ParseNumber(penalty));
  }
  const std::size_t tenants = ParseCount("realms.count", line);
  for (std::size_t i = 0; i < tenants; ++i) {
    settings.tenants.push_back({line.NumberOr(FieldPath("realms", i, "quota-rps"), 0)});
  }
  settings.decay =
      line.TextOr("family-info.loses-worth", "line") == "halves" ? Decay::kHalving : Decay::kLinear;
  const std::string_view weights = line.TextOr("weight-source", "none");
  if (weights == "nominal") settings.weights = WeightMeaning::kRate;
  if (weights == "rough") settings.weights = WeightMeaning::kApproximateRate;
  settings.over_quota_weight_share =
      line.NumberOr("over-share-worth", settings.over_quota_weight_share);
  settings.max_concurrent_calls = line.UnsignedOr("family-info.workers", 0);
  settings.max_in_flight = line.UnsignedOr("limits.open-cap", 0);
  settings.max_attempts = line.UnsignedOr("limits.max-attempts", 0);
  settings.health_checks_allowed = line.FlagOr("limits.probes", false);
  settings.cancel_allowed = line.FlagOr("limits.may-cancel", false);
  settings.clients_honor_retry_after = line.FlagOr("limits.retry-after", false);
  settings.subscribe_to_endpoint_list = line.TextOr("discovery", "push") == "ask";
  settings.max_retry_after = line.TimeOr("limits.max-retry-after", Duration{});
  settings.decision_interval = line.TimeOr("tick", Duration{});
  settings.slow_start_share = line.NumberOr("rules.cold-share", settings.slow_start_share);
  settings.slow_start_duration = line.TimeOr("rules.cold", Duration{});
  settings.collapse_load_multiple =
      line.NumberOr("rules.fall-multiple", settings.collapse_load_multiple);
  settings.collapse_window = line.TimeOr("rules.fall", Duration{});
  settings.ordering_cooldown = line.TimeOr("rules.settle-after-doubt", Duration{});
  settings.group_size = line.UnsignedOr("group-size", 1);
  return settings;
}

std::uint64_t SimulatorHost::NameTable::FindOrAddId(std::string_view name) {
  const auto [it, added] = ids_.try_emplace(std::string(name), names_.size());
  if (added) names_.emplace_back(name);
  return it->second;
}

SimulatorHost::Instance& SimulatorHost::FindInstance(const Line& line) {
  const auto it = instances_.find(line.Unsigned("who"));
  if (it == instances_.end()) {
    throw WireError("no such instance: " + std::string(line.Text("who")));
  }
  return it->second;
}

bool SimulatorHost::Consume(std::string_view text) {
  if (!in_batch_) {
    if (text.empty()) return false;
    const Line line(text);
    if (line.name() != "FRAME") throw WireError("not a FRAME");
    now_ = line.Time("moment");
    in_batch_ = true;
    return false;
  }
  const Line line(text);
  if (rows_expected_ > 0) {
    ConsumeRow(line);
    return false;
  }
  if (line.name() != "OVER_TO_YOU") {
    ConsumeEvent(line);
    return false;
  }
  WriteReply();
  in_batch_ = false;
  return true;
}

void SimulatorHost::ConsumeRow(const Line& line) {
  if (line.name() != "ROW") throw WireError("not a ROW");
  EndpointRow row;
  row.endpoint = line.Text("endpoint");
  row.entry.destination = line.Unsigned("dest");
  row.entry.kind = line.UnsignedOr("sku", 0);
  row.entry.zone = line.UnsignedOr("hall", 0);
  row.entry.state = ParseState(line.TextOr("lifecycle", "Running"));
  row.entry.weight = line.NumberOr("rating", 1);
  endpoint_pages_[page_].push_back(std::move(row));
  --rows_expected_;
}

void SimulatorHost::RegisterPage(const Line& line) {
  page_ = line.Unsigned("page");
  if (page_ >= endpoint_pages_.size()) {
    throw WireError("a page out of range: " + std::to_string(page_));
  }
  endpoint_pages_[page_].clear();
  rows_expected_ = line.Unsigned("rows-in");
}

void SimulatorHost::StartInstance(const Line& line) {
  Instance instance;
  instance.policy = std::make_unique<DispatchPolicy>(ParseSettings(line), line.Unsigned("seed"));
  instances_.insert_or_assign(line.Unsigned("who"), std::move(instance));
}

void SimulatorHost::AddEndpointList(Instance& instance, const Line& line) {
  EndpointList list;
  list.version = line.UnsignedOr("stamp", 0);
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
    const std::uint64_t page = line.Unsigned("page");
    if (page >= endpoint_pages_.size()) {
      throw WireError("a page out of range: " + std::to_string(page));
    }
    for (const EndpointRow& row : endpoint_pages_[page]) {
      list.entries.push_back(row.entry);
      list.entries.back().endpoint = instance.endpoints.FindOrAddId(row.endpoint);
    }
  }
  instance.events.emplace_back(std::move(list));
}

MessageArrived SimulatorHost::ParseArrival(Instance& instance, const Line& line) {
  MessageArrived event;
  event.message = instance.messages.FindOrAddId(line.Text("call"));
  event.destination = line.Unsigned("terminates-at");
  event.message_class = line.UnsignedOr("band", 0);
  event.tenant = line.UnsignedOr("org", 0);
  event.time_left = line.Time("patience-left");
  event.key = line.TextOr("subject", "");
  return event;
}

AttemptCompleted SimulatorHost::ParseCompletion(Instance& instance, const Line& line) {
  AttemptCompleted event;
  event.message = instance.messages.FindOrAddId(line.Text("call"));
  event.attempt = line.Unsigned("hop");
  event.endpoint = instance.endpoints.FindOrAddId(line.Text("endpoint"));
  event.outcome = ParseOutcome(line.Unsigned("reason"));
  event.elapsed = line.TimeOr("duration", Duration{});
  event.finished = line.FlagOr("over", false);
  if (event.outcome == Outcome::kRejected) {
    event.retry_after = std::chrono::milliseconds(line.UnsignedOr("hold-ms", 0));
  }
  event.report = ParseReport(line.TextOr("pressure", ""));
  return event;
}

HealthCheckCompleted SimulatorHost::ParseHealthCheck(Instance& instance, const Line& line) {
  HealthCheckCompleted event;
  event.endpoint = instance.endpoints.FindOrAddId(line.Text("endpoint"));
  event.outcome = ParseOutcome(line.Unsigned("reason"));
  event.elapsed = line.TimeOr("duration", Duration{});
  event.report = ParseReport(line.TextOr("pressure", ""));
  return event;
}

void SimulatorHost::ConsumeEvent(const Line& line) {
  const std::string_view name = line.name();
  if (name == "REGISTER") return RegisterPage(line);
  if (name == "START") return StartInstance(line);
  Instance& instance = FindInstance(line);
  if (name == "EXIT") {
    instances_.erase(line.Unsigned("who"));
  } else if (name == "DISCOVERY") {
    AddEndpointList(instance, line);
  } else if (name == "REQUEST") {
    instance.events.emplace_back(ParseArrival(instance, line));
  } else if (name == "SETTLED") {
    instance.events.emplace_back(ParseCompletion(instance, line));
  } else if (name == "ABORTED") {
    instance.events.emplace_back(
        MessageCancelled{instance.messages.FindOrAddId(line.Text("call"))});
  } else if (name == "TIMER") {
    instance.events.emplace_back(TimerFired{line.Unsigned("key-back")});
  } else if (name == "HEALTH_RESULT") {
    instance.events.emplace_back(ParseHealthCheck(instance, line));
  } else if (name != "FIRST_BYTE" && name != "DATAGRAM") {  // the policy uses neither
    throw WireError("unknown message: '" + std::string(name) + "'");
  }
}

void SimulatorHost::WriteAction(std::uint64_t who, const Instance& instance, const Action& action) {
  const auto begin = [&](const char* name) {
    reply_.append(name);
    AppendField(reply_, "who", who);
  };
  const auto call = [&](MessageId id) { AppendField(reply_, "call", instance.messages.Name(id)); };
  const auto endpoint = [&](EndpointId id) {
    AppendField(reply_, "endpoint", instance.endpoints.Name(id));
  };
  if (const auto* send = std::get_if<SendAttempt>(&action)) {
    begin("TRY");
    call(send->message);
    endpoint(send->endpoint);
    AppendField(reply_, "max-wait", send->timeout);
  } else if (const auto* reject = std::get_if<RejectMessage>(&action)) {
    begin("REFUSE");
    call(reject->message);
    AppendField(reply_, "pause", reject->retry_after);
  } else if (const auto* fail = std::get_if<FailMessage>(&action)) {
    begin("SURRENDER");
    call(fail->message);
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
    begin("CALL_OFF");
    call(cancel->message);
    AppendField(reply_, "hop", std::uint64_t{cancel->attempt});
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    begin("SET_TIMER");
    AppendField(reply_, "key-back", timer->token);
    AppendField(reply_, "moment", timer->at);
  } else if (const auto* check = std::get_if<StartHealthCheck>(&action)) {
    begin("HEALTH_CHECK");
    endpoint(check->endpoint);
  } else if (std::holds_alternative<SubscribeToEndpointList>(action)) {
    begin("LISTEN");
    AppendField(reply_, "active", std::uint64_t{1});
  } else if (const auto* log = std::get_if<LogMessage>(&action)) {
    begin("PRINT");
    AppendField(reply_, "message", log->text);
  }
  reply_.append("\n");
}

void SimulatorHost::WriteReply() {
  reply_.clear();
  for (auto& [who, instance] : instances_) {
    if (instance.events.empty()) continue;
    for (const Action& action : instance.policy->Decide(now_, instance.events)) {
      WriteAction(who, instance, action);
    }
    instance.events.clear();
  }
  reply_.append("YIELD\n");
}

int Run(std::istream& in, std::ostream& out, std::ostream& errors) {
  SimulatorHost host;
  std::uint64_t number = 0;
  std::string text;
  try {
    while (std::getline(in, text)) {
      ++number;
      if (!text.empty() && text.back() == '\r') text.pop_back();
      if (host.Consume(text)) out << host.reply() << std::flush;
    }
    if (host.in_batch()) throw WireError("the input ends inside a batch");
  } catch (const WireError& error) {
    errors << "policy_simulator: line " << number << ": " << error.what() << std::endl;
    return 1;
  }
  return 0;
}

}  // namespace dispatch_policy::simulator
