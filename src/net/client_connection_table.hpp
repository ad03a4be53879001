// All client connections, and the choice of the one to be closed next: because of its deadline, or
// to make room for others. No I/O, no clock, no lock: ClientServer calls it while holding its
// mutex.
#ifndef BRASSFRONT_NET_CLIENT_CONNECTION_TABLE_HPP_
#define BRASSFRONT_NET_CLIENT_CONNECTION_TABLE_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "net/client_connection.hpp"

namespace brassfront {

// Owns the client connections. Not thread-safe.
class ClientConnectionTable {
 public:
  // When an idle connection may be closed to make room for others.
  struct EvictionLimits {
    std::size_t max_idle = SIZE_MAX;  // connections that have submitted a message
    std::chrono::milliseconds min_idle_before_first_message{0};
    std::chrono::milliseconds min_idle{0};  // after the first message
  };

  explicit ClientConnectionTable(const EvictionLimits& limits) : limits_(limits) {}

  [[nodiscard]] std::size_t size() const { return connections_.size(); }
  [[nodiscard]] bool empty() const { return connections_.empty(); }
  // Returns the number of scheduled connections that wait for their first command or are between
  // two commands.
  [[nodiscard]] std::size_t idle_connections() const;

  // Takes ownership of the socket. Does not schedule the connection. The reference is valid until
  // Remove.
  ClientConnection& Add(Socket socket, SteadyTime now);
  // Returns null if the connection has been removed.
  [[nodiscard]] ClientConnection* Find(ClientConnectionId id);
  // Unschedules the connection and destroys it, which closes its socket.
  void Remove(ClientConnection& connection);

  // Inserts the connection into the orders below that match its state and whether it has submitted
  // a message. Unschedule it before changing any of its members that the orders depend on.
  void Schedule(ClientConnection& connection, SteadyTime deadline);
  // Removes the connection from the orders, for instance while a worker serves it. No effect if it
  // is in none of them.
  void Unschedule(ClientConnection& connection);

  // The functions below return null if there is no such connection.
  // The scheduled connection with the earliest deadline, if that has passed.
  [[nodiscard]] ClientConnection* FindExpired(SteadyTime now);
  // The lingering connection whose close began first.
  [[nodiscard]] ClientConnection* FindOldestLingering();
  // The idle connection to be closed to make room for a new one: the longest idle connection that
  // has submitted no message, so that clients that connect and send nothing can't lock others out;
  // otherwise the longest idle connection. Connections that have been idle for less than their
  // minimum are not evicted.
  [[nodiscard]] ClientConnection* FindEvictable(SteadyTime now);
  // The longest idle connection that has submitted a message, if more than max_idle of these are
  // idle.
  [[nodiscard]] ClientConnection* FindExcessIdle(SteadyTime now);

  // Returns the ids of connections in the state kReading that are between two commands, unordered.
  [[nodiscard]] std::vector<ClientConnectionId> IdsBetweenCommands() const;
  // Returns the ids of connections that are not in the state kServing, unordered.
  [[nodiscard]] std::vector<ClientConnectionId> IdsNotServing() const;

 private:
  struct Entry {
    SteadyTime time;
    ClientConnectionId id;
    bool operator<(const Entry& other) const {
      return std::tie(time, id) < std::tie(other.time, other.id);
    }
  };
  using Order = std::set<Entry>;  // the earliest first

  [[nodiscard]] ClientConnection* First(const Order& order);
  [[nodiscard]] ClientConnection* FirstIdleFor(const Order& order,
                                               std::chrono::milliseconds minimum, SteadyTime now);

  const EvictionLimits limits_;
  ClientConnectionId next_id_ = 0;
  std::unordered_map<ClientConnectionId, std::unique_ptr<ClientConnection>> connections_;
  Order by_deadline_;
  Order idle_before_first_message_;  // by idle_since
  Order idle_after_first_message_;   // by idle_since
  Order lingering_;                  // by deadline
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_CLIENT_CONNECTION_TABLE_HPP_
