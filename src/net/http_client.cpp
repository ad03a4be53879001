#include "net/http_client.hpp"

#include <cerrno>
#include <utility>

#include "observe/metrics.hpp"

namespace brassfront {

HttpClient::HttpClient(std::string log_side, std::string address, const Timeouts& timeouts,
                       BufferPool& buffers, EarlyResponse early_response)
    : log_side_(std::move(log_side)),
      timeouts_(timeouts),
      buffers_(buffers),
      early_response_(early_response),
      address_(std::move(address)) {}

HttpClient::~HttpClient() {
  if (socket_.is_open()) Close(CloseReason::kShutdown);
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

void HttpClient::Interrupt() {
  const std::lock_guard lock(mutex_);
  interrupted_ = true;
  if (socket_.is_open()) ShutDown(socket_.fd());
}

void HttpClient::Resume() {
  const std::lock_guard lock(mutex_);
  interrupted_ = false;
}

void HttpClient::Stop() {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
  if (socket_.is_open()) ShutDown(socket_.fd());
  wake_.notify_all();
}

bool HttpClient::is_open() const {
  const std::lock_guard lock(mutex_);
  return socket_.is_open();
}

void HttpClient::Disconnect() {
  if (socket_.is_open()) Close(CloseReason::kStale);
}

bool HttpClient::Exchange(std::string_view request, HttpReader& reader, const OnBytes& on_bytes,
                          const GiveUpAt& give_up_at) {
  if (!EnsureConnected()) return false;
  if (!socket_.SendAll(request, std::chrono::steady_clock::now() + timeouts_.silence)) {
    Close(CloseReason::kWriteFailed);
    return false;
  }
  ++exchanges_;
  if (!ReadResponse(reader, on_bytes, give_up_at)) return false;
  if (!reader.done()) {
    Close(CloseReason::kPeerClosed);
  } else if (!reader.keep_alive()) {
    Close(CloseReason::kKeepAliveOff);
  }
  return reader.done();
}

bool HttpClient::Pause(std::chrono::milliseconds time, const std::string& address) {
  std::unique_lock lock(mutex_);
  const auto moved = [&] { return !address.empty() && address != address_; };
  wake_.wait_for(lock, time, [&] { return stopped_ || moved(); });
  return moved();
}

bool HttpClient::EnsureConnected() {
  if (socket_.is_open() && !socket_.HasInputOrEnd()) return true;
  if (socket_.is_open()) Close(CloseReason::kPeerClosed);
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) return false;
    socket_ = NewSocket();
    connected_to_ = address_;
    exchanges_ = 0;
  }
  const bool connected = Connect(socket_, connected_to_, timeouts_.connect);
  if (connected && early_response_ == EarlyResponse::kRefused) socket_.RecordSegmentTimes();
  // The client may have been interrupted before there was a connection to shut down.
  if (connected && MayUseConnection()) return true;
  Close(CloseReason::kConnectFailed);
  return false;
}

// True if the open connection may be used.
bool HttpClient::MayUseConnection() const {
  const std::lock_guard lock(mutex_);
  return !stopped_ && !interrupted_ && connected_to_ == address_;
}

bool HttpClient::IsEarlyResponse() {
  if (!socket_.InputPrecedesWrite()) return false;
  observe::Count("unasked_answers_total", {"side", log_side_});
  return true;
}

// Reads until the response is complete or can no longer become complete. Returns false if it closed
// the connection.
bool HttpClient::ReadResponse(HttpReader& reader, const OnBytes& on_bytes,
                              const GiveUpAt& give_up_at) {
  BufferPool::Buffer buffer = buffers_.Get();
  bool is_first = true;
  while (!reader.done() && !reader.broken()) {
    const SteadyTime silent_at = std::chrono::steady_clock::now() + timeouts_.silence;
    if (!socket_.AwaitInput(give_up_at ? give_up_at() : silent_at)) {
      Close(CloseReason::kSilent);
      return false;
    }
    if (std::exchange(is_first, false) && IsEarlyResponse()) {
      Close(CloseReason::kStale);
      return false;
    }
    const ssize_t received = socket_.Receive(buffer.span());
    if (received < 0) {
      Close(errno == EAGAIN ? CloseReason::kSilent : CloseReason::kReset);
      return false;
    }
    if (received == 0) {
      reader.FeedEnd();
    } else {
      reader.Feed({buffer.span().data(), static_cast<std::size_t>(received)});
    }
    if (on_bytes && !on_bytes(reader)) {
      Close(CloseReason::kInvalid);
      return false;
    }
  }
  return true;
}

// A stop, a new address and an interruption shut down the socket, so they take precedence over the
// reason that was observed on it.
void HttpClient::Close(CloseReason reason) {
  const std::lock_guard lock(mutex_);
  socket_.Close();
  if (stopped_) {
    reason = CloseReason::kShutdown;
  } else if (connected_to_ != address_) {
    reason = CloseReason::kMoved;
  } else if (interrupted_) {
    reason = CloseReason::kCancelled;
  }
  LogConnectionEnd(log_side_, connected_to_, ToString(reason), exchanges_);
}

}  // namespace brassfront
