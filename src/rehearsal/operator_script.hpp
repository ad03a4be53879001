// On-call staff in a rehearsal: they ask any forwarder for work by its control socket, as
// `brassfront fleet` would, bring back what has been out for long enough, and look every tenth of a
// second whether each forwarder takes clients. They ask again, with the same number, where nobody
// answers.
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
    std::function<bool(std::size_t)> runs;  // serves, or stands by
    std::function<tcp::endpoint(std::size_t)> address;
    std::function<void(std::size_t)> restart;  // its process is replaced
    std::function<void(std::size_t, bool takes)> takes_clients;
  };

  OperatorScript(RunContext& context, FleetAuditor& auditor, std::string out, Hooks hooks);

  // Looks at all forwarders from now on.
  void Begin();
  // Asks for the work of an action; `name` is the machine's, or the endpoint's id.
  void RequestWork(const FaultAction& action, const std::string& name);
  // A line of a forwarder's log: what has been said to be out is brought back in time.
  void Line(const std::string& line);
  void Close() { closed_ = true; }

 private:
  struct Request {
    std::string target;  // of the call, with its token
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
  std::map<std::string, const FaultAction*> actions_;  // by machine or endpoint
  const FaultAction* group_action_ = nullptr;          // the last action for a hall or all
  std::set<std::string> returned_;                     // request numbers
  bool closed_ = false;
};

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_OPERATOR_SCRIPT_HPP_
