#include "net/next_hops.hpp"

#include <utility>

namespace brassfront {
namespace {

constexpr const char* kSide = "next-hop";
constexpr std::size_t kMostIdle = 2;  // for each next hop: some take few, idle ones counted
constexpr std::size_t kMostWaiting = 4096;
constexpr std::size_t kMostAnswer = 128 * 1024;  // bytes of its body; a full bundle's is a few KiB
// Of the time after which the other side closes an idle connection. Guards against a call that
// crosses that close and ends as a reset, which may have run.
constexpr double kIdleShare = 0.6;

const char* ReasonOf(Delivery::Stop stop, const char* otherwise) {
  switch (stop) {
    case Delivery::Stop::kCancelled:
      return "cancelled";
    case Delivery::Stop::kTimedOut:
      return "timed-out";
    case Delivery::Stop::kRecalled:
      return "recalled";
    default:
      return otherwise;
  }
}

}  // namespace

NextHops::NextHops(const Options& options, BufferPool& buffers, OnEnd on_end)
    : options_(options), buffers_(buffers), on_end_(std::move(on_end)), work_(kMostWaiting) {
  for (std::size_t i = 0; i < options_.threads; ++i) {
    Thread thread([this] { Work(); });
    if (thread.started()) threads_.push_back(std::move(thread));
  }
}

NextHops::~NextHops() {
  work_.Close();
  {
    const std::lock_guard lock(mutex_);
    for (auto& [number, delivery] : out_) delivery->End(Delivery::Stop::kCancelled);
  }
  for (Thread& thread : threads_) thread.Join();
  for (auto& [address, connections] : idle_) {
    for (Connection& c : connections) End(c, "shutdown");
  }
}

void NextHops::Start(std::shared_ptr<Delivery> delivery) {
  {
    const std::lock_guard lock(mutex_);
    out_[delivery->number] = delivery;
  }
  work_.Put(std::move(delivery));
}

void NextHops::Work() {
  while (auto delivery = work_.Take()) {
    DeliveryEnd end = Carry(**delivery);
    end.number = (*delivery)->number;
    {
      const std::lock_guard lock(mutex_);
      out_.erase(end.number);
    }
    on_end_(std::move(end));
  }
}

DeliveryEnd NextHops::Carry(Delivery& delivery) {
  using Fate = DeliveryEnd::Fate;
  while (true) {
    Connection connection = TakeIdle(delivery.address);
    const bool reused = connection.socket.is_open();
    if (!reused) connection.socket = NewSocket();
    if (!delivery.Attach(connection.socket)) {
      if (reused) Keep(std::move(connection));
      return {.fate = Fate::kNotSent};
    }
    if (!reused && !Open(connection, delivery)) {
      return {.fate = delivery.stopped() == Delivery::Stop::kNone ? Fate::kConnectFailed
                                                                  : Fate::kNotSent};
    }
    if (!delivery.BeginWrite()) {
      delivery.Detach();
      const Delivery::Stop stop = delivery.stopped();
      if (stop == Delivery::Stop::kCancelled || stop == Delivery::Stop::kTimedOut) {
        End(connection, ReasonOf(stop, ""));
      } else {
        Keep(std::move(connection));
      }
      return {.fate = Fate::kNotSent};
    }
    if (connection.socket.SendAll(delivery.request)) return ReadAnswer(connection, delivery);
    // The last byte was not written, so nothing ran. A kept connection may have died unnoticed:
    // that tells nothing of the next hop, and a new one may do.
    delivery.TakeBackWrite();
    delivery.Detach();
    const Delivery::Stop stop = delivery.stopped();
    End(connection, ReasonOf(stop, "write-failed"));
    if (stop != Delivery::Stop::kNone) return {.fate = Fate::kNotSent};
    if (!reused) return {.fate = Fate::kConnectFailed};
  }
}

bool NextHops::Open(Connection& connection, Delivery& delivery) {
  if (Connect(connection.socket, delivery.address, options_.connect_timeout)) return true;
  delivery.Detach();
  End(connection, ReasonOf(delivery.stopped(), "connect-failed"));
  return false;
}

DeliveryEnd NextHops::ReadAnswer(Connection& connection, Delivery& delivery) {
  HttpReader reader(kMostAnswer);
  bool ended = false;
  {
    BufferPool::Buffer buffer = buffers_.Get();
    while (!reader.done() && !reader.broken()) {
      const long n = connection.socket.Receive(buffer.span());
      ended = n <= 0;
      if (ended) {
        reader.FeedEnd();
      } else {
        reader.Feed({buffer.span().data(), static_cast<std::size_t>(n)});
      }
    }
  }
  delivery.Detach();
  const Delivery::Stop stop = delivery.stopped();
  ++connection.exchanges;
  DeliveryEnd end;
  if (reader.done() && reader.keep_alive() && stop == Delivery::Stop::kNone) {
    Keep(std::move(connection));
  } else {
    End(connection, ReasonOf(stop, reader.done() ? "peer-asked" : ended ? "reset" : "malformed"));
  }
  if (reader.status() != 0) {
    end.fate = DeliveryEnd::Fate::kAnswered;
    end.status = reader.status();
    end.whole = reader.done();
    end.body = reader.body();
    end.wait_ms = reader.Header("wait-ms");
    end.slots_taken = reader.Header("slots-taken");
    end.load = reader.Header("x-backend-load");
  } else if (stop == Delivery::Stop::kTimedOut) {
    end.fate = DeliveryEnd::Fate::kTimedOut;
  } else if (stop == Delivery::Stop::kCancelled) {
    end.fate = DeliveryEnd::Fate::kCancelled;
  }
  return end;
}

void NextHops::End(Connection& connection, const char* reason) {
  connection.socket.Close();
  LogConnectionEnd(kSide, connection.address, reason, connection.exchanges);
}

// The newest that still stands, or one without a socket. Guards against writing to a connection
// that the other side has closed.
NextHops::Connection NextHops::TakeIdle(const std::string& address) {
  const std::lock_guard lock(mutex_);
  std::vector<Connection>& idle = idle_[address];
  while (!idle.empty()) {
    Connection connection = std::move(idle.back());
    idle.pop_back();
    if (!connection.socket.HasInputOrEnd()) return connection;
    End(connection, "stale");
  }
  Connection fresh;
  fresh.address = address;
  return fresh;
}

void NextHops::Keep(Connection connection) {
  const std::lock_guard lock(mutex_);
  std::vector<Connection>& idle = idle_[connection.address];
  connection.idle_since = std::chrono::steady_clock::now();
  idle.push_back(std::move(connection));
  if (idle.size() <= kMostIdle) return;
  End(idle.front(), "one-too-many");
  idle.erase(idle.begin());
}

void NextHops::RetireIdle() {
  const auto oldest =
      std::chrono::steady_clock::now() -
      std::chrono::duration_cast<std::chrono::nanoseconds>(options_.connection_idle * kIdleShare);
  const std::lock_guard lock(mutex_);
  for (auto& [address, connections] : idle_) {
    std::erase_if(connections, [&](Connection& c) {
      const bool stale = c.socket.HasInputOrEnd();
      if (!stale && c.idle_since >= oldest) return false;
      End(c, stale ? "peer-closed" : "idle");
      return true;
    });
  }
}

void NextHops::Forget(const std::string& address) {
  const std::lock_guard lock(mutex_);
  const auto it = idle_.find(address);
  if (it == idle_.end()) return;
  for (Connection& c : it->second) End(c, "gone");
  idle_.erase(it);
}

}  // namespace brassfront
