#include "net/http_client.hpp"

#include <cerrno>
#include <utility>

namespace brassfront {

HttpClient::HttpClient(std::string side, std::string address,
                       std::chrono::milliseconds silence_timeout, BufferPool& buffers)
    : side_(std::move(side)),
      silence_timeout_(silence_timeout),
      buffers_(buffers),
      address_(std::move(address)) {}

HttpClient::~HttpClient() {
  if (socket_.is_open()) Close("shutdown");
}

void HttpClient::Close(const char* reason) {
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

bool HttpClient::EnsureConnected() {
  if (socket_.is_open() && !socket_.HasInputOrEnd()) return true;
  if (socket_.is_open()) Close("peer-closed");
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) return false;
    socket_ = NewSocket();
    connected_to_ = address_;
    exchanges_ = 0;
  }
  const bool connected = Connect(socket_, connected_to_, silence_timeout_);
  if (connected) socket_.ReceiveTimeout(silence_timeout_);
  bool still_wanted = false;
  {
    // Guards against a stop or a move that came before there was a connection to shut down.
    const std::lock_guard lock(mutex_);
    still_wanted = !stopped_ && connected_to_ == address_;
  }
  if (connected && still_wanted) return true;
  Close("connect-failed");
  return false;
}

bool HttpClient::Exchange(std::string_view request, HttpReader& reader, const OnBytes& on_bytes,
                          const GiveUpAt& give_up_at) {
  if (!EnsureConnected()) return false;
  if (!socket_.SendAll(request)) {
    Close("write-failed");
    return false;
  }
  ++exchanges_;
  BufferPool::Buffer buffer = buffers_.Get();
  while (!reader.done() && !reader.broken()) {
    if (give_up_at && !socket_.AwaitInput(give_up_at())) {
      Close("silent");
      return false;
    }
    const long received = socket_.Receive(buffer.span());
    if (received < 0) {
      Close(errno == EAGAIN ? "silent" : "reset");
      return false;
    }
    if (received == 0) {
      reader.FeedEnd();
    } else {
      reader.Feed({buffer.span().data(), static_cast<std::size_t>(received)});
    }
    if (on_bytes && !on_bytes(reader)) {
      Close("invalid");
      return false;
    }
  }
  if (!reader.done() || !reader.keep_alive())
    Close(reader.done() ? "keep-alive-off" : "peer-closed");
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
