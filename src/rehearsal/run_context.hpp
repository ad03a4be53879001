// State shared by all participants of a rehearsal: the event loop of one thread, the clock, the
// stream of events to the auditor, and the registry of submitted messages.
#ifndef BRASSFRONT_REHEARSAL_RUN_CONTEXT_HPP_
#define BRASSFRONT_REHEARSAL_RUN_CONTEXT_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "observe/histogram.hpp"
#include "rehearsal/auditor.hpp"
#include "rehearsal/scenario.hpp"

namespace brassfront::rehearsal {

namespace asio = boost::asio;
// NOLINTNEXTLINE(readability-identifier-naming): the name that Asio's own examples use.
using tcp = asio::ip::tcp;

// One submission of a message as the simulated clients and partners know it.
struct Submission {
  std::string id;  // message ID on the wire
  std::string key;
  std::string body;
  std::uint64_t origin = 0;
  std::size_t partner = 0, merchant = 0, forwarder = 0;
  Time first{};  // time of the first submission of the message
  Time deadline{};
  bool unanswered = false;  // its client has given up; a later outcome does not count
  std::size_t attempts = 0;
};

class RunContext {
 public:
  RunContext(asio::io_context& the_io, const Scenario& the_scenario, std::uint64_t the_seed)
      : io(the_io),
        scenario(the_scenario),
        seed(the_seed),
        auditor(the_scenario),
        began_(std::chrono::steady_clock::now()) {}

  asio::io_context& io;
  const Scenario& scenario;
  const std::uint64_t seed;
  Auditor auditor;
  std::vector<Submission> submissions;  // indexed by SubmissionId
  std::unordered_map<std::string, SubmissionId> by_wire_id;
  CallId next_call = 0;
  // Called with each event after the auditor, if set.
  std::function<void(const Event&)> event_observer;

  Time Now() const { return std::chrono::steady_clock::now() - began_; }
  // Restarts the clock. Called once all forwarders are ready.
  void Begin() { began_ = std::chrono::steady_clock::now(); }

  void Emit(Event event) {
    event.at = std::max(event.at == Time{} ? Now() : event.at, last_);
    last_ = event.at;
    auditor.Handle(event);
    if (event_observer) event_observer(event);
  }

  // Calls `what` at the given time and records how late the call was. Does nothing once the context
  // is closed.
  void At(Time when, std::function<void()> what) {
    auto timer = std::make_shared<asio::steady_timer>(io, began_ + when);
    timer->async_wait([this, timer, when, what = std::move(what)](boost::system::error_code error) {
      if (error || closed) return;
      const Time late = Now() - when;
      lateness.Add(late);
      if (late > scenario.late_by) ++late_actions;
      what();
    });
  }

  observe::Histogram lateness;
  std::uint64_t late_actions = 0;
  bool closed = false;

 private:
  std::chrono::steady_clock::time_point began_;
  Time last_{};
};

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_RUN_CONTEXT_HPP_
