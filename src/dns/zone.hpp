// The data of a zone in memory: names in canonical order, each with its RRsets, and the latest
// changes that led to the current serial. This class does no I/O and is not thread-safe; its owner
// serializes access.
//
// The cost of a change depends on the number of names that it affects and on the logarithm of the
// number of names in the zone.
#ifndef BRASSFRONT_DNS_ZONE_HPP_
#define BRASSFRONT_DNS_ZONE_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dns/message.hpp"
#include "dns/name.hpp"
#include "dns/rdata.hpp"

namespace brassfront::dns {

struct RecordSet {
  std::uint32_t ttl = 0;
  std::vector<std::string> rdatas;  // in canonical order, without duplicates
};

struct Node {
  Name name;
  std::map<std::uint16_t, RecordSet> sets;
};

// The difference between two serials. The first record of each list is the SOA (RFC 1995 §4).
struct Change {
  std::vector<Record> removed;
  std::vector<Record> added;

  [[nodiscard]] std::uint32_t from() const { return SerialOf(removed.front().rdata); }
  [[nodiscard]] std::uint32_t to() const { return SerialOf(added.front().rdata); }
  // True if no record other than the SOA changes.
  [[nodiscard]] bool is_soa_alone() const { return removed.size() == 1 && added.size() == 1; }
};

// The result of a query within one zone (RFC 1034 §4.3.2).
struct Lookup {
  Rcode rcode = Rcode::kNoError;
  bool authoritative = true;
  std::vector<Record> answer;
  std::vector<Record> authority;   // SOA for negative answers, NS for a referral
  std::vector<Record> additional;  // addresses of the hosts that the other sections name
};

class Zone {
 public:
  explicit Zone(Name origin) : origin_(std::move(origin)) {}

  [[nodiscard]] const Name& origin() const { return origin_; }
  [[nodiscard]] std::size_t records() const { return records_; }
  [[nodiscard]] bool has_soa() const { return Find(origin_, type::kSoa) != nullptr; }
  [[nodiscard]] Record Soa() const;
  [[nodiscard]] std::uint32_t serial() const;

  [[nodiscard]] const Node* Find(const Name& name) const;
  [[nodiscard]] const RecordSet* Find(const Name& name, std::uint16_t type) const;
  [[nodiscard]] bool Holds(const Record& record) const;
  // True if the name or a name below it has records (an empty non-terminal exists as well).
  [[nodiscard]] bool Exists(const Name& name) const;

  // Adds a record. All records of an RRset have the TTL that was given last (RFC 2181 §5.2).
  // Returns false if the record already existed with that TTL.
  bool Add(const Record& record);
  bool Remove(const Record& record);  // false if it did not exist

  // Calls `take` with each record except the SOA, in canonical order.
  void EachRecord(const std::function<void(const Record&)>& take) const;
  [[nodiscard]] std::vector<Record> RecordsOf(const Name& name) const;

  [[nodiscard]] Lookup Query(const Name& name, std::uint16_t type) const;

  // False if the change does not start at the serial of the zone, or removes a record that does not
  // exist.
  [[nodiscard]] bool CanApply(const Change& change) const;
  // Applies the change and stores it for ChangesSince. Returns false and does nothing if CanApply
  // is false.
  bool Apply(const Change& change);
  // Like Apply, for a change that CanApply has accepted.
  void ApplyUnchecked(const Change& change);
  // Returns the stored changes from `serial` to the current one, in order; nullopt if they are not
  // all stored.
  [[nodiscard]] std::optional<std::vector<const Change*>> ChangesSince(std::uint32_t serial) const;
  void ForgetChanges() { changes_.clear(), change_records_ = 0; }
  // Limits the total number of records in the stored changes.
  void LimitChangeRecords(std::size_t records) { max_change_records_ = records; }

 private:
  using Nodes = std::map<std::string, Node>;

  // Returns the topmost delegation at or above the name, below the zone apex; null if there is
  // none.
  [[nodiscard]] const Node* DelegationAbove(const Name& name) const;
  [[nodiscard]] const Node* WildcardFor(const Name& name) const;
  void AddSet(const Name& as, const Node& node, std::uint16_t type,
              std::vector<Record>& into) const;
  void AddAddresses(const std::vector<Record>& from, std::vector<Record>& into) const;
  void AddNegative(Lookup& lookup) const;
  void Trim();

  Name origin_;
  Nodes nodes_;
  std::size_t records_ = 0;
  std::deque<Change> changes_;
  std::size_t change_records_ = 0;
  std::size_t max_change_records_ = 100000;
};

// Returns the change from the data of one zone to that of the other, including both SOAs.
Change Difference(const Zone& from, const Zone& to);
// Returns the faults of the zone as a whole (RFC 1035 §5.2, RFC 2181 §10): no SOA or several, no
// NS, a CNAME at a name that has other data or another CNAME.
std::vector<std::string> FindZoneErrors(const Zone& zone);

}  // namespace brassfront::dns

#endif  // BRASSFRONT_DNS_ZONE_HPP_
