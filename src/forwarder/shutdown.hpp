// Decides when a forwarder that was asked to shut down may exit. Reads no clock; used by one
// thread.
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
  // SIGKILL follows 3.7 s after SIGTERM; the remaining time is for closing files and connections.
  static constexpr Time kMaxDuration = std::chrono::milliseconds(3200);

  struct ExitTimes {
    Time earliest{};  // from then on the forwarder exits as soon as no message is in flight
    Time latest{};    // from then on the forwarder exits in any case
  };

  // Starts the shutdown and returns the times at which IsOver must be called at the latest. Returns
  // nothing if the shutdown was started before.
  [[nodiscard]] std::optional<ExitTimes> Begin(Time now);

  [[nodiscard]] bool has_begun() const { return exit_times_.has_value(); }
  // Whether the forwarder must exit now. Returns false before Begin.
  [[nodiscard]] bool IsOver(Time now, std::size_t messages_in_flight) const;

 private:
  std::optional<ExitTimes> exit_times_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_SHUTDOWN_HPP_
