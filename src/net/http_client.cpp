#include "net/http_client.hpp"

#include <cerrno>
#include <utility>

namespace brassfront {

HttpClient::HttpClient(std::string side, std::string address, std::chrono::milliseconds silence,
                       BufferPool& buffers)
    : side_(std::move(side)), address_(std::move(address)), silence_(silence), buffers_(buffers) {}

HttpClient::~HttpClient() {
  if (socket_.is_open()) End("shutdown");
}

void HttpClient::End(const char* reason) {
  const std::lock_guard lock(mutex_);
  socket_.Close();
  LogConnectionEnd(side_, address_, stopped_ ? "shutdown" : reason, exchanges_);
}

bool HttpClient::Ready() {
  if (socket_.is_open() && !socket_.HasInputOrEnd()) return true;
  if (socket_.is_open()) End("peer-closed");
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) return false;
    socket_ = NewSocket();
    exchanges_ = 0;
  }
  if (Connect(socket_, address_, silence_)) {
    socket_.ReceiveTimeout(silence_);
    return true;
  }
  End("connect-failed");
  return false;
}

bool HttpClient::Exchange(std::string_view request, HttpReader& reader, const OnBytes& on_bytes) {
  if (!Ready()) return false;
  if (!socket_.SendAll(request)) {
    End("write-failed");
    return false;
  }
  ++exchanges_;
  BufferPool::Buffer buffer = buffers_.Get();
  while (!reader.done() && !reader.broken()) {
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
      End("unreadable");
      return false;
    }
  }
  if (!reader.done() || !reader.keep_alive()) End(reader.done() ? "peer-asked" : "peer-closed");
  return reader.done();
}

void HttpClient::Stop() {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
  if (socket_.is_open()) ShutDown(socket_.fd());
  wake_.notify_all();
}

void HttpClient::Pause(std::chrono::milliseconds time) {
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, time, [this] { return stopped_.load(); });
}

}  // namespace brassfront
