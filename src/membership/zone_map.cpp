#include "membership/zone_map.hpp"

#include <algorithm>
#include <optional>

namespace brassfront::membership {
namespace {

using dns::Name;
using dns::Zone;
namespace type = dns::type;

constexpr int kMaxAliases = 8;      // length of a chain of aliases
constexpr double kMinWeight = 0.1;  // stands for the "very small chance" of RFC 2782

std::string WithoutEndDot(std::string text) {
  if (text.size() > 1 && text.ends_with('.')) text.pop_back();
  return text;
}

using Attributes = std::map<std::string, std::string>;

// Adds an attribute `key=value` (RFC 1464), with the key in lower case. A word without `=` is
// ignored.
void AddAttribute(std::string_view word, const Name& name, Attributes& attributes,
                  std::vector<std::string>& faults) {
  const auto equals = word.find('=');
  if (equals == std::string_view::npos) return;
  std::string key(word.substr(0, equals));
  for (char& c : key) c = dns::LowerOf(c);
  const std::string value(word.substr(equals + 1));
  const auto [entry, inserted] = attributes.emplace(key, value);
  if (!inserted && entry->second != value) {
    faults.push_back(name.ToText() + " TXT: " + key + " is said in two ways");
  }
}

// Returns the attributes in the TXT records of a name. A character-string may contain several
// words.
Attributes AttributesAt(const Zone& zone, const Name& name, std::vector<std::string>& faults) {
  Attributes attributes;
  const dns::RecordSet* set = zone.Find(name, type::kTxt);
  if (set == nullptr) return attributes;
  for (const std::string& rdata : set->rdatas) {
    for (std::size_t at = 0; at < rdata.size();) {
      const auto length = static_cast<unsigned char>(rdata[at]);
      std::string_view rest = std::string_view(rdata).substr(at + 1, length);
      at += 1u + length;
      while (!rest.empty()) {
        const std::string_view word = rest.substr(0, rest.find(' '));
        rest.remove_prefix(std::min(rest.size(), word.size() + 1));
        AddAttribute(word, name, attributes, faults);
      }
    }
  }
  return attributes;
}

std::string AttributeOr(const Attributes& attributes, const std::string& key,
                        const std::string& absent) {
  const auto found = attributes.find(key);
  return found == attributes.end() ? absent : found->second;
}

std::optional<Phase> PhaseIn(const Attributes& attributes, const Name& name,
                             std::vector<std::string>& faults) {
  const std::string phase = AttributeOr(attributes, "phase", "ready");
  if (phase == "ready") return Phase::kReady;
  if (phase == "drain") return Phase::kTerminating;
  faults.push_back(name.ToText() + " TXT: phase=" + phase + " is neither ready nor drain");
  return std::nullopt;
}

Phase Worse(Phase a, Phase b) { return a == Phase::kReady ? b : a; }

}  // namespace

void ZoneMap::RemoveDependencies(const std::string& key) {
  const auto dependencies = dependencies_.find(key);
  if (dependencies == dependencies_.end()) return;
  for (const std::string& dependency : dependencies->second) {
    const auto dependents = dependents_.find(dependency);
    dependents->second.erase(key);
    if (dependents->second.empty()) dependents_.erase(dependents);
  }
  dependencies_.erase(dependencies);
}

void ZoneMap::AddDependency(const std::string& service_key, const Name& name) {
  dependencies_[service_key].insert(name.Key());
  dependents_[name.Key()].insert(service_key);
}

// Follows aliases from the SRV record's target to its address records. Returns nullptr and adds a
// fault if there are none.
const dns::RecordSet* ZoneMap::AddressesOf(const Zone& zone, const std::string& service_key,
                                           std::uint32_t port, Name& target, Service& service) {
  const std::string target_text = WithoutEndDot(target.Lower().ToText());
  int aliases = 0;
  AddDependency(service_key, target);
  const dns::RecordSet* alias = nullptr;
  while ((alias = zone.Find(target, type::kCname)) != nullptr && ++aliases <= kMaxAliases) {
    target = dns::NameField(type::kCname, alias->rdatas.front(), 0);
    AddDependency(service_key, target);
  }
  const dns::RecordSet* addresses = zone.Find(target, type::kA);
  if (alias == nullptr && addresses != nullptr && port != 0) return addresses;
  std::string why = target_text + " leads out of the zone to " + target.ToText();
  if (target.IsAtOrBelow(zone.origin())) why = target_text + " has no A record";
  if (alias != nullptr) why = target_text + " is an alias without an end";
  if (port == 0) why = "port 0";
  service.faults.push_back(service.name + ": " + why);
  return nullptr;
}

ZoneMap::Service ZoneMap::BuildService(const Zone& zone, const Name& name) {
  const std::string key = name.Key();
  RemoveDependencies(key);
  Service service{WithoutEndDot(name.Lower().ToText()), {}, {}};
  auto& faults = service.faults;
  AddDependency(key, name);
  const dns::RecordSet* srv = zone.Find(name, type::kSrv);
  if (srv == nullptr) return service;

  const Attributes attributes = AttributesAt(zone, name, faults);
  const auto destination =
      dns::ParseUnsigned<std::uint64_t>(AttributeOr(attributes, "destination", ""));
  if (!destination) {
    faults.push_back(service.name + ": no TXT record with destination=NUMBER beside its SRV");
    return service;
  }
  const auto service_phase = PhaseIn(attributes, name, faults);
  if (!service_phase) return service;
  const std::string service_zone = AttributeOr(attributes, "zone", defaults_.zone);

  std::map<std::uint32_t, std::vector<Member>> by_priority;
  for (const std::string& rdata : srv->rdatas) {
    const auto weight = dns::NumberField(type::kSrv, rdata, 1);
    const auto port = dns::NumberField(type::kSrv, rdata, 2);
    Name target = dns::NameField(type::kSrv, rdata, 3);
    if (target.IsRoot()) continue;
    const std::string target_text = WithoutEndDot(target.Lower().ToText());
    const dns::RecordSet* addresses = AddressesOf(zone, key, port, target, service);
    if (addresses == nullptr) continue;
    const Attributes target_attributes = AttributesAt(zone, target, faults);
    const auto phase = PhaseIn(target_attributes, target, faults);
    if (!phase) continue;
    for (const std::string& address : addresses->rdatas) {
      Member member;
      member.address = dns::RdataText(type::kA, address) + ":" + std::to_string(port);
      // The id contains the target and the address: if either changes, it is another endpoint.
      member.id = service.name + "/" + target_text + "@" + member.address;
      member.zone = AttributeOr(target_attributes, "zone", service_zone);
      member.kind = AttributeOr(attributes, "kind", defaults_.kind);
      member.destination = *destination;
      member.phase = Worse(*service_phase, *phase);
      member.weight = weight == 0 ? kMinWeight : weight;
      by_priority[dns::NumberField(type::kSrv, rdata, 0)].push_back(std::move(member));
    }
  }
  SelectByPriority(std::move(by_priority), service.members);
  return service;
}

// Selects the ready members of the lowest priority value that has any, and all draining members. A
// member of a higher value serves only while none of a lower value is ready (RFC 2782).
void ZoneMap::SelectByPriority(std::map<std::uint32_t, std::vector<Member>>&& by_priority,
                               std::vector<Member>& members) {
  bool served = false;
  for (auto& [priority, of_priority] : by_priority) {
    bool ready = false;
    for (Member& member : of_priority) {
      const bool is_ready = member.phase == Phase::kReady;
      ready = ready || is_ready;
      if (!is_ready || !served) members.push_back(std::move(member));
    }
    served = served || ready;
  }
}

std::vector<ZoneMap::Service> ZoneMap::Replace(const Zone& zone) {
  std::map<std::string, Name> before = std::exchange(names_, {});
  std::vector<Service> services;
  zone.EachRecord([&](const dns::Record& record) {
    if (record.type != type::kSrv || names_.contains(record.name.Key())) return;
    names_.emplace(record.name.Key(), record.name);
    before.erase(record.name.Key());
    services.push_back(BuildService(zone, record.name));
  });
  for (const auto& [key, name] : before) {
    services.push_back(BuildService(zone, name));
    RemoveDependencies(key);
  }
  return services;
}

std::vector<ZoneMap::Service> ZoneMap::Apply(const Zone& zone, const dns::Change& change) {
  std::map<std::string, Name> affected;
  for (const auto* records : {&change.removed, &change.added}) {
    for (const dns::Record& record : *records) {
      if (record.type == type::kSoa) continue;
      const std::string key = record.name.Key();
      if (record.type == type::kSrv) affected.emplace(key, record.name);
      if (const auto dependents = dependents_.find(key); dependents != dependents_.end()) {
        for (const std::string& name : dependents->second) affected.emplace(name, names_.at(name));
      }
    }
  }
  std::vector<Service> services;
  for (const auto& [key, name] : affected) {
    services.push_back(BuildService(zone, name));
    if (zone.Find(name, type::kSrv) != nullptr) {
      names_.emplace(key, name);
    } else {
      RemoveDependencies(key);
      names_.erase(key);
    }
  }
  return services;
}

}  // namespace brassfront::membership
