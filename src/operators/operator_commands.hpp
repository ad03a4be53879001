// What operators ask of a running forwarder at its second address: whether it serves, its counters,
// standby, and endpoints in maintenance.
#ifndef BRASSFRONT_OPERATORS_OPERATOR_COMMANDS_HPP_
#define BRASSFRONT_OPERATORS_OPERATOR_COMMANDS_HPP_

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "exclusions/endpoint_exclusions.hpp"
#include "exclusions/exclusion_file.hpp"
#include "protocol/http_request.hpp"
#include "spool/folder_owner.hpp"

namespace brassfront {

struct OperatorReply {
  int status = 0;
  std::string body;  // a line for people
};

// For one thread. Blocks for a write to the state folder at most.
class OperatorCommands {
 public:
  // What the commands need of the forwarder. None of it may wait for the engine.
  struct Forwarder {
    std::function<bool()> serves;
    std::function<void(bool)> set_standby;
    // Changes of the endpoint list, for the engine.
    EndpointExclusions::Deliver set_endpoints;
    // The endpoint is back from maintenance, and cold.
    std::function<void(const std::string& endpoint)> readmit;
  };

  // Reads who was taken out by earlier processes; while that can't be read, no call may begin. The
  // exclusions and the owner of the state folder outlive this.
  OperatorCommands(FolderOwner& owner, EndpointExclusions& exclusions);

  // To be called before Execute.
  void Attach(Forwarder forwarder) { forwarder_ = std::move(forwarder); }

  [[nodiscard]] OperatorReply Execute(const HttpRequest& request);
  // Tries again what failed on the state folder. To be called every second or so.
  void Retry();

 private:
  [[nodiscard]] OperatorReply EnterMaintenance(const std::string& endpoint);
  [[nodiscard]] OperatorReply ExitMaintenance(const std::string& endpoint);
  [[nodiscard]] OperatorReply SetStandby(bool standby);
  [[nodiscard]] OperatorReply Store(const std::string& endpoint);
  void Load();
  void Apply();

  FolderOwner& owner_;
  const ExclusionFile file_;
  EndpointExclusions& exclusions_;
  Forwarder forwarder_;
  std::set<std::string> excluded_;
  bool loaded_ = false;
  bool write_is_due_ = false;
};

}  // namespace brassfront

#endif  // BRASSFRONT_OPERATORS_OPERATOR_COMMANDS_HPP_
