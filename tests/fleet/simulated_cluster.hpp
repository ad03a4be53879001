// A simulated cluster of failure detectors in virtual time: no threads, no sockets, no clock.
// Frames are queued with the delay, jitter, loss and duplication of a link. Links can be cut in one
// direction, and members paused, killed and restarted. The same seed and the same calls reproduce
// the same run, frame by frame.
#ifndef BRASSFRONT_TESTS_FLEET_SIMULATED_CLUSTER_HPP_
#define BRASSFRONT_TESTS_FLEET_SIMULATED_CLUSTER_HPP_

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "peers/failure_detector.hpp"

namespace brassfront::peers {

class SimulatedCluster {
 public:
  // Faults of every link. The probabilities are from 0 to 1.
  struct LinkFault {
    double loss = 0, duplication = 0;
    Time delay = std::chrono::microseconds(200), jitter{};
  };

  // Starts the members m0, m1, ... in their first process incarnation.
  SimulatedCluster(std::size_t count, std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < count; ++i) names_.push_back("m" + std::to_string(i));
    for (std::size_t i = 0; i < count; ++i) Start(i, 1);
  }

  // Starts a new process of member `i`, whose former process was killed.
  void Start(std::size_t i, std::uint64_t process_incarnation) {
    members_[names_[i]] = std::make_unique<FailureDetector>(timings, names_[i], names_, 1000 + i,
                                                            process_incarnation, random_());
    Resume(i);
  }
  // Kills the process, which does not announce that it leaves.
  void Kill(std::size_t i) {
    members_.erase(names_[i]);
    ScheduleTick(names_[i]);
  }
  // Pauses the process: its timers do not run, and its datagrams stay in the socket.
  void Pause(std::size_t i) {
    paused_.insert(names_[i]);
    ScheduleTick(names_[i]);
  }
  // Resumes a paused process.
  void Resume(std::size_t i) {
    paused_.erase(names_[i]);
    ScheduleTick(names_[i]);
  }
  // Drops all frames in this direction; if `cut` is false, stops dropping them.
  void Cut(std::size_t from, std::size_t to, bool cut = true) {
    if (cut) {
      cut_.insert({names_[from], names_[to]});
    } else {
      cut_.erase({names_[from], names_[to]});
    }
  }
  FailureDetector& at(std::size_t i) { return *members_.at(names_[i]); }
  // The state of `subject` according to `observer`.
  State StateOf(std::size_t observer, std::size_t subject) {
    return at(observer).peers().at(names_[subject]).state;
  }

  // Delivers frames and runs timers in order, for `time` of virtual time.
  void RunFor(Time time) {
    const Time until = now + time;
    while (now < until) {
      Time next = until;
      if (!queue_.empty()) next = std::min(next, queue_.top().at);
      if (!due_.empty()) next = std::min(next, due_.begin()->first);
      now = std::max(now + std::chrono::microseconds(1), next);
      while (!queue_.empty() && queue_.top().at <= now) DeliverNextFrame();
      while (!due_.empty() && due_.begin()->first <= now) RunNextTimer();
    }
  }

  // A change that a member has reported.
  struct ReportedChange {
    Time at{};
    std::string by;
    FailureDetector::Change change;
  };
  // Counts how often members have declared member `i` dead.
  std::size_t CountDeaths(std::size_t i) const {
    std::size_t count = 0;
    for (const ReportedChange& reported : changes) {
      const FailureDetector::Change& change = reported.change;
      count += change.name == names_[i] && !change.link && change.to == State::kDead;
    }
    return count;
  }

  Timings timings{std::chrono::milliseconds(200),
                  std::chrono::milliseconds(100),
                  std::chrono::milliseconds(800),
                  {},
                  {},
                  {},
                  {}};
  LinkFault fault;
  Time now = std::chrono::seconds(1);
  std::vector<ReportedChange> changes;
  std::uint64_t frames = 0, bytes = 0;  // sent, including lost ones

 private:
  struct FrameInFlight {
    Time at;
    std::uint64_t number;  // frames due at the same time arrive in the order they were sent
    std::shared_ptr<const Frame> frame;
    // The earliest frame compares as the greatest, so it is at the top of a std::priority_queue.
    bool operator<(const FrameInFlight& other) const {
      return std::tie(other.at, other.number) < std::tie(at, number);
    }
  };

  void DeliverNextFrame() {
    const FrameInFlight next = queue_.top();
    queue_.pop();
    const std::string& receiver = next.frame->to;
    const auto it = members_.find(receiver);
    if (it == members_.end()) return;
    if (paused_.contains(receiver)) {
      waiting_[receiver].push_back(next.frame);
      return;
    }
    it->second->Receive(*next.frame, now);
    Collect(*it->second, receiver);
  }

  void RunNextTimer() {
    const std::string name = due_.begin()->second;
    FailureDetector& member = *members_.at(name);
    member.Tick(now);
    // A process that resumes finds its datagrams in the socket, after its timers.
    for (const auto& frame : std::exchange(waiting_[name], {})) member.Receive(*frame, now);
    Collect(member, name);
  }

  // Schedules the member's next tick, or none if the member was killed or paused.
  void ScheduleTick(const std::string& name) {
    if (const auto it = due_at_.find(name); it != due_at_.end()) due_.erase({it->second, name});
    due_at_.erase(name);
    const auto member = members_.find(name);
    if (member == members_.end() || paused_.contains(name)) return;
    const Time next = std::max(member->second->Next(), now + std::chrono::microseconds(1));
    due_.insert({next, name});
    due_at_[name] = next;
  }

  // Sends the member's outgoing frames and records its changes.
  void Collect(FailureDetector& member, const std::string& name) {
    ScheduleTick(name);
    for (Frame& frame : member.TakeFrames()) {
      ++frames;
      bytes += frame.body.size() + kHeadBytes + frame.from.size() + frame.to.size();
      if (cut_.contains({name, frame.to}) || Chance() < fault.loss) continue;
      const auto shared = std::make_shared<const Frame>(std::move(frame));
      const int copies = Chance() < fault.duplication ? 2 : 1;
      for (int i = 0; i < copies; ++i) {
        const Time jitter = fault.jitter == Time{}
                                ? Time{}
                                : Time(static_cast<Time::rep>(random_() % fault.jitter.count()));
        queue_.push({now + fault.delay + jitter, next_number_++, shared});
      }
    }
    for (FailureDetector::Change& change : member.TakeChanges())
      changes.push_back({now, name, change});
  }
  static constexpr std::size_t kHeadBytes = 4 + 2 + 3 + 4 + 16 + 32;  // in a fleet named "test"

  double Chance() { return static_cast<double>(random_() % 1000000) / 1e6; }

  std::mt19937_64 random_;
  std::vector<std::string> names_;
  std::map<std::string, std::unique_ptr<FailureDetector>> members_;
  std::set<std::string> paused_;
  std::set<std::pair<Time, std::string>> due_;
  std::map<std::string, Time> due_at_;
  std::map<std::string, std::vector<std::shared_ptr<const Frame>>> waiting_;
  std::set<std::pair<std::string, std::string>> cut_;
  std::priority_queue<FrameInFlight> queue_;
  std::uint64_t next_number_ = 0;
};

}  // namespace brassfront::peers

#endif  // BRASSFRONT_TESTS_FLEET_SIMULATED_CLUSTER_HPP_
