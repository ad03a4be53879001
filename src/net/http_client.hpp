// An HTTP client of one address of the platform, on one connection that is opened anew when it has
// ended. Requests are made one at a time.
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

class HttpClient {
 public:
  struct Timeouts {
    std::chrono::milliseconds connect;  // how long connecting may take
    std::chrono::milliseconds silence;  // how long the peer may take nothing or send nothing
  };

  // What becomes of a response that was received before its request was sent, where the kernel
  // tells: it answers something else.
  enum class EarlyResponse { kAccepted, kRefused };

  // `log_side`: what the log calls the peer. The buffers must outlive the client.
  HttpClient(std::string log_side, std::string address, const Timeouts& timeouts,
             BufferPool& buffers, EarlyResponse early_response = EarlyResponse::kAccepted);
  ~HttpClient();

  // ---- for any thread ----

  [[nodiscard]] std::string address() const;
  // Ends the exchange in progress; later ones go to the new address. Without effect if it is the
  // same.
  void SetAddress(std::string address);
  // Ends the exchange in progress; later ones fail until Resume.
  void Interrupt();
  void Resume();
  // Ends the exchange in progress; later ones fail at once.
  void Stop();
  [[nodiscard]] bool stopped() const { return stopped_; }

  // Whether there is a connection, as far as is known.
  [[nodiscard]] bool is_open() const;

  // ---- for the one thread that makes the requests ----

  // Called whenever a part of the response has come; false ends the exchange.
  using OnBytes = std::function<bool(HttpReader&)>;
  // Until when the response is waited for; asked again after each part of it.
  using GiveUpAt = std::function<SteadyTime()>;

  // Sends the request, on the open connection if it still stands, and reads the response into the
  // reader. False if the response is not complete; the connection is closed then. Without
  // `give_up_at` each part of the response may take the silence timeout, so that a peer that
  // trickles is waited for without end.
  [[nodiscard]] bool Exchange(std::string_view request, HttpReader& reader,
                              const OnBytes& on_bytes = {}, const GiveUpAt& give_up_at = {});

  // Closes the connection, if there is one; the next request is made on a new one.
  void Disconnect();

  // Waits for the time, or less if stopped or if the address is no longer the given one, if one is
  // given. True if the address is another one.
  bool Pause(std::chrono::milliseconds time, const std::string& address = {});

 private:
  bool EnsureConnected();
  [[nodiscard]] bool IsWanted() const;
  [[nodiscard]] bool IsEarlyResponse();
  bool ReadResponse(HttpReader& reader, const OnBytes& on_bytes, const GiveUpAt& give_up_at);
  void Close(CloseReason reason);

  const std::string log_side_;
  const Timeouts timeouts_;
  BufferPool& buffers_;
  const EarlyResponse early_response_;
  mutable std::mutex mutex_;  // guards the addresses, and the socket's opening and closing
  std::string address_;
  std::string connected_to_;
  std::condition_variable wake_;  // on a stop and a new address
  std::atomic<bool> stopped_{false};
  bool interrupted_ = false;
  Socket socket_;
  std::size_t exchanges_ = 0;  // on this connection
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_HTTP_CLIENT_HPP_
