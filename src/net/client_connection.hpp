// One client's connection: its socket, the parser of what it sends, and what its limits depend on.
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

// Who may touch a connection follows from its state; see each state.
struct ClientConnection {
  enum class State {
    kReading,    // the poll loop's: waits for a complete command
    kServing,    // a worker's, which answers its commands; nobody else may touch it
    kLingering,  // the poll loop's: sending is shut down, and what still comes is discarded
  };

  ClientConnection(ClientConnectionId connection_id, Socket connected, SteadyTime now)
      : id(connection_id), socket(std::move(connected)), idle_since(now) {}

  // True if it waits for its first command to be complete or for a further one to begin.
  [[nodiscard]] bool IsIdle() const { return commands == 0 || reader.between_commands(); }
  // True if it has been answered and no further command has begun.
  [[nodiscard]] bool IsBetweenCommands() const { return commands > 0 && reader.between_commands(); }

  const ClientConnectionId id;
  Socket socket;
  RespReader reader{};
  State state = State::kReading;
  SteadyTime idle_since;  // connected, or its last command was answered
  SteadyTime deadline{};  // of the state that it is in; kept by ClientConnectionTable
  SteadyTime read_at{};   // when the commands that are served now were read
  // Since when these commands may have waited to be read: since the read before, if there was input
  // at the end of serving what that read brought.
  SteadyTime received_at{};
  bool input_waits = false;            // there was, when the last commands had been served
  std::size_t commands = 0;            // answered so far
  bool has_submitted_message = false;  // a valid one, accepted or not
  std::size_t consecutive_invalid_commands = 0;
  std::string pending_replies{};              // not written yet, of pipelined commands
  std::size_t discarded_bytes = 0;            // while lingering
  std::optional<CloseReason> close_reason{};  // while lingering
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_CLIENT_CONNECTION_HPP_
