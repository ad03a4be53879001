// The replicated maintenance state: the machines and endpoints for which maintenance is requested,
// which of them are draining or out, and the slots that they occupy. The replicated log drives it,
// so that it is the same on every member. No I/O, no clock, no randomness; one thread at a time.
//
// A slot allows one machine to be out of service. Invariants:
// - A dead machine occupies a slot. A machine with a granted request occupies one from the grant
//   until it reports that it serves again, so a slot is never granted again while the machine may
//   still be out.
// - A grant beyond the limits, in total or in a zone, is ignored when it is applied, even if it was
//   valid when it was proposed.
// - A command with the token of a stored result changes nothing: retries are idempotent.
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
#include "maintenance/maintenance_command.hpp"

namespace brassfront::maintenance {

// The lifecycle of a request. kRequested: it waits for a slot. kDraining, kOut and kReturning
// follow a grant. kFailed: a deadline has passed; the machine keeps its slot until an operator
// brings it back. kBack and kCancelled are final.
enum class State : std::uint8_t {
  kRequested,
  kDraining,
  kOut,
  kReturning,
  kFailed,
  kBack,
  kCancelled
};
[[nodiscard]] const char* ToString(State state);
[[nodiscard]] inline bool IsFinal(State state) {
  return state == State::kBack || state == State::kCancelled;
}

inline constexpr std::size_t kMaxOpenRequests = 400;     // requests that are not final
inline constexpr std::size_t kMaxFinishedRequests = 50;  // final requests kept for operators
inline constexpr std::size_t kMaxStoredResults = 200;    // kept to answer retries of commands

// A request for maintenance of one machine or endpoint.
struct Request {
  std::uint64_t id = 0;
  Kind kind = Kind::kMachine;
  std::string name;  // name of the machine, or id of the endpoint
  Urgency urgency = Urgency::kNormal;
  State state = State::kRequested;
  // Number of grants to later requests; raises the effective urgency.
  std::uint32_t times_overtaken = 0;
  std::string why;  // the reason, with kFailed and kCancelled
  // For an endpoint: the members that have confirmed that they start no more calls to it, with the
  // process incarnation in which each of them confirmed.
  std::map<std::string, std::uint64_t> confirmed;

  [[nodiscard]] bool HoldsSlot() const {
    return kind == Kind::kMachine && state != State::kRequested && !IsFinal(state);
  }
};

// The replicated state of one member of the roster.
struct MemberState {
  std::string zone;
  std::uint64_t process_incarnation = 0;  // the highest one in any command
  bool dead = false;
  std::uint64_t ended = 0;  // process incarnations up to this one are known to have ended
};

// The result of an operator command; the text is shown to the operator verbatim.
struct RequestResult {
  bool good = false;
  std::string text;
};

// The state machine. Owned by the fleet thread.
class MaintenanceState : public consensus::StateMachine {
 public:
  // Applies one encoded command. Bytes that are not a valid command only increment the revision.
  void Apply(std::string_view command) override;
  [[nodiscard]] std::string Save() const override;
  // Returns false and changes nothing if the bytes are not a state that Save wrote.
  bool Load(std::string_view state) override;

  [[nodiscard]] std::uint64_t revision() const { return revision_; }  // number of commands applied
  [[nodiscard]] const std::map<std::string, MemberState>& members() const { return members_; }
  [[nodiscard]] const std::map<std::uint64_t, Request>& requests() const { return requests_; }
  [[nodiscard]] const std::deque<Request>& finished_requests() const { return finished_; }
  [[nodiscard]] std::size_t max_out_total() const { return max_out_total_; }
  [[nodiscard]] std::size_t max_out_per_zone() const { return max_out_per_zone_; }
  [[nodiscard]] bool grants_paused() const { return grants_paused_; }
  [[nodiscard]] const std::string& last_zone() const { return last_zone_; }
  // The stored result of the command with this token; nullptr if there is none or it was dropped.
  [[nodiscard]] const RequestResult* ResultFor(std::uint64_t token) const;

  // The open request for a machine or endpoint; nullptr if there is none.
  [[nodiscard]] const Request* RequestFor(Kind kind, const std::string& name) const;
  // Number of slots in use, by dead machines and by granted requests.
  [[nodiscard]] std::size_t SlotsInUse() const { return SlotsInUseInZone(""); }
  [[nodiscard]] std::size_t SlotsInUseInZone(const std::string& zone) const {  // empty: in total
    const auto it = slots_in_use_.find(zone);
    return it == slots_in_use_.end() ? 0 : it->second;
  }
  // Whether a grant to this request would be accepted now.
  [[nodiscard]] bool CanBeGranted(const Request& request) const;
  // Describes for operators what the request waits for; empty if it waits for nothing.
  [[nodiscard]] std::string WaitsFor(const Request& request) const;
  // Names of the members that may still start calls to the endpoint of this request.
  [[nodiscard]] std::vector<std::string> Unconfirmed(const Request& request) const;

 private:
  // One handler for each kind of command; Execute only dispatches.
  void Execute(const Command& command);
  void ExecuteOperatorCommand(const Command& command);
  void ExecuteRequestCommand(const Command& command);
  void ExecuteMemberCommand(const Command& command);
  // Operator commands.
  RequestResult RequestMaintenance(const Command& command);
  RequestResult RequestOne(const Command& command, const std::string& name);
  RequestResult Cancel(const Command& command);
  RequestResult PauseGrants(const Command& command);
  RequestResult BringBack(const Command& command);
  RequestResult DeclareEnded(const Command& command);
  // Commands of the leader and of members on one request.
  void Grant(Request& request);
  static void MarkOut(Request& request);
  void Confirm(Request& request, const Command& command);
  void Return(const Request& request);
  static void Fail(Request& request, const std::string& reason);
  // Commands of the leader on the roster and on members.
  void RemoveMember(const std::string& name);
  void SetLiveness(const Command& command);

  // Moves an open request to the finished ones.
  void Finish(std::uint64_t id, State state, std::string why);
  void FinishEndpointDrains();
  void CountSlots();
  void StoreResult(std::uint64_t token, RequestResult result);
  [[nodiscard]] std::string SlotHolders(const std::string& zone) const;

  std::uint64_t revision_ = 0;
  std::uint64_t next_id_ = 1;
  std::map<std::string, MemberState> members_;
  std::map<std::uint64_t, Request> requests_;
  std::deque<Request> finished_;
  std::deque<std::pair<std::uint64_t, RequestResult>> results_;
  std::size_t max_out_total_ = 0;
  std::size_t max_out_per_zone_ = 0;
  bool grants_paused_ = false;
  std::string last_zone_;  // zone of the machine whose request was granted last
  // By zone, with the total under the empty name. Not saved, because it is derived from the rest.
  std::map<std::string, std::size_t> slots_in_use_;
};

}  // namespace brassfront::maintenance

#endif  // BRASSFRONT_MAINTENANCE_MAINTENANCE_STATE_HPP_
