// Operators' requests on the control socket. Queries are answered at once; commands are submitted
// to the leader repeatedly until the committed state contains their result or they time out.
#ifndef BRASSFRONT_FLEET_OPERATOR_REQUESTS_HPP_
#define BRASSFRONT_FLEET_OPERATOR_REQUESTS_HPP_

#include <cstdint>
#include <functional>
#include <future>
#include <vector>

#include "fleet/control_protocol.hpp"
#include "fleet/reports.hpp"
#include "fleet/sharing.hpp"
#include "maintenance/maintenance_state.hpp"
#include "peers/roster.hpp"

namespace brassfront::fleet {

// A request on its way from the control server's thread, which waits for the reply.
struct ReceivedControlRequest {
  ControlRequest request;
  std::promise<ControlReply> reply;
};

// Used only by the fleet's thread.
class OperatorRequests {
 public:
  using Time = peers::Time;
  // Sends a command to the leader. The command may get lost; it is then submitted again.
  using Submit = std::function<void(const maintenance::Command&)>;

  // Replies at once to a query or an invalid request; a command becomes pending. `sharing` is
  // nullptr if the roster shares nothing. A command without a token gets one derived from
  // `identity`, the identity of the folder, and the time.
  void Accept(ReceivedControlRequest received, const MemberView& view, const Sharing* sharing,
              std::uint64_t identity, Time now);
  // Replies to the commands that have a result or have timed out, and submits others that are due.
  // Returns whether any command was submitted.
  bool Advance(const MemberView& view, const Submit& submit, Time now);
  // Drops all pending commands, which breaks the promises of their replies.
  void Abandon() { pending_.clear(); }

 private:
  struct PendingCommand {
    maintenance::Command command;
    std::promise<ControlReply> reply;
    Time deadline{};
    Time next_attempt{};
  };

  std::vector<PendingCommand> pending_;
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_OPERATOR_REQUESTS_HPP_
