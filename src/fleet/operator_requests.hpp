// What operators ask by the control socket: queries are answered at once, commands are submitted to
// the leader until the committed state has their result or their time is over.
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

// Owned and called by the fleet's thread.
class OperatorRequests {
 public:
  using Time = peers::Time;
  // Sends a command to the leader. It may get lost: the command is submitted again.
  using Submit = std::function<void(const maintenance::Command&)>;

  // Replies to a query, and to what cannot be read; a command becomes pending. `sharing` is nullptr
  // if the roster has none. A command without a token gets one from `identity`, the folder's, and
  // the time.
  void Accept(ReceivedControlRequest received, const MemberView& view, const Sharing* sharing,
              std::uint64_t identity, Time now);
  // Replies to the commands that have a result, and to those whose time is over; submits others
  // that are due. True if any was submitted.
  bool Advance(const MemberView& view, const Submit& submit, Time now);
  // Drops all pending commands: whoever waits for a reply gets a broken promise.
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
