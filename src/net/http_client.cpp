#include "net/http_client.hpp"

#include <cerrno>
#include <utility>

namespace brassfront {

HttpClient::HttpClient(std::string side, std::string address, std::chrono::milliseconds silence,
                       BufferPool& buffers)
    : side_(std::move(side)), silence_(silence), buffers_(buffers), address_(std::move(address)) {}

HttpClient::~HttpClient() {
  if (socket_.is_open()) End("shutdown");
}

void HttpClient::End(const char* reason) {
  const std::lock_guard lock(mutex_);
  socket_.Close();
  const bool moved = connected_to_ != address_;
  LogConnectionEnd(side_, connected_to_,
                   stopped_ ? "shutdown"
                   : moved  ? "moved"
                            : reason,
                   exchanges_);
}

std::string HttpClient::address() const {
  const std::lock_guard lock(mutex_);
  return address_;
}

void HttpClient::SetAddress(std::string address) {
  const std::lock_guard lock(mutex_);
  if (address == address_) return;
  address_ = std::move(address);
  if (socket_.is_open()) ShutDown(socket_.fd());
  wake_.notify_all();
}

bool HttpClient::Ready() {
  if (socket_.is_open() && !socket_.HasInputOrEnd()) return true;
  if (socket_.is_open()) End("peer-closed");
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) return false;
    socket_ = NewSocket();
    connected_to_ = address_;
    exchanges_ = 0;
  }
  const bool connected = Connect(socket_, connected_to_, silence_);
  if (connected) socket_.ReceiveTimeout(silence_);
  bool meant = false;
  {
    // Guards against a stop or a move that came before there was a connection to shut down.
    const std::lock_guard lock(mutex_);
    meant = !stopped_ && connected_to_ == address_;
  }
  if (connected && meant) return true;
  End("connect-failed");
  return false;
}

bool HttpClient::Exchange(std::string_view request, HttpReader& reader, const OnBytes& on_bytes,
                          const GiveUpAt& give_up_at) {
  if (!Ready()) return false;
  if (!socket_.SendAll(request)) {
    End("write-failed");
    return false;
  }
  ++exchanges_;
  BufferPool::Buffer buffer = buffers_.Get();
  while (!reader.done() && !reader.broken()) {
    if (give_up_at && !socket_.AwaitInput(give_up_at())) {
      End("silent");
      return false;
    }
    const long n = socket_.Receive(buffer.span());
    if (n < 0) {
      End(errno == EAGAIN ? "silent" : "reset");
      return false;
    }
    if (n == 0) {
      reader.FeedEnd();
    } else {
      reader.Feed({buffer.span().data(), static_cast<std::size_t>(n)});
    }
    if (on_bytes && !on_bytes(reader)) {
      End("invalid");
      return false;
    }
  }
  if (!reader.done() || !reader.keep_alive()) End(reader.done() ? "keep-alive-off" : "peer-closed");
  return reader.done();
}

void HttpClient::Stop() {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
  if (socket_.is_open()) ShutDown(socket_.fd());
  wake_.notify_all();
}

bool HttpClient::Pause(std::chrono::milliseconds time, const std::string& address) {
  std::unique_lock lock(mutex_);
  const auto moved = [&] { return !address.empty() && address != address_; };
  wake_.wait_for(lock, time, [&] { return stopped_ || moved(); });
  return moved();
}

}  // namespace brassfront
