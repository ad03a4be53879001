#include "config/config.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <span>

#include "config/json_fields.hpp"
#include "protocol/json.hpp"
#include "spool/file.hpp"
#include "system/error_class.hpp"

namespace brassfront {
namespace {

using json::Value;
using std::chrono::nanoseconds;

constexpr std::size_t kMegabyte = 1'000'000;
constexpr std::size_t kMaxConfigBytes = 4 << 20;
constexpr nanoseconds kDefaultDecisionInterval = std::chrono::milliseconds(5);
constexpr nanoseconds kDefaultConnectionIdle = std::chrono::seconds(15);
constexpr nanoseconds kDefaultConnectTimeout = std::chrono::milliseconds(1500);

// ======== classes, tenants, kinds, zones ========

// A missing or unknown effect counts as not idempotent, so that no message runs twice, and adds a
// warning.
dispatch_policy::Effect ReadEffect(const Value& message_class, std::vector<std::string>& warnings) {
  const std::string effect = TextOr(message_class, "effect", "");
  if (effect == "pure") return dispatch_policy::Effect::kIdempotent;
  if (effect == "token") return dispatch_policy::Effect::kIdempotentWithKey;
  if (effect != "side_effect") {
    warnings.push_back("class " + TextOr(message_class, "name", "?") + ": effect '" + effect +
                       "' is not pure, token or side_effect; using side_effect");
  }
  return dispatch_policy::Effect::kNotIdempotent;
}

dispatch_policy::ClassSettings ReadClass(const Value& message_class,
                                         std::vector<std::string>& warnings) {
  dispatch_policy::ClassSettings settings;
  settings.latency_objective = nanoseconds(message_class.At("goal-time").UnsignedInteger());
  settings.deadline = nanoseconds(message_class.At("hard-limit").UnsignedInteger());
  settings.effect = ReadEffect(message_class, warnings);
  if (TextOr(message_class, "key-scope", "all") == "zone") {
    settings.dedup_scope = dispatch_policy::DedupScope::kZone;
  }
  settings.dedup_window = TimeOr(message_class, "dedup-window", {});
  settings.priority_weight = NumberOr(message_class, "worth", settings.priority_weight);
  settings.late_weight_share = NumberOr(message_class, "late-worth", settings.late_weight_share);
  settings.ordered = BooleanOr(message_class, "sequential", settings.ordered);
  return settings;
}

void ReadClasses(const Value& settings, Config& config) {
  for (const Value& message_class : settings.At("classes").Items()) {
    config.policy_settings.classes.push_back(ReadClass(message_class, config.warnings));
    config.class_names.push_back(message_class.At("name").Text());
  }
  if (config.class_names.empty()) throw ConfigError("settings name no class");
}

void ReadTenants(const Value& settings, Config& config) {
  for (const Value& tenant : ArrayOrEmpty(settings, "realms")) {
    config.policy_settings.tenants.push_back({NumberOr(tenant, "quota-rps", 0)});
    config.tenant_names.push_back(tenant.At("name").Text());
  }
}

std::vector<std::string> ReadNames(const Value& settings, std::string_view field) {
  std::vector<std::string> names;
  for (const Value& name : ArrayOrEmpty(settings, field)) names.push_back(name.Text());
  return names;
}

// Returns as many kinds as the longest of the three lists has.
std::vector<dispatch_policy::KindSettings> ReadKinds(const Value& family, std::size_t named_kinds) {
  const Value::Array& max_batches = ArrayOrEmpty(family, "bundle-max");
  const Value::Array& own_limits = ArrayOrEmpty(family, "own-limits");
  const std::size_t count = std::max({named_kinds, max_batches.size(), own_limits.size()});
  std::vector<dispatch_policy::KindSettings> kinds(count);
  for (std::size_t i = 0; i < max_batches.size(); ++i) {
    kinds[i].max_batch = max_batches[i].UnsignedInteger();
  }
  for (std::size_t i = 0; i < own_limits.size(); ++i) {
    kinds[i].per_endpoint_limits = own_limits[i].Boolean();
  }
  return kinds;
}

// Reads a penalty per zone, or one penalty for all zones. A value that is not from 0 to 1 is
// replaced with 0 and adds a warning.
std::vector<double> ReadZonePenalties(const Value& family, std::size_t zones,
                                      std::vector<std::string>& warnings) {
  const Value* given = family.Find("toll");
  if (given == nullptr) return {};
  std::vector<double> penalties;
  if (given->IsArray()) {
    for (const Value& penalty : given->Items()) penalties.push_back(penalty.Number());
  } else {
    penalties.assign(std::max<std::size_t>(zones, 1), given->Number());
  }
  for (double& penalty : penalties) {
    if (penalty >= 0 && penalty <= 1) continue;
    warnings.push_back("family-info.toll " + std::to_string(penalty) +
                       " is not from 0 to 1; using 0");
    penalty = 0;
  }
  return penalties;
}

void ReadFamily(const Value& settings, Config& config) {
  const Value& family = ObjectOrEmpty(settings, "family-info");
  dispatch_policy::Settings& policy = config.policy_settings;
  policy.kinds = ReadKinds(family, config.kind_names.size());
  policy.zone_penalty = ReadZonePenalties(family, config.zone_names.size(), config.warnings);
  if (TextOr(family, "loses-worth", "line") == "halves") {
    policy.decay = dispatch_policy::Decay::kHalving;
  }
  policy.max_concurrent_calls = UnsignedIntegerOr(family, "workers", 0);
}

// ======== limits and rules ========

void ReadPolicyLimits(const Value& settings, Config& config) {
  const Value& limits = ObjectOrEmpty(settings, "limits");
  dispatch_policy::Settings& policy = config.policy_settings;
  policy.max_in_flight = UnsignedIntegerOr(limits, "open-cap", 0);
  policy.max_attempts = UnsignedIntegerOr(limits, "max-attempts", 0);
  policy.health_checks_allowed = BooleanOr(limits, "probes", false);
  policy.cancel_allowed = BooleanOr(limits, "may-cancel", false);
  policy.clients_honor_retry_after = BooleanOr(limits, "retry-after", false);
  policy.max_retry_after = TimeOr(limits, "max-retry-after", {});
  config.connection_idle_timeout = TimeOr(limits, "conn-idle", kDefaultConnectionIdle);
  config.connect_timeout = TimeOr(limits, "connect-timeout", kDefaultConnectTimeout);
}

void ReadRules(const Value& settings, dispatch_policy::Settings& policy) {
  const Value& rules = ObjectOrEmpty(settings, "rules");
  policy.slow_start_share = NumberOr(rules, "cold-share", policy.slow_start_share);
  policy.slow_start_duration = TimeOr(rules, "cold", {});
  policy.collapse_load_multiple = NumberOr(rules, "fall-multiple", policy.collapse_load_multiple);
  policy.collapse_window = TimeOr(rules, "fall", {});
  policy.ordering_cooldown = TimeOr(rules, "settle-after-doubt", {});
}

// Reads the settings that are in no group.
void ReadGeneral(const Value& settings, dispatch_policy::Settings& policy) {
  const std::string weights = TextOr(settings, "weight-source", "none");
  if (weights == "nominal") policy.weights = dispatch_policy::WeightMeaning::kRate;
  if (weights == "rough") policy.weights = dispatch_policy::WeightMeaning::kApproximateRate;
  policy.over_quota_weight_share =
      NumberOr(settings, "over-share-worth", policy.over_quota_weight_share);
  policy.subscribe_to_endpoint_list = TextOr(settings, "discovery", "push") == "ask";
  policy.decision_interval = TimeOr(settings, "tick", kDefaultDecisionInterval);
  policy.group_size = UnsignedIntegerOr(settings, "group-size", 1);
}

void ReadSettings(const Value& settings, Config& config) {
  ReadClasses(settings, config);
  ReadTenants(settings, config);
  config.kind_names = ReadNames(settings, "shapes");
  config.zone_names = ReadNames(settings, "zones");
  ReadFamily(settings, config);
  ReadGeneral(settings, config.policy_settings);
  ReadPolicyLimits(settings, config);
  ReadRules(settings, config.policy_settings);
}

// ======== keys ========

using KeyNames = std::span<const std::string_view>;

constexpr auto kTopLevelKeys = std::to_array<std::string_view>(
    {"name", "listen", "discovery", "seed", "limits", "known", "settings", "admin"});
constexpr auto kSettingsKeys = std::to_array<std::string_view>(
    {"classes", "realms", "shapes", "zones", "family-info", "limits", "rules", "weight-source",
     "over-share-worth", "discovery", "tick", "group-size"});

// Records the hash of the value of each key of the object, and the keys that are unknown.
void RecordKeys(const Value& object, const std::string& prefix, KeyNames known, Config& config) {
  const auto* const members = std::get_if<Value::Object>(&object.data());
  if (members == nullptr) return;
  for (const auto& [key, value] : *members) {
    const std::string path = prefix + key;
    config.value_hashes[path] = HashValue(value);
    const bool is_known = std::find(known.begin(), known.end(), key) != known.end();
    if (!is_known) config.unknown_keys.push_back(path);
  }
}

// ======== the forwarder's own fields ========

std::uint64_t ParseSeed(const std::string& text) {
  std::uint64_t seed = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, seed, 16);
  if (text.empty() || error != std::errc() || stop != end) {
    throw ConfigError("the seed is not a hexadecimal number");
  }
  return seed;
}

Limits ReadLimits(const Value& limits) {
  return {.memory_bytes = limits.At("memory_mb").UnsignedInteger() * kMegabyte,
          .sockets = limits.At("sockets").UnsignedInteger(),
          .disk_bytes = limits.At("disk_mb").UnsignedInteger() * kMegabyte};
}

}  // namespace

