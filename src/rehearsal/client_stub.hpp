// The clients and the front before them: hand messages in over RESP2 (hiredis), wait for the
// answer, and come again as the scenario's habits say.
#ifndef BRASSFRONT_REHEARSAL_CLIENT_STUB_HPP_
#define BRASSFRONT_REHEARSAL_CLIENT_STUB_HPP_

#include <list>
#include <memory>
#include <string>
#include <vector>

#include "rehearsal/plan.hpp"
#include "rehearsal/run_context.hpp"

namespace brassfront::rehearsal {

class ClientConnection;

class ClientStub {
 public:
  explicit ClientStub(RunContext& context);
  ~ClientStub();

  // The front's view: where a forwarder listens, and since when it is known to be dead.
  void Ready(std::size_t forwarder, const tcp::endpoint& address);
  void Dead(std::size_t forwarder);  // known to the front only after its notice time

  // What its PING says now, to the front.
  void TakesClients(std::size_t forwarder, bool takes) { targets_[forwarder].alive = takes; }

  // All that the plan asks for, at its times.
  void Play(const Plan& plan);
  // A notice: its client may come again.
  void Noticed(SubmissionId submission, bool deferred, std::optional<Time> wait);
  // What the lost machine held and did not end comes again.
  void MachineLost(std::size_t forwarder);
  [[nodiscard]] std::size_t max_connections() const { return max_connections_; }

 private:
  friend class ClientConnection;
  struct Target {
    tcp::endpoint address;
    bool alive = false;  // by the front, as alive
    std::uint64_t incarnation = 0;
    std::list<std::shared_ptr<ClientConnection>> idle;
  };

  void Submit(const Arrival& arrival, std::size_t sequence, Time first, bool again);
  void Send(SubmissionId submission, bool again, bool may_reuse);
  void ScheduleRetry(SubmissionId submission, Time after, bool again);
  void Answered(SubmissionId submission, const std::string& text, bool is_error);
  void Unanswered(SubmissionId submission);

  RunContext& context_;
  std::vector<Target> targets_;
  std::vector<Arrival> arrivals_;               // by origin
  std::vector<std::size_t> submission_counts_;  // by origin
  std::vector<std::size_t> retries_;            // by origin
  std::vector<bool> finished_;                  // by origin: its client comes no more
  std::size_t next_target_ = 0;
  double due_to_first_ = 0;  // hand-ins that are due to the first forwarder
  std::shared_ptr<std::size_t> open_connections_ = std::make_shared<std::size_t>(0);  // connections
  std::size_t max_connections_ = 0;
};

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_CLIENT_STUB_HPP_
