// An HTTP client for one address of the platform. It uses one connection, reopens it when it has
// ended, and makes one request at a time.
#ifndef BRASSFRONT_NET_HTTP_CLIENT_HPP_
#define BRASSFRONT_NET_HTTP_CLIENT_HPP_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

#include "net/buffer_pool.hpp"
#include "net/close_reason.hpp"
#include "net/socket.hpp"
#include "protocol/http.hpp"

namespace brassfront {

// A client with one connection, for one thread that makes the requests.
class HttpClient {
 public:
  struct Timeouts {
    std::chrono::milliseconds connect;  // maximum time to connect
    std::chrono::milliseconds silence;  // maximum time without progress when sending or receiving
  };

  // How to treat a response that was received before its request was sent, if the kernel's
  // timestamps show this: it is the response to something else.
  enum class EarlyResponse { kAccepted, kRefused };

  // `log_side`: the name of the peer in the log. The buffers must outlive the client.
  HttpClient(std::string log_side, std::string address, const Timeouts& timeouts,
             BufferPool& buffers, EarlyResponse early_response = EarlyResponse::kAccepted);
  ~HttpClient();

  // ---- for any thread ----

  [[nodiscard]] std::string address() const;
  // Ends the exchange in progress; later ones go to the new address. No effect if the address is
  // the same.
  void SetAddress(std::string address);
  // Ends the exchange in progress; later ones fail until Resume.
  void Interrupt();
  void Resume();
  // Ends the exchange in progress; later ones fail immediately.
  void Stop();
  [[nodiscard]] bool stopped() const { return stopped_; }

  // True if there is a connection that is not known to have ended.
  [[nodiscard]] bool is_open() const;

  // ---- for the one thread that makes the requests ----

  // Called after each part of the response, and at its end; returning false ends the exchange.
  using OnBytes = std::function<bool(HttpReader&)>;
  // Returns until when to wait for the response; called again after each part of it.
  using GiveUpAt = std::function<SteadyTime()>;

  // Sends the request, on the open connection if that is still usable, and reads the response into
  // the reader. Returns false, and closes the connection, if the response is not complete. Without
  // `give_up_at` each part of the response may take the silence timeout, so that a peer that sends
  // single bytes can keep the exchange going forever.
  [[nodiscard]] bool Exchange(std::string_view request, HttpReader& reader,
                              const OnBytes& on_bytes = {}, const GiveUpAt& give_up_at = {});

  // Closes the connection, if there is one; the next request is made on a new one.
  void Disconnect();

  // Waits for `time`. Returns early if the client is stopped or, with `address` not empty, if the
  // client's address is no longer that one. Returns true if the address has changed.
  bool Pause(std::chrono::milliseconds time, const std::string& address = {});

 private:
  bool EnsureConnected();
  [[nodiscard]] bool MayUseConnection() const;
  [[nodiscard]] bool IsEarlyResponse();
  bool ReadResponse(HttpReader& reader, const OnBytes& on_bytes, const GiveUpAt& give_up_at);
  void Close(CloseReason reason);

  const std::string log_side_;
  const Timeouts timeouts_;
  BufferPool& buffers_;
  const EarlyResponse early_response_;
  mutable std::mutex mutex_;  // guards the addresses, interrupted_ and the state of the socket
  std::string address_;
  std::string connected_to_;
  std::condition_variable wake_;  // notified by Stop and SetAddress
  std::atomic<bool> stopped_{false};
  bool interrupted_ = false;
  Socket socket_;
  std::size_t exchanges_ = 0;  // number of requests sent on this connection
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_HTTP_CLIENT_HPP_
