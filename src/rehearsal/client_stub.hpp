// The simulated clients and the load balancer (front) between them and the forwarders. They submit
// messages over RESP2 (hiredis), wait for the answer and retry as the scenario specifies.
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

  // The forwarder serves at this address; the front sends clients to it from now on.
  void Ready(std::size_t forwarder, const tcp::endpoint& address);
  void Dead(std::size_t forwarder);  // the front notices it only after its notice time

  // Sets whether the front sends clients to the forwarder, according to its answer to PING.
  void TakesClients(std::size_t forwarder, bool takes) { targets_[forwarder].alive = takes; }

  // Submits all messages of the plan at their times.
  void Play(const Plan& plan);
  // Handles a notification; the client may retry.
  void Noticed(SubmissionId submission, bool deferred, std::optional<Time> wait);
  // Retries all messages that were pending on the lost machine.
  void MachineLost(std::size_t forwarder);
  [[nodiscard]] std::size_t max_connections() const { return max_connections_; }

 private:
  friend class ClientConnection;
  struct Target {
    tcp::endpoint address;
    bool alive = false;  // whether the front sends clients to it
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
  std::vector<bool> finished_;                  // by origin: its client does not retry any more
  std::size_t next_target_ = 0;
  // Submissions due to the first forwarder because of skew, as a running fraction.
  double due_to_first_ = 0;
  // Number of open connections.
  std::shared_ptr<std::size_t> open_connections_ = std::make_shared<std::size_t>(0);
  std::size_t max_connections_ = 0;
};

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_CLIENT_STUB_HPP_
