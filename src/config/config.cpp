#include "config/config.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>

#include "protocol/json.hpp"

namespace brassfront {
namespace {

using json::Value;
using std::chrono::nanoseconds;

constexpr std::size_t kMegabyte = 1'000'000;
constexpr std::size_t kMaxConfigBytes = 4 << 20;

double NumberOr(const Value& in, std::string_view name, double absent) {
  const Value* value = in.Find(name);
  return value == nullptr ? absent : value->Number();
}

std::size_t WholeOr(const Value& in, std::string_view name, std::size_t absent) {
  const Value* value = in.Find(name);
  return value == nullptr ? absent : value->Whole();
}

nanoseconds TimeOr(const Value& in, std::string_view name, nanoseconds absent = {}) {
  return nanoseconds(WholeOr(in, name, static_cast<std::size_t>(absent.count())));
}

bool FlagOr(const Value& in, std::string_view name, bool absent) {
  const Value* value = in.Find(name);
  return value == nullptr ? absent : value->Flag();
}

std::string TextOr(const Value& in, std::string_view name, std::string_view absent) {
  const Value* value = in.Find(name);
  return value == nullptr ? std::string(absent) : value->Text();
}

const Value::Array& ItemsOrNone(const Value& in, std::string_view name) {
  static const Value::Array kNone;
  const Value* value = in.Find(name);
  return value == nullptr ? kNone : value->Items();
}

const Value& GroupOrNone(const Value& in, std::string_view name) {
  static const Value kNone;
  const Value* value = in.Find(name);
  return value == nullptr ? kNone : *value;
}

std::vector<std::string> Names(const Value& in, std::string_view list) {
  std::vector<std::string> names;
  for (const Value& item : ItemsOrNone(in, list)) names.push_back(item.Text());
  return names;
}

// A class whose repeat rule is missing or unknown is taken for one that must never run twice: the
// safe reading, told in `warnings`.
dispatch_policy::ClassSettings ReadClass(const Value& in, std::vector<std::string>& warnings) {
  dispatch_policy::ClassSettings settings;
  settings.latency_objective = nanoseconds(in.At("goal-time").Whole());
  settings.deadline = nanoseconds(in.At("hard-limit").Whole());
  const std::string effect = TextOr(in, "effect", "");
  if (effect == "pure") {
    settings.effect = dispatch_policy::Effect::kIdempotent;
  } else if (effect == "token") {
    settings.effect = dispatch_policy::Effect::kIdempotentWithKey;
  } else if (effect != "side_effect") {
    warnings.push_back("class " + TextOr(in, "name", "?") + ": effect '" + effect +
                       "' is not pure, token or side_effect; it is never repeated");
  }
  if (TextOr(in, "key-scope", "all") == "zone")
    settings.dedup_scope = dispatch_policy::DedupScope::kZone;
  settings.dedup_window = TimeOr(in, "dedup-window");
  settings.priority_weight = NumberOr(in, "worth", settings.priority_weight);
  settings.late_weight_share = NumberOr(in, "late-worth", settings.late_weight_share);
  settings.ordered = FlagOr(in, "sequential", settings.ordered);
  return settings;
}

std::vector<dispatch_policy::KindSettings> ReadKinds(const Value& family, std::size_t count) {
  const Value::Array& batches = ItemsOrNone(family, "bundle-max");
  const Value::Array& own_limits = ItemsOrNone(family, "own-limits");
  std::vector<dispatch_policy::KindSettings> kinds(
      std::max({count, batches.size(), own_limits.size()}));
  for (std::size_t i = 0; i < batches.size(); ++i) kinds[i].max_batch = batches[i].Whole();
  for (std::size_t i = 0; i < own_limits.size(); ++i)
    kinds[i].per_endpoint_limits = own_limits[i].Flag();
  return kinds;
}

// One figure for each zone, or one for all; what is not a number of points from 0 to 1 counts as 0.
std::vector<double> ReadZonePenalties(const Value& family, std::size_t zones,
                                      std::vector<std::string>& warnings) {
  const Value* given = family.Find("toll");
  if (given == nullptr) return {};
  std::vector<double> penalties;
  if (given->IsArray()) {
    for (const Value& item : given->Items()) penalties.push_back(item.Number());
  } else {
    penalties.assign(std::max<std::size_t>(zones, 1), given->Number());
  }
  for (double& penalty : penalties) {
    if (penalty >= 0 && penalty <= 1) continue;
    warnings.push_back("family-info.toll " + std::to_string(penalty) +
                       " is not from 0 to 1; 0 holds");
    penalty = 0;
  }
  return penalties;
}

void ReadSettings(const Value& in, Config& config) {
  dispatch_policy::Settings& policy = config.policy_settings;
  const Value& family = GroupOrNone(in, "family-info");
  const Value& limits = GroupOrNone(in, "limits");
  const Value& rules = GroupOrNone(in, "rules");
  for (const Value& item : in.At("classes").Items()) {
    policy.classes.push_back(ReadClass(item, config.warnings));
    config.class_names.push_back(item.At("name").Text());
  }
  if (policy.classes.empty()) throw ConfigError("settings name no class");
  for (const Value& item : ItemsOrNone(in, "realms")) {
    policy.tenants.push_back({NumberOr(item, "quota-rps", 0)});
    config.tenant_names.push_back(item.At("name").Text());
  }
  config.kind_names = Names(in, "shapes");
  config.zone_names = Names(in, "zones");
  policy.kinds = ReadKinds(family, config.kind_names.size());
  policy.zone_penalty = ReadZonePenalties(family, config.zone_names.size(), config.warnings);
  if (TextOr(family, "loses-worth", "line") == "halves")
    policy.decay = dispatch_policy::Decay::kHalving;
  const std::string weights = TextOr(in, "weight-source", "none");
  if (weights == "nominal") policy.weights = dispatch_policy::WeightMeaning::kRate;
  if (weights == "rough") policy.weights = dispatch_policy::WeightMeaning::kApproximateRate;
  policy.over_quota_weight_share = NumberOr(in, "over-share-worth", policy.over_quota_weight_share);
  policy.max_concurrent_calls = WholeOr(family, "workers", 0);
  policy.max_in_flight = WholeOr(limits, "open-cap", 0);
  policy.max_attempts = WholeOr(limits, "max-attempts", 0);
  policy.health_checks_allowed = FlagOr(limits, "probes", false);
  policy.cancel_allowed = FlagOr(limits, "may-cancel", false);
  policy.clients_honor_retry_after = FlagOr(limits, "retry-after", false);
  policy.subscribe_to_endpoint_list = TextOr(in, "discovery", "push") == "ask";
  policy.max_retry_after = TimeOr(limits, "max-retry-after");
  policy.decision_interval = TimeOr(in, "tick", std::chrono::milliseconds(5));
  policy.slow_start_share = NumberOr(rules, "cold-share", policy.slow_start_share);
  policy.slow_start_duration = TimeOr(rules, "cold");
  policy.collapse_load_multiple = NumberOr(rules, "fall-multiple", policy.collapse_load_multiple);
  policy.collapse_window = TimeOr(rules, "fall");
  policy.ordering_cooldown = TimeOr(rules, "settle-after-doubt");
  policy.group_size = WholeOr(in, "group-size", 1);
  config.connection_idle = TimeOr(limits, "conn-idle", std::chrono::seconds(15));
  config.connect_timeout = TimeOr(limits, "connect-timeout", std::chrono::milliseconds(1500));
}

std::uint64_t ReadSeed(const std::string& text) {
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
    throw ConfigError("the seed is not a hexadecimal number");
  }
  return seed;
}

Limits ReadLimits(const Value& in) {
  Limits limits;
  limits.memory_bytes = in.At("memory_mb").Whole() * kMegabyte;
  limits.sockets = in.At("sockets").Whole();
  limits.disk_bytes = in.At("disk_mb").Whole() * kMegabyte;
  return limits;
}

}  // namespace

Config ParseConfig(std::string_view text) {
  try {
    const Value in = json::Parse(text, {.bytes = kMaxConfigBytes});
    Config config;
    config.name = in.At("name").Text();
    config.listen = in.At("listen").Text();
    config.discovery = in.At("discovery").Text();
    config.seed = ReadSeed(in.At("seed").Text());
    config.limits = ReadLimits(in.At("limits"));
    config.known = ReadMemberList(in.At("known"));
    ReadSettings(in.At("settings"), config);
    return config;
  } catch (const json::Error& error) {
    throw ConfigError(error.what());
  }
}

Config LoadConfig(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw ConfigError("cannot read " + path);
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  try {
    return ParseConfig(text);
  } catch (const ConfigError& error) {
    throw ConfigError(path + ": " + error.what());
  }
}

}  // namespace brassfront
