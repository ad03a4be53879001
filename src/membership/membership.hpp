// Which endpoints there are, by all who tell: the platform's discovery, zone files, updates and
// transfers. One state machine without I/O merges what its sources say into the changes of the one
// list that the engine takes. Times are seconds on a clock that never goes back.
//
// A source tells in groups (a service of a zone; each member of discovery is one): a group's
// members are replaced as a whole. For each destination
//  - the highest-ranked source that owns it decides alone; a source owns the destinations that it
//    has listed since it last started anew, also when it lists nothing for them any more;
//  - without such a source all others are joined. What one of them removed is gone, though another
//    still lists it, until the one lists it again or the other has dropped it as well;
//  - where several list the same address, the worst phase counts, and the rest is the highest
//    ranked one's.
// A source that fails keeps its last list until it expires; then it is as if it had never spoken.
//
// An endpoint is its destination and address. A name that comes back with another address is
// another endpoint, and the old one is gone.
//
// A removal or a drain is in the next list, always. Coming back is what damping delays: an endpoint
// that was removed again and again is listed later (as routes are by RFC 2439), but never so that
// its destination is left with nothing that could be listed.
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
  double penalty = 1;     // for each removal
  double half_life = 30;  // seconds, in which a penalty falls to half
  double suppress = 2.5;  // above this, coming back is delayed
  double reuse = 1;       // until it has fallen below this
  double longest = 60;    // seconds; the most that coming back is delayed
};

struct SourceSettings {
  std::string name;   // for people
  int rank = 0;       // the lower, the more it counts
  bool owns = false;  // it alone tells of the destinations that it lists
  double expiry = 0;  // seconds after the last word; 0: never
};

using SourceId = std::size_t;

class Membership {
 public:
  // The first list's revision is one above `revision`: what the engine was started with.
  explicit Membership(Damping damping, std::uint64_t revision = 0);

  SourceId AddSource(SourceSettings settings);

  // What the source says of a group, in the place of what it reported before. Phases: a member that
  // is kGone is as one that is not there.
  void Take(SourceId source, const std::string& group, const std::vector<Member>& members,
            double now);
  // A group that is no more.
  void Drop(SourceId source, const std::string& group, double now) { Take(source, group, {}, now); }
  // The platform's form: a whole list, or changes to it, by members' ids.
  void TakeList(SourceId source, const MemberList& list, double now);
  // Its word still holds, with nothing new.
  void Confirm(SourceId source, double now);
  // Something went wrong; what it reported last stands until it expires.
  void Failed(SourceId source, double now);
  // It counts no more, by its own measure of time; until it speaks again.
  void Expired(SourceId source);

  // What the engine is to be announced since the last call: nothing, if nothing changed. The first
  // list is whole, later ones are changes.
  std::optional<MemberList> Changes(double now);
  // When Changes may have something by time alone.
  [[nodiscard]] double NextDue() const;

  // ---- for people ----
  struct SourceState {
    SourceSettings settings;
    std::size_t groups = 0;
    std::size_t members = 0;
    double reported_at = 0;  // when it last reported
    double failing = 0;      // since when it fails; 0: it does not
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
    // By destination and address; an address that several groups list is counted.
    std::map<std::uint64_t, std::map<std::string, std::vector<ReportedMember>>> reported;
    std::set<std::uint64_t> owned;
    double reported_at = 0;
    double failing = 0;
    bool has_reported = false;
    bool expired = false;
  };
  struct Flaps {
    double penalty = 0;
    double at = 0;             // when it was so
    double delayed_until = 0;  // 0: not held back
  };
  struct Destination {
    std::map<std::string, Member> announced;  // by address: what the engine knows, without the gone
    std::map<std::string, std::set<SourceId>> removed_by;  // by those who removed it
    std::map<std::string, Flaps> flaps;
  };

  [[nodiscard]] bool IsActive(const Source& source) const {
    return source.has_reported && !source.expired;
  }
  void RecordReport(Source& source, double now);
  void MarkOutdated(const Source& source);
  void ExpireDue(double now);
  // A member with the rank of the source that it is taken from.
  struct RankedMember {
    int rank = 0;
    Member member;
  };
  using RankedMembers = std::map<std::string, RankedMember>;  // by address

  // The source that alone speaks for the destination; null if none does.
  [[nodiscard]] const Source* OwnerOf(std::uint64_t number) const;
  // Adds what the source lists: the lowest rank holds, in the worst phase that any of them tells.
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
  std::set<std::uint64_t> outdated_destinations_;        // to be worked out again
  std::set<std::pair<double, std::uint64_t>> releases_;  // when something held back may come
};

}  // namespace brassfront::membership

#endif  // BRASSFRONT_MEMBERSHIP_MEMBERSHIP_HPP_
