// Reads an operator's control request as a command of the maintenance state. No I/O.
#ifndef BRASSFRONT_FLEET_MAINTENANCE_COMMANDS_HPP_
#define BRASSFRONT_FLEET_MAINTENANCE_COMMANDS_HPP_

#include <string>
#include <string_view>
#include <variant>

#include "fleet/control_protocol.hpp"
#include "maintenance/maintenance_state.hpp"

namespace brassfront::fleet {

// Paths of commands begin with this.
inline constexpr std::string_view kMaintenancePath = "/fleet/maintenance/";

// What is wrong with a request, for the operator.
struct CommandError {
  std::string message;
};

// The command has token 0 if the operator gave none.
[[nodiscard]] std::variant<maintenance::Command, CommandError> ParseCommand(
    const ControlRequest& request);

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_MAINTENANCE_COMMANDS_HPP_
