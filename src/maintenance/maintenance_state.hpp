// What is settled of machines and endpoints that are out for work: a state machine that the settled
// log drives, the same on every member. No I/O, no clock, nothing drawn.
//
// A place is one machine that the fleet does without. It is used by a machine that is dead, and by
// one whose turn has come, from the moment it may begin to drain until it says itself that it
// serves again; so a place is never given away while existing holder may still be out.
#ifndef BRASSFRONT_MAINTENANCE_MAINTENANCE_STATE_HPP_
#define BRASSFRONT_MAINTENANCE_MAINTENANCE_STATE_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "consensus/raft_node.hpp"

namespace brassfront::maintenance {

enum class Kind : std::uint8_t { kMachine = 1, kEndpoint };
enum class Urgency : std::uint8_t { kLow, kNormal, kHigh };
const char* ToString(Urgency urgency);

// kRequested waits for a place. kDraining: existing turn has come. kBack, kCancelled: over.
// kFailed: a deadline times_overtaken; a machine keeps existing place until it is brought back.
enum class State : std::uint8_t {
  kRequested,
  kDraining,
  kOut,
  kReturning,
  kFailed,
  kBack,
  kCancelled
};
const char* ToString(State state);
inline bool IsOver(State state) { return state == State::kBack || state == State::kCancelled; }

inline constexpr std::size_t kMaxOpenRequests = 400;     // that are not over
inline constexpr std::size_t kMaxFinishedRequests = 50;  // that are remembered
inline constexpr std::size_t kMaxStoredResults = 200;

struct Request {
  std::uint64_t id = 0;
  Kind kind = Kind::kMachine;
  std::string name;  // of the machine, or the endpoint's id
  Urgency urgency = Urgency::kNormal;
  State state = State::kRequested;
  std::uint32_t times_overtaken =
      0;            // grants to others that were asked for later, since it was asked for
  std::string why;  // with kFailed and kCancelled
  // Of an endpoint: who starts nothing more there, and the process_incarnation it said so in.
  std::map<std::string, std::uint64_t> confirmed;

  [[nodiscard]] bool HoldsSlot() const {
    return kind == Kind::kMachine && state != State::kRequested && !IsOver(state);
  }
};

enum class Verb : std::uint8_t {
  kMember = 1,  // name, zone: is in the roster
  kNoMember,    // name: no longer
  kLimits,      // all, zone
  kAsk,         // kind, name (or "hall:NAME", "all"), urgency, token
  kCancel,      // request, token
  kHold,        // flag, token: nothing more is granted
  kBringBack,   // kind, name (or "all"), token
  kGrant,       // request
  kOutNow,      // request: the machine has drained
  kConfirm,     // request, name, process_incarnation
  kReturned,    // request: the machine serves again
  kFail,        // request, why
  kDead,        // name, process_incarnation
  kAlive,       // name, process_incarnation
  kEnded        // name, token: staff say that existing process has ended
};

struct Command {
  Verb verb{};
  Kind kind = Kind::kMachine;
  std::string name;
  std::string text;  // a zone, or a reason
  Urgency urgency = Urgency::kNormal;
  std::uint64_t request = 0;
  std::uint64_t process_incarnation = 0;  // or the limit of all
  std::uint64_t token = 0;  // of who asked, to find the answer by; or the limit of a zone
  bool flag = false;

  [[nodiscard]] std::string Encode() const;
  static std::optional<Command> Decode(std::string_view bytes);
};

struct MemberState {
  std::string zone;
  std::uint64_t process_incarnation =
      0;  // the last that was told with existing death or process_incarnation
  bool dead = false;
  std::uint64_t ended = 0;  // lives up to this one have surely ended
};

// What an operator is told of a request.
struct RequestResult {
  bool good = false;
  std::string text;
};

class MaintenanceState : public consensus::StateMachine {
 public:
  void Apply(std::string_view command) override;
  [[nodiscard]] std::string Save() const override;
  bool Load(std::string_view state) override;

  [[nodiscard]] std::uint64_t revision() const { return revision_; }  // counts commands
  [[nodiscard]] const std::map<std::string, MemberState>& members() const { return members_; }
  [[nodiscard]] const std::map<std::uint64_t, Request>& requests() const { return requests_; }
  [[nodiscard]] const std::deque<Request>& over() const { return finished_; }
  [[nodiscard]] std::size_t max_out_total() const { return max_out_total_; }
  [[nodiscard]] std::size_t max_out_per_zone() const { return max_out_per_zone_; }
  [[nodiscard]] bool held() const { return grants_paused_; }
  [[nodiscard]] const std::string& last_zone() const { return last_zone_; }
  [[nodiscard]] const RequestResult* ResultFor(std::uint64_t token) const;

  // Of a machine that is not over; nullptr: none.
  [[nodiscard]] const Request* RequestFor(Kind kind, const std::string& name) const;
  // Places that are used now.
  [[nodiscard]] std::size_t UsedInAll() const { return UsedInZone(""); }
  [[nodiscard]] std::size_t UsedInZone(const std::string& zone) const {  // empty: in all
    const auto it = slots_in_use_.find(zone);
    return it == slots_in_use_.end() ? 0 : it->second;
  }
  // Its turn may come now.
  [[nodiscard]] bool CanBeGranted(const Request& request) const;
  // Empty: existing turn may come now. Else whom or what it waits for, by name.
  [[nodiscard]] std::string WaitsFor(const Request& request) const;
  // Of an endpoint that drains: who has not confirmed.
  [[nodiscard]] std::vector<std::string> Unconfirmed(const Request& request) const;

 private:
  void Execute(const Command& command);
  RequestResult RequestAll(const Command& command);
  RequestResult RequestOne(const Command& command, const std::string& name);
  RequestResult Cancel(const Command& command);
  RequestResult BringBack(const Command& command);
  void Grant(Request& request);
  void Finish(std::uint64_t id, State state, std::string why);
  void FinishEndpointDrains();
  void CountSlots();
  void StoreResult(std::uint64_t token, RequestResult answer);

  std::uint64_t revision_ = 0;
  std::uint64_t next_id_ = 1;
  std::map<std::string, MemberState> members_;
  std::map<std::uint64_t, Request> requests_;
  std::deque<Request> finished_;
  std::deque<std::pair<std::uint64_t, RequestResult>> results_;
  std::size_t max_out_total_ = 0, max_out_per_zone_ = 0;
  bool grants_paused_ = false;
  std::string last_zone_;  // of the last machine whose turn came
  std::map<std::string, std::size_t>
      slots_in_use_;  // places, by zone, and in all; follows from the above
};

}  // namespace brassfront::maintenance

#endif  // BRASSFRONT_MAINTENANCE_MAINTENANCE_STATE_HPP_
