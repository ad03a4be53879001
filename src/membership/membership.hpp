// Merges the endpoints that several sources report (the platform's discovery, zone files, updates
// and transfers) into changes of the single list that the engine uses. A state machine without I/O.
// Times are seconds on a monotonic clock.
//
// A source reports its members in groups: a group is a service of a zone, or a single member of
// discovery. A report replaces all members of its group. For each destination
//  - the highest-ranked source that owns it decides alone. A source that may own destinations owns
//    all that it has listed since startup, even if it no longer lists an endpoint for them;
//  - if no source owns it, the reports of all sources are merged. An endpoint that one source has
//    removed is gone even if another source still lists it, until the first one lists it again or
//    the other one has dropped it as well;
//  - if several sources list the same address, the worst phase applies, and all other attributes
//    are those of the highest-ranked source.
// The last list of a source that fails stays valid until the source expires. An expired source is
// ignored until it reports again.
//
// An endpoint is identified by its destination and address. A name that reappears with another
// address is another endpoint, and the old one is gone.
//
// A removal or a drain is always part of the next list. Damping delays only the return of an
// endpoint: an endpoint that was removed repeatedly is listed again later (like routes in RFC
// 2439), unless its destination would otherwise have no ready endpoint.
#ifndef BRASSFRONT_MEMBERSHIP_MEMBERSHIP_HPP_
#define BRASSFRONT_MEMBERSHIP_MEMBERSHIP_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "protocol/discovery.hpp"

namespace brassfront::membership {

struct Damping {
  bool on = true;
  double penalty = 1;     // added by each removal
  double half_life = 30;  // seconds in which a penalty falls to half
  double suppress = 2.5;  // a penalty above this delays the endpoint's return
  double reuse = 1;       // the delay lasts until the penalty has fallen to this
  double longest = 60;    // seconds; maximum delay
};

struct SourceSettings {
  std::string name;   // for display only
  int rank = 0;       // a lower number takes precedence
  bool owns = false;  // whether it alone decides about the destinations that it lists
  double expiry = 0;  // seconds after the last report; 0: never
};

using SourceId = std::size_t;

class Membership {
 public:
  // `revision` is that of the list that the engine was started with; the first list's revision is
  // one above it.
  explicit Membership(Damping damping, std::uint64_t revision = 0);

  SourceId AddSource(SourceSettings settings);

  // Replaces the members of one of the source's groups. Members in phase kGone are treated as
  // absent.
  void Take(SourceId source, const std::string& group, const std::vector<Member>& members,
            double now);
  // Removes a group.
  void Drop(SourceId source, const std::string& group, double now) { Take(source, group, {}, now); }
  // Applies a list in the platform's form: a complete list, or changes to it by members' ids.
  void TakeList(SourceId source, const MemberList& list, double now);
  // The source's last report is still valid and nothing has changed.
  void Confirm(SourceId source, double now);
  // The source has failed. Its last report stays valid until the source expires.
  void Failed(SourceId source, double now);
  // The source has expired by its own measure of time. It is ignored until it reports again.
  void Expired(SourceId source);

  // Returns the changes since the last call that the engine has to apply, or nothing if there are
  // none. The first list is complete, later ones contain changes.
  std::optional<MemberList> Changes(double now);
  // Returns when Changes may next have a result without a further report.
  [[nodiscard]] double NextDue() const;

  // ---- for operators ----
  struct SourceState {
    SourceSettings settings;
    std::size_t groups = 0;
    std::size_t members = 0;
    double reported_at = 0;  // time of the last report
    double failing = 0;      // time since which it has been failing; 0: it is not failing
    bool expired = false;
  };
  [[nodiscard]] std::vector<SourceState> Sources() const;
  [[nodiscard]] std::size_t suppressed() const;
  [[nodiscard]] std::size_t endpoints() const { return announced_count_; }

 private:
  // An endpoint's key within its destination is its address.
  struct ReportedMember {
    Member member;
    std::string group;
  };
  struct Source {
    SourceSettings settings;
    std::map<std::string, std::set<std::pair<std::uint64_t, std::string>>> groups;
    // By destination and address, with one entry for each group that lists the address.
    std::map<std::uint64_t, std::map<std::string, std::vector<ReportedMember>>> reported;
    std::set<std::uint64_t> owned;
    double reported_at = 0;
    double failing = 0;
    bool has_reported = false;
    bool expired = false;
  };
  struct Flaps {
    double penalty = 0;
    double at = 0;             // time at which the penalty had this value
    double delayed_until = 0;  // 0: the endpoint's return is not delayed
  };
  struct Destination {
    std::map<std::string, Member> announced;  // by address; members that the engine currently has
    std::map<std::string, std::set<SourceId>> removed_by;  // by address
    std::map<std::string, Flaps> flaps;
  };

  [[nodiscard]] bool IsActive(const Source& source) const {
    return source.has_reported && !source.expired;
  }
  void RecordReport(Source& source, double now);
  void MarkOutdated(const Source& source);
  void ExpireDue(double now);
  // A member with the rank of the source that reported it.
  struct RankedMember {
    int rank = 0;
    Member member;
  };
  using RankedMembers = std::map<std::string, RankedMember>;  // by address

  // Returns the source that alone decides about the destination; nullptr if there is none.
  [[nodiscard]] const Source* OwnerOf(std::uint64_t number) const;
  // Merges the source's members into `best`. For each address the member of the lowest rank is
  // kept, with the worst phase that any source reports.
  static void MergeSource(const Source& source, std::uint64_t number, RankedMembers& best);
  [[nodiscard]] bool IsRemovedByActiveSource(const Destination& destination,
                                             const std::string& address) const;
  [[nodiscard]] std::map<std::string, Member> DesiredMembers(std::uint64_t number,
                                                             const Destination& destination) const;
  void UpdateDestination(std::uint64_t number, Destination& destination, double now,
                         MemberList& out);
  void DelayFlapping(Destination& destination, std::map<std::string, Member>& desired, double now);
  [[nodiscard]] double PenaltyNow(const Flaps& flaps, double now) const;

  const Damping damping_;
  std::uint64_t revision_;
  bool first_ = true;
  std::size_t announced_count_ = 0;
  std::vector<Source> sources_;
  std::map<std::uint64_t, Destination> destinations_;
  std::set<std::uint64_t> outdated_destinations_;  // to be recomputed
  // Times at which delays end, each with its destination.
  std::set<std::pair<double, std::uint64_t>> releases_;
};

}  // namespace brassfront::membership

#endif  // BRASSFRONT_MEMBERSHIP_MEMBERSHIP_HPP_
