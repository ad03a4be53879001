#include "dns/zone.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace brassfront::dns {
namespace {

constexpr int kMaxCnames = 16;  // followed for one answer; the client resolves the rest

Record RecordOf(const Name& name, std::uint16_t type, std::uint32_t ttl, std::string rdata) {
  return {name, type, klass::kIn, ttl, std::move(rdata)};
}

// The records of an RRset are stored in canonical order (RFC 4034 §6.3), so that a binary search
// finds a record.
bool ComesBefore(std::uint16_t type, std::string_view a, std::string_view b) {
  if (!HasNames(type)) return a < b;
  return CanonicalRdata(type, a) < CanonicalRdata(type, b);
}

struct RdataPosition {
  std::vector<std::string>::const_iterator at;
  bool found = false;  // the record at the position equals the one searched for
};

RdataPosition FindRdata(const RecordSet& set, std::uint16_t type, std::string_view rdata) {
  const auto before = [type](std::string_view a, std::string_view b) {
    return ComesBefore(type, a, b);
  };
  const auto at = std::lower_bound(set.rdatas.begin(), set.rdatas.end(), rdata, before);
  return {at, at != set.rdatas.end() && !before(rdata, *at)};
}

// Returns the number of the field in which records of the type name a host.
std::optional<std::size_t> TargetField(std::uint16_t type) {
  switch (type) {
    case type::kNs:
      return 0;
    case type::kMx:
    case type::kSvcb:
    case type::kHttps:
      return 1;
    case type::kSrv:
      return 3;
    default:
      return std::nullopt;
  }
}

}  // namespace

Record Zone::Soa() const {
  const RecordSet* set = Find(origin_, type::kSoa);
  return set == nullptr ? Record{} : RecordOf(origin_, type::kSoa, set->ttl, set->rdatas.front());
}

std::uint32_t Zone::serial() const {
  const RecordSet* set = Find(origin_, type::kSoa);
  return set == nullptr ? 0 : SerialOf(set->rdatas.front());
}

const Node* Zone::Find(const Name& name) const {
  const auto node = nodes_.find(name.Key());
  return node == nodes_.end() ? nullptr : &node->second;
}

const RecordSet* Zone::Find(const Name& name, std::uint16_t type) const {
  const Node* node = Find(name);
  if (node == nullptr) return nullptr;
  const auto set = node->sets.find(type);
  return set == node->sets.end() ? nullptr : &set->second;
}

bool Zone::Holds(const Record& record) const {
  const RecordSet* set = Find(record.name, record.type);
  return set != nullptr && FindRdata(*set, record.type, record.rdata).found;
}

bool Zone::Exists(const Name& name) const {
  const std::string key = name.Key();
  const auto node = nodes_.lower_bound(key);
  return node != nodes_.end() && node->first.starts_with(key);
}

bool Zone::Add(const Record& record) {
  std::string key = record.name.Key();
  auto node = nodes_.find(key);
  if (node == nodes_.end()) node = nodes_.emplace(std::move(key), Node{record.name, {}}).first;
  RecordSet& set = node->second.sets[record.type];
  const bool same_ttl = std::exchange(set.ttl, record.ttl) == record.ttl;
  const RdataPosition position = FindRdata(set, record.type, record.rdata);
  if (position.found) return !same_ttl;
  set.rdatas.insert(position.at, record.rdata);
  ++records_;
  return true;
}

bool Zone::Remove(const Record& record) {
  const auto node = nodes_.find(record.name.Key());
  if (node == nodes_.end()) return false;
  const auto set = node->second.sets.find(record.type);
  if (set == node->second.sets.end()) return false;
  const RdataPosition position = FindRdata(set->second, record.type, record.rdata);
  if (!position.found) return false;
  set->second.rdatas.erase(position.at);
  --records_;
  if (set->second.rdatas.empty()) node->second.sets.erase(set);
  if (node->second.sets.empty()) nodes_.erase(node);
  return true;
}

void Zone::EachRecord(const std::function<void(const Record&)>& take) const {
  for (const auto& [key, node] : nodes_) {
    for (const auto& [type, set] : node.sets) {
      if (type == type::kSoa) continue;
      for (const auto& rdata : set.rdatas) take(RecordOf(node.name, type, set.ttl, rdata));
    }
  }
}

std::vector<Record> Zone::RecordsOf(const Name& name) const {
  std::vector<Record> records;
  if (const Node* node = Find(name)) {
    for (const auto& [type, set] : node->sets) AddSet(name, *node, type, records);
  }
  return records;
}

const Node* Zone::DelegationAbove(const Name& name) const {
  const Node* cut = nullptr;
  for (Name at = name; !(at == origin_) && !at.IsRoot(); at = at.Parent()) {
    const Node* node = Find(at);
    if (node != nullptr && node->sets.contains(type::kNs)) cut = node;  // the topmost one applies
  }
  return cut;
}

const Node* Zone::WildcardFor(const Name& name) const {
  // RFC 4592 §3.3.1: the wildcard directly below the closest existing name.
  Name at = name;
  do {
    at = at.Parent();
  } while (!Exists(at) && !(at == origin_));
  const auto wildcard = at.WithLabel("*");
  return wildcard ? Find(*wildcard) : nullptr;
}

void Zone::AddSet(const Name& as, const Node& node, std::uint16_t type,
                  std::vector<Record>& into) const {
  const auto set = node.sets.find(type);
  if (set == node.sets.end()) return;
  for (const auto& rdata : set->second.rdatas) {
    into.push_back(RecordOf(as, type, set->second.ttl, rdata));
  }
}

