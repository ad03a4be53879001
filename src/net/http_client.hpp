// One connection to the platform's agent, opened anew when it has ended.
#ifndef BRASSFRONT_NET_HTTP_CLIENT_HPP_
#define BRASSFRONT_NET_HTTP_CLIENT_HPP_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

#include "net/buffer_pool.hpp"
#include "net/socket.hpp"
#include "protocol/http.hpp"

namespace brassfront {

class HttpClient {
 public:
  // `silence`: how long the other side may say nothing.
  HttpClient(std::string side, std::string address, std::chrono::milliseconds silence_timeout,
             BufferPool& buffers);
  ~HttpClient();

  std::string address() const;
  // For another thread: ends what is going on and goes to this address from now on.
  void SetAddress(std::string address);

  // Sends the request, on the kept connection if it still stands, and reads the answer; `on_bytes`
  // is called whenever some of it has come and may end the reading by returning false. False if no
  // whole answer came; the connection is ended then.
  // With `give_up_at` the answer is waited for until then; it is asked for anew after each read,
  // and connecting is bound by the silence alone. Guards against a side that trickles, never
  // silent.
  using OnBytes = std::function<bool(HttpReader&)>;
  using GiveUpAt = std::function<SteadyTime()>;
  bool Exchange(std::string_view request, HttpReader& reader, const OnBytes& on_bytes = {},
                const GiveUpAt& give_up_at = {});

  // For another thread: ends what is going on, and every later exchange at its start.
  void Stop();
  bool stopped() const { return stopped_; }
  // Waits, or less if stopped or moved away from the address, if one is given. True if moved.
  bool Pause(std::chrono::milliseconds time, const std::string& address = {});

 private:
  bool EnsureConnected();
  void Close(const char* reason);

  const std::string side_;
  const std::chrono::milliseconds silence_timeout_;
  BufferPool& buffers_;
  mutable std::mutex mutex_;  // guards the address and the socket's opening and closing
  std::string address_;
  std::string connected_to_;
  std::condition_variable wake_;
  std::atomic<bool> stopped_{false};
  Socket socket_;
  std::size_t exchanges_ = 0;
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_HTTP_CLIENT_HPP_