Config ParseConfig(std::string_view text) {
  try {
    const Value file = json::Parse(text, {.bytes = kMaxConfigBytes});
    Config config;
    config.name = file.At("name").Text();
    config.listen = file.At("listen").Text();
    config.discovery = file.At("discovery").Text();
    config.admin = TextOr(file, "admin", "");
    config.seed = ParseSeed(file.At("seed").Text());
    config.limits = ReadLimits(file.At("limits"));
    config.known_endpoints = ReadMemberList(file.At("known"));
    config.known_endpoints.source = ListSource::kConfiguration;
    ReadSettings(file.At("settings"), config);
    RecordKeys(file, "", kTopLevelKeys, config);
    RecordKeys(file.At("settings"), "settings.", kSettingsKeys, config);
    config.value_hashes.erase("settings");  // the hashes of its keys are recorded individually
    return config;
  } catch (const json::Error& error) {
    throw ConfigError(error.what());
  }
}

std::vector<std::string> ChangedKeys(const Config& before, const Config& after) {
  std::vector<std::string> changed;
  for (const auto& [key, hash] : after.value_hashes) {
    const auto old = before.value_hashes.find(key);
    if (old == before.value_hashes.end() || old->second != hash) changed.push_back(key);
  }
  for (const auto& [key, hash] : before.value_hashes) {
    if (!after.value_hashes.contains(key)) changed.push_back(key);
  }
  return changed;
}

Config LoadConfig(const std::string& path) {
  const File file = File::OpenToRead(path);
  const auto size = file.is_open() ? file.Size() : std::nullopt;
  const auto text = size ? file.Read(0, *size) : std::nullopt;
  if (!text) {
    const int error = errno;
    const std::string what = "cannot read " + path + ": " + std::strerror(error);
    if (IsTransient(SystemCall::kStorage, error)) throw ConfigUnreadable(what);
    throw ConfigError(what);
  }
  try {
    return ParseConfig(*text);
  } catch (const ConfigError& error) {
    throw ConfigError(path + ": " + error.what());
  }
}

}  // namespace brassfront