void Zone::AddAddresses(const std::vector<Record>& from, std::vector<Record>& into) const {
  std::set<std::string> done;
  for (const Record& record : from) {
    const auto field = TargetField(record.type);
    if (!field) continue;
    const Name target = NameField(record.type, record.rdata, *field);
    if (!target.IsAtOrBelow(origin_) || !done.insert(target.Key()).second) continue;
    if (const Node* node = Find(target)) {
      AddSet(target, *node, type::kA, into);
      AddSet(target, *node, type::kAaaa, into);
    }
  }
}

void Zone::AddNegative(Lookup& lookup) const {
  Record soa = Soa();  // its TTL is the smaller of the SOA's TTL and MINIMUM (RFC 2308 §3)
  soa.ttl = std::min(soa.ttl, NumberField(type::kSoa, soa.rdata, soa::kMinimum));
  lookup.authority.push_back(std::move(soa));
}

Lookup Zone::Query(const Name& name, std::uint16_t type) const {
  Lookup lookup;
  Name at = name;
  for (int hop = 0; hop <= kMaxCnames; ++hop) {
    if (!at.IsAtOrBelow(origin_)) {
      break;  // a CNAME leads out of the zone; the client resolves the rest
    }
    if (const Node* cut = DelegationAbove(at)) {
      lookup.authoritative = !lookup.answer.empty();
      AddSet(cut->name, *cut, type::kNs, lookup.authority);
      AddAddresses(lookup.authority, lookup.additional);
      return lookup;
    }
    const Node* node = Find(at);
    const bool exists = node != nullptr || Exists(at);
    if (!exists) node = WildcardFor(at);
    if (node == nullptr) {
      if (!exists) lookup.rcode = Rcode::kNxDomain;
      AddNegative(lookup);
      return lookup;
    }
    const auto cname = node->sets.find(type::kCname);
    if (cname != node->sets.end() && type != type::kCname && type != type::kAny) {
      AddSet(at, *node, type::kCname, lookup.answer);
      at = NameField(type::kCname, cname->second.rdatas.front(), 0);
      continue;
    }
    const std::size_t before = lookup.answer.size();
    for (const auto& [found, set] : node->sets) {
      if (type == found || type == type::kAny) AddSet(at, *node, found, lookup.answer);
    }
    if (lookup.answer.size() == before) AddNegative(lookup);
    break;
  }
  AddAddresses(lookup.answer, lookup.additional);
  return lookup;
}

bool Zone::CanApply(const Change& change) const {
  return !change.removed.empty() && !change.added.empty() && change.removed[0].type == type::kSoa &&
         change.added[0].type == type::kSoa && change.from() == serial() &&
         std::all_of(change.removed.begin(), change.removed.end(),
                     [this](const Record& record) { return Holds(record); });
}

bool Zone::Apply(const Change& change) {
  if (!CanApply(change)) return false;
  ApplyUnchecked(change);
  return true;
}

void Zone::ApplyUnchecked(const Change& change) {
  for (const Record& record : change.removed) Remove(record);
  for (const Record& record : change.added) Add(record);
  changes_.push_back(change);
  change_records_ += change.removed.size() + change.added.size();
  Trim();
}

void Zone::Trim() {
  while (!changes_.empty() && change_records_ > max_change_records_) {
    change_records_ -= changes_.front().removed.size() + changes_.front().added.size();
    changes_.pop_front();
  }
}

std::optional<std::vector<const Change*>> Zone::ChangesSince(std::uint32_t wanted) const {
  std::vector<const Change*> changes;
  if (wanted == serial()) return changes;
  for (const Change& change : changes_) {
    if (!changes.empty() || change.from() == wanted) changes.push_back(&change);
  }
  if (changes.empty()) return std::nullopt;
  return changes;
}

Change Difference(const Zone& from, const Zone& to) {
  Change change{{from.Soa()}, {to.Soa()}};
  const auto collect = [](const Zone& zone, const Zone& other, std::vector<Record>& into) {
    zone.EachRecord([&](const Record& record) {
      const RecordSet* set = other.Find(record.name, record.type);
      if (set == nullptr || set->ttl != record.ttl || !other.Holds(record)) into.push_back(record);
    });
  };
  collect(from, to, change.removed);
  collect(to, from, change.added);
  return change;
}

std::vector<std::string> FindZoneErrors(const Zone& zone) {
  std::vector<std::string> faults;
  const Name& origin = zone.origin();
  const RecordSet* soa = zone.Find(origin, type::kSoa);
  if (soa == nullptr) faults.push_back("no SOA at " + origin.ToText());
  if (soa != nullptr && soa->rdatas.size() > 1) faults.push_back("more than one SOA");
  if (zone.Find(origin, type::kNs) == nullptr) faults.push_back("no NS at " + origin.ToText());
  Name last_cname;
  zone.EachRecord([&](const Record& record) {
    if (record.type != type::kCname || std::exchange(last_cname, record.name) == record.name) {
      return;
    }
    if (zone.Find(record.name)->sets.size() > 1) {
      faults.push_back("CNAME beside other data at " + record.name.ToText());
    }
    if (zone.Find(record.name, type::kCname)->rdatas.size() > 1) {
      faults.push_back("more than one CNAME at " + record.name.ToText());
    }
  });
  return faults;
}

}  // namespace brassfront::dns
