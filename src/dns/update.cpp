#include "dns/update.hpp"

#include <algorithm>
#include <map>

#include "dns/serial.hpp"

namespace brassfront::dns {
namespace {

UpdateOutcome Refused(Rcode rcode, std::string why) { return {rcode, std::move(why), {}}; }

// Prerequisites and deletions may have the type ANY.
bool IsTypeOrAny(std::uint16_t type) { return IsDataType(type) || type == type::kAny; }

// Checks that a name or an RRset exists, or does not, regardless of its data (RFC 2136 §2.4.1,
// §2.4.3 to §2.4.5).
UpdateOutcome CheckPresence(const Zone& zone, const Record& record, const std::string& what) {
  if (!record.rdata.empty() || !IsTypeOrAny(record.type)) {
    return Refused(Rcode::kFormErr, "a prerequisite that is not well-formed: " + what);
  }
  const bool any_type = record.type == type::kAny;
  const bool there =
      any_type ? zone.Find(record.name) != nullptr : zone.Find(record.name, record.type) != nullptr;
  const bool expected = record.klass == klass::kAny;
  if (there == expected) return {};
  if (expected) {
    return Refused(any_type ? Rcode::kNxDomain : Rcode::kNxRrset, what + " is not there");
  }
  return Refused(any_type ? Rcode::kYxDomain : Rcode::kYxRrset, what + " is there");
}

// Checks that the RRset consists of exactly the expected records (RFC 2136 §3.2.5).
UpdateOutcome CheckRrset(const Zone& zone, const std::vector<Record>& expected) {
  const Record& first = expected[0];
  const RecordSet* set = zone.Find(first.name, first.type);
  std::set<std::string> distinct;
  for (const Record& record : expected) {
    distinct.insert(CanonicalRdata(record.type, record.rdata));
  }
  const bool same = set != nullptr && set->rdatas.size() == distinct.size() &&
                    std::all_of(expected.begin(), expected.end(),
                                [&zone](const Record& record) { return zone.Holds(record); });
  if (same) return {};
  return Refused(Rcode::kNxRrset, first.name.ToText() + " " + TypeText(first.type) +
                                      " is not what the update expects");
}

// RFC 2136 §3.2.
UpdateOutcome CheckPrerequisites(const Zone& zone, const Message& update) {
  std::map<std::pair<std::string, std::uint16_t>, std::vector<Record>> expected_sets;
  for (const Record& record : update.answer) {
    const std::string what = record.name.ToText() + " " + TypeText(record.type);
    if (record.ttl != 0) return Refused(Rcode::kFormErr, "a prerequisite with a TTL: " + what);
    if (!record.name.IsAtOrBelow(zone.origin())) {
      return Refused(Rcode::kNotZone, "a prerequisite outside the zone: " + what);
    }
    if (record.klass == klass::kAny || record.klass == klass::kNone) {
      UpdateOutcome outcome = CheckPresence(zone, record, what);
      if (outcome.rcode != Rcode::kNoError) return outcome;
      continue;
    }
    if (record.klass != klass::kIn || !IsDataType(record.type)) {
      return Refused(Rcode::kFormErr, "a prerequisite of another class or type: " + what);
    }
    expected_sets[{record.name.Key(), record.type}].push_back(record);
  }
  for (const auto& [key, expected] : expected_sets) {
    UpdateOutcome outcome = CheckRrset(zone, expected);
    if (outcome.rcode != Rcode::kNoError) return outcome;
  }
  return {};
}

// RFC 2136 §3.4.1.
UpdateOutcome Prescan(const Zone& zone, const Message& update) {
  for (const Record& record : update.authority) {
    const std::string what = record.name.ToText() + " " + TypeText(record.type);
    if (!record.name.IsAtOrBelow(zone.origin())) {
      return Refused(Rcode::kNotZone, "outside the zone: " + what);
    }
    bool good = false;
    switch (record.klass) {
      case klass::kIn:
        good = IsDataType(record.type);
        break;
      case klass::kAny:
        good = record.ttl == 0 && record.rdata.empty() && IsTypeOrAny(record.type);
        break;
      case klass::kNone:
        good = record.ttl == 0 && IsDataType(record.type) && IsRdata(record.type, record.rdata);
        break;
      default:
        break;
    }
    if (!good) return Refused(Rcode::kFormErr, "not well-formed: " + what);
  }
  return {};
}

bool IsAllowed(const Record& record, const std::optional<Name>& key,
               const std::vector<Grant>& grants) {
  return key && std::any_of(grants.begin(), grants.end(), [&](const Grant& grant) {
           if (!grant.update || !(grant.key == *key) || !record.name.IsAtOrBelow(grant.top)) {
             return false;
           }
           return grant.types.empty() || grant.types.contains(record.type);
         });
}

// The names that an update affects, before and after it. The rest of the zone is not copied.
class Draft {
 public:
  explicit Draft(const Zone& zone) : zone_(zone), before_(zone.origin()), after_(zone.origin()) {
    Touch(zone.origin());
  }

