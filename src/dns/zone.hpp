// A zone's data in memory: names in canonical order, each with its sets of records, and the changes
// that led to the newest serial. It does no I/O; whoever owns it sees to it that one thread at a
// time touches it.
//
// A change costs as much as the names that it touches (and the logarithm of their number), however
// large the zone is.
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
  std::vector<std::string> rdatas;  // in canonical order, none twice
};

struct Node {
  Name name;
  std::map<std::uint16_t, RecordSet> sets;
};

// What leads from one serial to the next: the SOAs are the first of each list (RFC 1995 §4).
struct Change {
  std::vector<Record> removed;
  std::vector<Record> added;

  [[nodiscard]] std::uint32_t from() const { return SerialOf(removed.front().rdata); }
  [[nodiscard]] std::uint32_t to() const { return SerialOf(added.front().rdata); }
  // No other record goes or comes.
  [[nodiscard]] bool is_soa_alone() const { return removed.size() == 1 && added.size() == 1; }
};

// The outcome of a query by RFC 1034 §4.3.2 within one zone.
struct Lookup {
  Rcode rcode = Rcode::kNoError;
  bool authoritative = true;
  std::vector<Record> answer;
  std::vector<Record> authority;   // SOA for negative answers, NS for a referral
  std::vector<Record> additional;  // addresses of what the others name
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
  // True if the name or one below it has records (an empty non-terminal exists too).
  [[nodiscard]] bool Exists(const Name& name) const;

  // Puts one record in. A set has one TTL, the last one given (RFC 2181 §5.2). False if it was
  // there with that TTL.
  bool Add(const Record& record);
  bool Remove(const Record& record);  // false if it was not there

  // Every record but the SOA, in canonical order.
  void EachRecord(const std::function<void(const Record&)>& take) const;
  [[nodiscard]] std::vector<Record> RecordsOf(const Name& name) const;

  [[nodiscard]] Lookup Query(const Name& name, std::uint16_t type) const;

  // False if the change does not start at the zone's serial, or removes what is not there.
  [[nodiscard]] bool CanApply(const Change& change) const;
  // Applies a change that fits, whole, and remembers it. False, and nothing done, if it does not.
  bool Apply(const Change& change);
  // The same where Fits was asked already.
  void ApplyUnchecked(const Change& change);
  // Remembered changes from that serial to the newest, in order. Nothing if it is not known.
  [[nodiscard]] std::optional<std::vector<const Change*>> ChangesSince(std::uint32_t serial) const;
  void ForgetChanges() { changes_.clear(), change_records_ = 0; }
  // Changes are remembered up to this many records altogether.
  void LimitChangeRecords(std::size_t records) { max_change_records_ = records; }

 private:
  using Nodes = std::map<std::string, Node>;

  // Delegations above or at the name, but not the zone's own NS.
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

// What leads from one zone's data to another's; the SOAs are those of both.
Change Difference(const Zone& from, const Zone& to);
// What is wrong with a zone's data as a whole (RFC 1035 §5.2, RFC 2181 §10): no SOA or several, no
// NS, a CNAME beside other data or beside another one.
std::vector<std::string> FindZoneErrors(const Zone& zone);

}  // namespace brassfront::dns

#endif  // BRASSFRONT_DNS_ZONE_HPP_
