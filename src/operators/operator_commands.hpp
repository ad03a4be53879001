// The commands that operators send to a running forwarder at its second address: its status and
// metrics, standby, and the maintenance of endpoints.
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
  std::string body;  // human-readable text
};

// Used by one thread. Blocks only for writes to the state folder.
class OperatorCommands {
 public:
  // The functions of the forwarder that the commands use. They must not wait for the engine.
  struct Forwarder {
    std::function<bool()> serves;
    std::function<void(bool)> set_standby;
    // Passes changes of the endpoint list to the engine.
    EndpointExclusions::Deliver set_endpoints;
    // Called when the endpoint is back from maintenance and needs to warm up.
    std::function<void(const std::string& endpoint)> readmit;
  };

  // Reads the exclusions that earlier processes have stored; while they cannot be read, no call may
  // start. `owner`, which owns the state folder, and `exclusions` must outlive this object.
  OperatorCommands(FolderOwner& owner, EndpointExclusions& exclusions);

  // Must be called before Execute.
  void Attach(Forwarder forwarder) { forwarder_ = std::move(forwarder); }

  [[nodiscard]] OperatorReply Execute(const HttpRequest& request);
  // Retries failed reads and writes of the state folder. Must be called about once per second.
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
