// What committed commands are applied to: the interface between the replicated log and the state
// that it is for.
#ifndef BRASSFRONT_CONSENSUS_STATE_MACHINE_HPP_
#define BRASSFRONT_CONSENSUS_STATE_MACHINE_HPP_

#include <string>
#include <string_view>

namespace brassfront::consensus {

// The same commands must give the same state on every voter: no clock, no random numbers, no I/O.
// Called by the thread that owns the RaftNode.
class StateMachine {
 public:
  virtual ~StateMachine() = default;
  virtual void Apply(std::string_view command) = 0;
  // The whole state as bytes, for a snapshot, and back. Load returns false if the bytes are no
  // saved state.
  [[nodiscard]] virtual std::string Save() const = 0;
  virtual bool Load(std::string_view state) = 0;
};

}  // namespace brassfront::consensus

#endif  // BRASSFRONT_CONSENSUS_STATE_MACHINE_HPP_
