// Interface between the replicated log and the replicated state: committed commands are applied to
// a state machine.
#ifndef BRASSFRONT_CONSENSUS_STATE_MACHINE_HPP_
#define BRASSFRONT_CONSENSUS_STATE_MACHINE_HPP_

#include <string>
#include <string_view>

namespace brassfront::consensus {

// The same commands must produce the same state on every voter, so an implementation uses no clock,
// no random numbers and no I/O. Called by the thread that owns the RaftNode.
class StateMachine {
 public:
  virtual ~StateMachine() = default;
  virtual void Apply(std::string_view command) = 0;
  // Save encodes the complete state for a snapshot, and Load restores it. Load returns false if the
  // bytes are not a saved state.
  [[nodiscard]] virtual std::string Save() const = 0;
  virtual bool Load(std::string_view state) = 0;
};

}  // namespace brassfront::consensus

#endif  // BRASSFRONT_CONSENSUS_STATE_MACHINE_HPP_
