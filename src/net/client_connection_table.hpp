// All connections of clients, and which of them is to be closed next: at its deadline, or to make
// way for others. No I/O, no clock, no lock: ClientServer calls it with its mutex held.
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

class ClientConnectionTable {
 public:
  // When an idle connection may be closed in favour of others.
  struct EvictionLimits {
    std::size_t max_idle = SIZE_MAX;  // connections that have submitted a message
    std::chrono::milliseconds min_idle_before_first_message{0};
    std::chrono::milliseconds min_idle{0};  // after the first message
  };

  explicit ClientConnectionTable(const EvictionLimits& limits) : limits_(limits) {}

  [[nodiscard]] std::size_t size() const { return connections_.size(); }
  [[nodiscard]] bool empty() const { return connections_.empty(); }
  // Those in the orders of idle connections: scheduled, and between two commands or before one.
  [[nodiscard]] std::size_t idle_connections() const;

  // Takes the connection over. It is not scheduled yet. The reference is valid until Remove.
  ClientConnection& Add(Socket socket, SteadyTime now);
  // Null if it has been removed.
  [[nodiscard]] ClientConnection* Find(ClientConnectionId id);
  // Unschedules the connection and destroys it, which closes its socket.
  void Remove(ClientConnection& connection);

  // Enters the connection in the orders below, as its state and its message history say. What they
  // depend on may change only while it is not scheduled: unschedule it first.
  void Schedule(ClientConnection& connection, SteadyTime deadline);
  // Takes it out of them, as for a worker. Harmless if it is not in them.
  void Unschedule(ClientConnection& connection);

  // Each returns null if there is none such.
  // A scheduled connection whose deadline has come; the earliest first.
  [[nodiscard]] ClientConnection* FindExpired(SteadyTime now);
  // The lingering connection that has been closing for the longest time.
  [[nodiscard]] ClientConnection* FindOldestLingering();
  // The idle connection whose loss is the least, to make way for a new one: the longest idle of
  // those that have submitted no message, so that clients that connect and send nothing can't lock
  // others out; else the longest idle of all. None that has been idle for less than its minimum.
  [[nodiscard]] ClientConnection* FindEvictable(SteadyTime now);
  // The longest idle connection that has submitted a message, if there are more such than max_idle.
  [[nodiscard]] ClientConnection* FindExcessIdle(SteadyTime now);

  // Those in the state kReading that wait between two commands, in no order.
  [[nodiscard]] std::vector<ClientConnectionId> IdsBetweenCommands() const;
  // Those that are not being served, in no order.
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
