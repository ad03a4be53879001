#include "net/client_connection_table.hpp"

#include <utility>

namespace brassfront {

ClientConnection& ClientConnectionTable::Add(Socket socket, SteadyTime now) {
  const ClientConnectionId id = next_id_++;
  auto connection = std::make_unique<ClientConnection>(id, std::move(socket), now);
  return *connections_.emplace(id, std::move(connection)).first->second;
}

ClientConnection* ClientConnectionTable::Find(ClientConnectionId id) {
  const auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : found->second.get();
}

void ClientConnectionTable::Remove(ClientConnection& connection) {
  Unschedule(connection);
  connections_.erase(connection.id);
}

void ClientConnectionTable::Schedule(ClientConnection& connection, SteadyTime deadline) {
  connection.deadline = deadline;
  by_deadline_.insert({deadline, connection.id});
  if (connection.state == ClientConnection::State::kLingering) {
    lingering_.insert({deadline, connection.id});
  } else if (connection.IsIdle()) {
    Order& idle =
        connection.has_submitted_message ? idle_after_first_message_ : idle_before_first_message_;
    idle.insert({connection.idle_since, connection.id});
  }
}

void ClientConnectionTable::Unschedule(ClientConnection& connection) {
  by_deadline_.erase({connection.deadline, connection.id});
  lingering_.erase({connection.deadline, connection.id});
  idle_before_first_message_.erase({connection.idle_since, connection.id});
  idle_after_first_message_.erase({connection.idle_since, connection.id});
}

std::size_t ClientConnectionTable::idle_connections() const {
  return idle_before_first_message_.size() + idle_after_first_message_.size();
}

ClientConnection* ClientConnectionTable::FindExpired(SteadyTime now) {
  ClientConnection* const first = First(by_deadline_);
  return first != nullptr && first->deadline <= now ? first : nullptr;
}

ClientConnection* ClientConnectionTable::FindOldestLingering() { return First(lingering_); }

ClientConnection* ClientConnectionTable::FindEvictable(SteadyTime now) {
  ClientConnection* const before_first_message =
      FirstIdleFor(idle_before_first_message_, limits_.min_idle_before_first_message, now);
  if (before_first_message != nullptr) return before_first_message;
  return FirstIdleFor(idle_after_first_message_, limits_.min_idle, now);
}

ClientConnection* ClientConnectionTable::FindExcessIdle(SteadyTime now) {
  if (idle_after_first_message_.size() <= limits_.max_idle) return nullptr;
  return FirstIdleFor(idle_after_first_message_, limits_.min_idle, now);
}

std::vector<ClientConnectionId> ClientConnectionTable::IdsBetweenCommands() const {
  std::vector<ClientConnectionId> ids;
  for (const auto& [id, connection] : connections_) {
    if (connection->state == ClientConnection::State::kReading && connection->IsBetweenCommands()) {
      ids.push_back(id);
    }
  }
  return ids;
}

std::vector<ClientConnectionId> ClientConnectionTable::IdsNotServing() const {
  std::vector<ClientConnectionId> ids;
  for (const auto& [id, connection] : connections_) {
    if (connection->state != ClientConnection::State::kServing) ids.push_back(id);
  }
  return ids;
}

ClientConnection* ClientConnectionTable::First(const Order& order) {
  return order.empty() ? nullptr : connections_.at(order.begin()->id).get();
}

ClientConnection* ClientConnectionTable::FirstIdleFor(const Order& order,
                                                      std::chrono::milliseconds minimum,
                                                      SteadyTime now) {
  ClientConnection* const first = First(order);
  return first != nullptr && now - first->idle_since >= minimum ? first : nullptr;
}

}  // namespace brassfront
