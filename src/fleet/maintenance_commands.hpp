// Parses an operator's control request into a command for the maintenance state. No I/O.
#ifndef BRASSFRONT_FLEET_MAINTENANCE_COMMANDS_HPP_
#define BRASSFRONT_FLEET_MAINTENANCE_COMMANDS_HPP_

#include <string>
#include <string_view>
#include <variant>

#include "fleet/control_protocol.hpp"
#include "maintenance/maintenance_state.hpp"

namespace brassfront::fleet {

// Prefix of the paths of commands.
inline constexpr std::string_view kMaintenancePath = "/fleet/maintenance/";

// Describes to the operator what is wrong with a request.
struct CommandError {
  std::string message;
};

// The command has token 0 if the operator gave none.
[[nodiscard]] std::variant<maintenance::Command, CommandError> ParseCommand(
    const ControlRequest& request);

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_MAINTENANCE_COMMANDS_HPP_
