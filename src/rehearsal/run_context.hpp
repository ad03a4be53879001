// What all players of a rehearsal share: one thread's event loop, one clock, one stream of events
// to the auditor, and the register of messages that were handed in.
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

// One hand-in as the cast knows it.
struct Submission {
  std::string id;  // on the wire
  std::string key;
  std::string body;
  std::uint64_t origin = 0;
  std::size_t partner = 0, merchant = 0, forwarder = 0;
  Time first{};  // when the message was handed in for the first time
  Time deadline{};
  bool unanswered = false;  // its client has given up: whatever comes of it counts for nothing
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
  std::vector<Submission> submissions;  // by PutId
  std::unordered_map<std::string, SubmissionId> by_wire_id;
  CallId next_call = 0;
  std::function<void(const Event&)> event_observer;  // is told each event after the auditor

  Time Now() const { return std::chrono::steady_clock::now() - began_; }
  // The clock starts again: once all forwarders are ready.
  void Begin() { began_ = std::chrono::steady_clock::now(); }

  void Emit(Event event) {
    event.at = std::max(event.at == Time{} ? Now() : event.at, last_);
    last_ = event.at;
    auditor.Handle(event);
    if (event_observer) event_observer(event);
  }

  // Does it then, and counts how late it was done. Nothing is done once the context is closed.
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
