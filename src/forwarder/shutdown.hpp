// When a forwarder that was asked to shut down may exit. Knows no clock; used by one thread.
#ifndef BRASSFRONT_FORWARDER_SHUTDOWN_HPP_
#define BRASSFRONT_FORWARDER_SHUTDOWN_HPP_

#include <chrono>
#include <cstddef>
#include <optional>

namespace brassfront {

class GracefulShutdown {
 public:
  using Time = std::chrono::nanoseconds;

  // Clients may open new connections for 0.4 s after SIGTERM; they are served until then.
  static constexpr Time kMinDuration = std::chrono::milliseconds(700);
  // SIGKILL follows 3.7 s after SIGTERM; the rest is for closing what is open.
  static constexpr Time kMaxDuration = std::chrono::milliseconds(3200);

  struct ExitTimes {
    Time earliest{};  // from here on as soon as no message is in flight
    Time latest{};    // from here on in any case
  };

  // Starts the shutdown and returns when to call IsOver again at the latest. None if it was started
  // before.
  [[nodiscard]] std::optional<ExitTimes> Begin(Time now);

  // Whether the forwarder exits now. False before Begin.
  [[nodiscard]] bool IsOver(Time now, std::size_t messages_in_flight) const;

 private:
  std::optional<ExitTimes> exit_times_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_SHUTDOWN_HPP_
