// One client's connection: its socket, the parser of its commands, and the data that its limits
// depend on.
#ifndef BRASSFRONT_NET_CLIENT_CONNECTION_HPP_
#define BRASSFRONT_NET_CLIENT_CONNECTION_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "net/close_reason.hpp"
#include "net/socket.hpp"
#include "protocol/resp.hpp"

namespace brassfront {

using ClientConnectionId = std::uint64_t;  // never reused

// Its state determines which thread may access it; see each state.
struct ClientConnection {
  enum class State {
    kReading,    // owned by the poll loop: waits for a complete command
    kServing,    // owned by the worker that executes its commands
    kLingering,  // owned by the poll loop: sending is shut down, and further input is discarded
  };

  ClientConnection(ClientConnectionId connection_id, Socket connected, SteadyTime now)
      : id(connection_id), socket(std::move(connected)), idle_since(now) {}

  // True if its first command is not complete yet, or the next one has not begun.
  [[nodiscard]] bool IsIdle() const { return commands == 0 || reader.between_commands(); }
  // True if at least one command has been executed and the next one has not begun.
  [[nodiscard]] bool IsBetweenCommands() const { return commands > 0 && reader.between_commands(); }

  const ClientConnectionId id;
  Socket socket;
  RespReader reader{};
  State state = State::kReading;
  SteadyTime idle_since;  // when it connected, or when its last command was answered
  SteadyTime deadline{};  // of its current state; set by ClientConnectionTable
  SteadyTime read_at{};   // when the commands being executed were read
  // The earliest time at which these commands may have been received: the time of the previous
  // read, if there was unread input once the commands of that read had been executed.
  SteadyTime received_at{};
  bool had_unread_input = false;       // there was unread input after the last commands
  std::size_t commands = 0;            // number executed so far
  bool has_submitted_message = false;  // a valid message, accepted or rejected
  std::size_t consecutive_invalid_commands = 0;
  std::string pending_replies{};              // to pipelined commands, not written yet
  std::size_t discarded_bytes = 0;            // while lingering
  std::optional<CloseReason> close_reason{};  // while lingering
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_CLIENT_CONNECTION_HPP_
