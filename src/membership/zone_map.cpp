#include "membership/zone_map.hpp"

#include <algorithm>
#include <optional>

namespace brassfront::membership {
namespace {

using dns::Name;
using dns::Zone;
namespace type = dns::type;

constexpr int kMostAliases = 8;       // one after the other
constexpr double kLeastWeight = 0.1;  // what RFC 2782's "very small chance" is here

std::string WithoutEndDot(std::string text) {
  if (text.size() > 1 && text.ends_with('.')) text.pop_back();
  return text;
}

// `key=value` words of the TXT records at a name (RFC 1464's form); keys in any case.
std::map<std::string, std::string> Words(const Zone& zone, const Name& name,
                                         std::vector<std::string>& faults) {
  std::map<std::string, std::string> words;
  const dns::RecordSet* set = zone.Find(name, type::kTxt);
  if (set == nullptr) return words;
  for (const std::string& rdata : set->rdatas) {
    for (std::size_t at = 0; at < rdata.size();) {
      const auto length = static_cast<unsigned char>(rdata[at]);
      std::string_view all = std::string_view(rdata).substr(at + 1, length);
      at += 1u + length;
      // One string may hold several words.
      while (!all.empty()) {
        const std::string_view word = all.substr(0, all.find(' '));
        all.remove_prefix(std::min(all.size(), word.size() + 1));
        const auto equals = word.find('=');
        if (equals == std::string_view::npos) continue;
        std::string key(word.substr(0, equals));
        for (char& c : key) c = dns::LowerOf(c);
        std::string value(word.substr(equals + 1));
        const auto [place, fresh] = words.emplace(key, value);
        if (!fresh && place->second != value) {
          faults.push_back(name.ToText() + " TXT: " + key + " is said in two ways");
        }
      }
    }
  }
  return words;
}

std::optional<Phase> PhaseIn(const std::map<std::string, std::string>& words, const Name& name,
                             std::vector<std::string>& faults) {
  const auto word = words.find("phase");
  if (word == words.end() || word->second == "ready") return Phase::kReady;
  if (word->second == "drain") return Phase::kTerminating;
  faults.push_back(name.ToText() + " TXT: phase=" + word->second + " is neither ready nor drain");
  return std::nullopt;
}

Phase Worse(Phase a, Phase b) { return a == Phase::kReady ? b : a; }

}  // namespace

void ZoneMap::Forget(const std::string& key) {
  const auto needs = needs_.find(key);
  if (needs == needs_.end()) return;
  for (const std::string& needed : needs->second) {
    const auto by = needed_by_.find(needed);
    by->second.erase(key);
    if (by->second.empty()) needed_by_.erase(by);
  }
  needs_.erase(needs);
}

ZoneMap::Service ZoneMap::Work(const Zone& zone, const Name& name) {
  const std::string key = name.Key();
  Forget(key);
  Service service{WithoutEndDot(name.Lower().ToText()), {}, {}};
  auto& faults = service.faults;
  auto& needs = needs_[key];
  const auto need = [&](const Name& needed) {
    needs.insert(needed.Key());
    needed_by_[needed.Key()].insert(key);
  };
  need(name);
  const dns::RecordSet* srv = zone.Find(name, type::kSrv);
  if (srv == nullptr) return service;

  const auto words = Words(zone, name, faults);
  const auto word = [&words](const char* which, const std::string& otherwise) {
    const auto found = words.find(which);
    return found == words.end() ? otherwise : found->second;
  };
  const std::string number = word("destination", "");
  const auto destination = dns::WholeNumber<std::uint64_t>(number);
  if (!destination) {
    faults.push_back(service.name + ": no TXT record with destination=NUMBER beside its SRV");
    return service;
  }
  const std::string kind = word("kind", defaults_.kind);
  const auto service_phase = PhaseIn(words, name, faults);
  if (!service_phase) return service;

  std::map<std::uint32_t, std::vector<Member>> by_priority;
  for (const std::string& rdata : srv->rdatas) {
    const auto priority = dns::NumberField(type::kSrv, rdata, 0);
    const auto weight = dns::NumberField(type::kSrv, rdata, 1);
    const auto port = dns::NumberField(type::kSrv, rdata, 2);
    Name target = dns::NameField(type::kSrv, rdata, 3);
    if (target.IsRoot()) continue;
    const std::string shown = WithoutEndDot(target.Lower().ToText());
    int aliases = 0;
    need(target);
    const dns::RecordSet* alias = nullptr;
    while ((alias = zone.Find(target, type::kCname)) != nullptr && ++aliases <= kMostAliases) {
      target = dns::NameField(type::kCname, alias->rdatas.front(), 0);
      need(target);
    }
    const dns::RecordSet* addresses = zone.Find(target, type::kA);
    if (alias != nullptr || addresses == nullptr || port == 0) {
      faults.push_back(service.name + ": " +
                       (port == 0          ? "port 0"
                        : alias != nullptr ? shown + " is an alias without an end"
                        : target.IsAtOrBelow(zone.origin())
                            ? shown + " has no A record"
                            : shown + " leads out of the zone to " + target.ToText()));
      continue;
    }
    const auto own = Words(zone, target, faults);
    const auto phase = PhaseIn(own, target, faults);
    if (!phase) continue;
    const auto own_zone = own.find("zone");
    for (const std::string& address : addresses->rdatas) {
      Member member;
      member.address = dns::RdataText(type::kA, address) + ":" + std::to_string(port);
      // Of its place and address: with either changed it is another endpoint.
      member.id = service.name + "/" + shown + "@" + member.address;
      member.zone = own_zone != own.end() ? own_zone->second : word("zone", defaults_.zone);
      member.kind = kind;
      member.destination = *destination;
      member.phase = Worse(*service_phase, *phase);
      member.weight = weight == 0 ? kLeastWeight : weight;
      by_priority[priority].push_back(std::move(member));
    }
  }
  bool served = false;  // by a priority before
  for (auto& [priority, members] : by_priority) {
    bool ready = false;
    for (Member& member : members) {
      const bool is_ready = member.phase == Phase::kReady;
      ready = ready || is_ready;
      if (!is_ready || !served) service.members.push_back(std::move(member));
    }
    served = served || ready;
  }
  return service;
}

std::vector<ZoneMap::Service> ZoneMap::Replace(const Zone& zone) {
  std::map<std::string, Name> before = std::exchange(names_, {});
  std::vector<Service> services;
  zone.EachRecord([&](const dns::Record& record) {
    if (record.type != type::kSrv || names_.contains(record.name.Key())) return;
    names_.emplace(record.name.Key(), record.name);
    before.erase(record.name.Key());
    services.push_back(Work(zone, record.name));
  });
  for (const auto& [key, name] : before) {
    services.push_back(Work(zone, name));
    Forget(key);
  }
  return services;
}

std::vector<ZoneMap::Service> ZoneMap::Apply(const Zone& zone, const dns::Change& change) {
  std::map<std::string, Name> touched;
  for (const auto* records : {&change.removed, &change.added}) {
    for (const dns::Record& record : *records) {
      if (record.type == type::kSoa) continue;
      const std::string key = record.name.Key();
      if (record.type == type::kSrv) touched.emplace(key, record.name);
      if (const auto by = needed_by_.find(key); by != needed_by_.end()) {
        for (const std::string& service : by->second) touched.emplace(service, names_.at(service));
      }
    }
  }
  std::vector<Service> services;
  for (const auto& [key, name] : touched) {
    services.push_back(Work(zone, name));
    if (zone.Find(name, type::kSrv) != nullptr) {
      names_.emplace(key, name);
    } else {
      Forget(key);
      names_.erase(key);
    }
  }
  return services;
}

}  // namespace brassfront::membership
