// What a client's RESP commands do: MSG.PUT goes to the message acceptor, PING and QUIT are
// answered here, and anything else is an error. The replies are written to the client's socket.
#ifndef BRASSFRONT_NET_CLIENT_COMMANDS_HPP_
#define BRASSFRONT_NET_CLIENT_COMMANDS_HPP_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

#include "acceptance/message_acceptor.hpp"
#include "net/client_connection.hpp"
#include "net/close_reason.hpp"
#include "net/standby_switch.hpp"
#include "protocol/resp.hpp"

namespace brassfront {

// Used by many workers concurrently, each with a connection in the state kServing. It has no state
// per connection. The acceptor and the standby switch must outlive it.
class ClientCommands {
 public:
  // How long MSG.PUT is still accepted after standby begins. Within this time, clients that do not
  // look for a healthy forwarder first learn of the standby from PING or because their connection
  // is closed.
  static constexpr std::chrono::milliseconds kStandbyAcceptPeriod{1000};

  // A connection is to be closed after `max_consecutive_invalid` consecutive invalid commands.
  ClientCommands(MessageAcceptor& acceptor, const StandbySwitch& standby,
                 std::size_t max_consecutive_invalid)
      : acceptor_(acceptor), standby_(standby), max_consecutive_invalid_(max_consecutive_invalid) {}

  // Executes, in order, the complete commands that the connection's reader has parsed, and writes
  // their replies. May block, because the acceptor decides on each message. Returns why the
  // connection is to be closed, or nothing if it stays open.
  [[nodiscard]] std::optional<CloseReason> ExecutePending(ClientConnection& connection) const;

 private:
  // Each returns why the connection is to be closed, or nothing if it stays open.
  [[nodiscard]] std::optional<CloseReason> Execute(ClientConnection& connection,
                                                   RespCommand& command) const;
  [[nodiscard]] std::optional<CloseReason> ExecutePing(ClientConnection& connection,
                                                       const RespCommand& command) const;
  [[nodiscard]] std::optional<CloseReason> ExecutePut(ClientConnection& connection,
                                                      RespCommand& command) const;
  [[nodiscard]] std::optional<CloseReason> Acknowledge(ClientConnection& connection,
                                                       std::uint64_t message) const;
  [[nodiscard]] std::optional<CloseReason> ReplyInvalid(ClientConnection& connection,
                                                        const std::string& reply) const;

  MessageAcceptor& acceptor_;
  const StandbySwitch& standby_;
  const std::size_t max_consecutive_invalid_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_CLIENT_COMMANDS_HPP_