  void Take(const Record& record) {
    Touch(record.name);
    if (record.klass == klass::kIn) {
      Add(record);
    } else {
      Delete(record);
    }
  }

  std::optional<Change> End() {
    Change change = Difference(before_, after_);
    const bool same_soa = SameData(change.removed[0], change.added[0]) &&
                          change.removed[0].ttl == change.added[0].ttl;
    if (same_soa && change.is_soa_alone()) return std::nullopt;
    if (!IsNewer(change.to(), change.from())) {
      std::string& soa = change.added[0].rdata;
      soa = WithSerial(soa, NextSerial(change.from()));
    }
    return change;
  }

 private:
  void Touch(const Name& name) {
    if (!touched_.insert(name.Key()).second) return;
    for (const Record& record : zone_.RecordsOf(name)) {
      before_.Add(record);
      after_.Add(record);
    }
  }

  // RFC 2136 §3.4.2.2.
  void Add(const Record& record) {
    const Node* node = after_.Find(record.name);
    const bool alias = after_.Find(record.name, type::kCname) != nullptr;
    if (record.type == type::kSoa) {
      if (!(record.name == zone_.origin()) || !IsNewer(SerialOf(record.rdata), after_.serial())) {
        return;
      }
      after_.Remove(after_.Soa());
    } else if (record.type == type::kCname) {
      if (node != nullptr && !alias) return;
      if (alias) Delete({record.name, type::kCname, klass::kAny, 0, {}});
    } else if (alias) {
      return;
    }
    after_.Add(record);
  }

  // RFC 2136 §3.4.2.3 and §3.4.2.4.
  void Delete(const Record& record) {
    const bool apex = record.name == zone_.origin();
    if (record.klass == klass::kNone) {
      if (record.type == type::kSoa) return;
      const RecordSet* set = after_.Find(record.name, record.type);
      const bool last_ns =
          apex && record.type == type::kNs && set != nullptr && set->rdatas.size() == 1;
      if (!last_ns) after_.Remove(record);
      return;
    }
    for (const Record& held : after_.RecordsOf(record.name)) {
      const bool kept = apex && (held.type == type::kSoa || held.type == type::kNs);
      if (!kept && (record.type == type::kAny || record.type == held.type)) after_.Remove(held);
    }
  }

  const Zone& zone_;
  Zone before_;
  Zone after_;
  std::set<std::string> touched_;
};

}  // namespace

UpdateOutcome EvaluateUpdate(const Zone& zone, const Message& update,
                             const std::optional<Name>& key, const std::vector<Grant>& grants) {
  if (update.question.size() != 1 || update.question[0].type != type::kSoa) {
    return Refused(Rcode::kFormErr, "the zone section is not one SOA");
  }
  if (update.question[0].klass != klass::kIn || !(update.question[0].name == zone.origin())) {
    return Refused(Rcode::kNotAuth, "not the zone " + zone.origin().ToText());
  }
  if (auto refused = CheckPrerequisites(zone, update); refused.rcode != Rcode::kNoError) {
    return refused;
  }
  for (const Record& record : update.authority) {
    if (IsAllowed(record, key, grants)) continue;
    return Refused(Rcode::kRefused, (key ? "key " + key->ToText() : std::string("no key")) +
                                        " may not update " + record.name.ToText() + " " +
                                        TypeText(record.type));
  }
  if (auto refused = Prescan(zone, update); refused.rcode != Rcode::kNoError) return refused;
  Draft draft(zone);
  for (const Record& record : update.authority) draft.Take(record);
  return {Rcode::kNoError, {}, draft.End()};
}

bool MayTransfer(const std::vector<Grant>& grants, const Name& zone,
                 const std::optional<Name>& key) {
  return key && std::any_of(grants.begin(), grants.end(), [&](const Grant& grant) {
           return grant.transfer && grant.key == *key && zone.IsAtOrBelow(grant.top);
         });
}

}  // namespace brassfront::dns
