// Simulated operators of a rehearsal. They request maintenance from any forwarder over its control
// socket, as `brassfront fleet` would, and end the maintenance of a target once it has been out for
// the specified time. They poll every tenth of a second whether each forwarder accepts clients. A
// request without an answer is sent again with the same token.
#ifndef BRASSFRONT_REHEARSAL_OPERATOR_SCRIPT_HPP_
#define BRASSFRONT_REHEARSAL_OPERATOR_SCRIPT_HPP_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "rehearsal/fleet_auditor.hpp"
#include "rehearsal/run_context.hpp"

namespace brassfront::rehearsal {

class OperatorScript {
 public:
  struct Hooks {
    std::function<bool(std::size_t)> runs;  // serving or on standby
    std::function<tcp::endpoint(std::size_t)> address;
    std::function<void(std::size_t)> restart;  // restarts the process
    std::function<void(std::size_t, bool takes)> takes_clients;
  };

  OperatorScript(RunContext& context, FleetAuditor& auditor, std::string out, Hooks hooks);

  // Starts to poll all forwarders.
  void Begin();
  // Requests the maintenance of an action; `name` is the name of the machine or the ID of the
  // endpoint.
  void RequestWork(const FaultAction& action, const std::string& name);
  // Handles a line of a forwarder's log. A target that is logged as out is returned after its stay.
  void Line(const std::string& line);
  void Close() { closed_ = true; }

 private:
  struct Request {
    std::string target;  // path and query of the HTTP request, with its token
    std::size_t forwarder = 0;
    Time since{};
    bool is_ask = false;
  };

  void Poll(std::size_t forwarder);
  void Send(std::size_t request);
  void Answered(std::size_t request, const std::string& text);
  void Start(std::string target, std::size_t forwarder, bool is_ask);

  RunContext& context_;
  FleetAuditor& auditor_;
  const std::string out_;
  const Hooks hooks_;
  std::vector<Request> requests_;
  std::map<std::string, const FaultAction*> actions_;  // by name of the machine or endpoint
  const FaultAction* group_action_ = nullptr;          // last action for a hall or for all machines
  // Numbers of requests whose return has been scheduled.
  std::set<std::string> returned_;
  bool closed_ = false;
};

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_OPERATOR_SCRIPT_HPP_
