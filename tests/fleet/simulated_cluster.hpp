// Virtual time for cores: a queue of frames with a link's delay and loss, and members that are cut,
// stopped or ended. One seed; the same seed gives the same run.
#ifndef BRASSFRONT_TESTS_FLEET_SIMULATED_CLUSTER_HPP_
#define BRASSFRONT_TESTS_FLEET_SIMULATED_CLUSTER_HPP_

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "peers/failure_detector.hpp"

namespace brassfront::peers {

class SimulatedCluster {
 public:
  struct LinkFault {
    double loss = 0, twice = 0;
    Time delay = std::chrono::microseconds(200), jitter{};
  };

  SimulatedCluster(std::size_t count, std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < count; ++i) names_.push_back("m" + std::to_string(i));
    for (std::size_t i = 0; i < count; ++i) Start(i, 1);
  }

  void Start(std::size_t i, std::uint64_t process_incarnation) {
    members_[names_[i]] = std::make_unique<FailureDetector>(timings, names_[i], names_, 1000 + i,
                                                            process_incarnation, random_());
    Wake(i);
  }
  void End(std::size_t i) {
    members_.erase(names_[i]);
    Due(names_[i]);
  }
  void Stop(std::size_t i) {
    stopped_.insert(names_[i]);
    Due(names_[i]);
  }
  void Wake(std::size_t i) {
    stopped_.erase(names_[i]);
    Due(names_[i]);
  }
  void Cut(std::size_t from, std::size_t to, bool cut = true) {
    if (cut) {
      cut_.insert({names_[from], names_[to]});
    } else {
      cut_.erase({names_[from], names_[to]});
    }
  }
  FailureDetector& at(std::size_t i) { return *members_.at(names_[i]); }
  State Of(std::size_t seer, std::size_t seen) { return at(seer).peers().at(names_[seen]).state; }

  void RunFor(Time time) {
    const Time until = now + time;
    while (now < until) {
      Time next = until;
      if (!queue_.empty()) next = std::min(next, queue_.top().at);
      if (!due_.empty()) next = std::min(next, due_.begin()->first);
      now = std::max(now + std::chrono::microseconds(1), next);
      while (!queue_.empty() && queue_.top().at <= now) {
        const Flight flight = queue_.top();
        queue_.pop();
        const auto it = members_.find(flight.frame->to);
        if (it == members_.end()) continue;
        if (stopped_.contains(flight.frame->to)) {
          waiting_[flight.frame->to].push_back(flight.frame);
          continue;
        }
        it->second->Receive(*flight.frame, now);
        Collect(*it->second, flight.frame->to);
      }
      while (!due_.empty() && due_.begin()->first <= now) {
        const std::string name = due_.begin()->second;
        FailureDetector& member = *members_.at(name);
        member.Tick(now);
        // A stopped process finds its datagrams in the socket when it wakes, after its timers.
        for (const auto& frame : std::exchange(waiting_[name], {})) member.Receive(*frame, now);
        Collect(member, name);
      }
    }
  }

  struct Told {
    Time at{};
    std::string by;
    FailureDetector::Change change;
  };
  std::size_t Deaths(std::size_t of) const {
    std::size_t count = 0;
    for (const Told& t : told) {
      count += t.change.name == names_[of] && !t.change.link && t.change.to == State::kDead;
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
  std::vector<Told> told;
  std::uint64_t frames = 0, bytes = 0;

 private:
  struct Flight {
    Time at;
    std::uint64_t number;
    std::shared_ptr<const Frame> frame;
    bool operator<(const Flight& other) const {
      return std::tie(other.at, other.number) < std::tie(at, number);
    }
  };

  void Due(const std::string& name) {
    if (const auto it = due_at_.find(name); it != due_at_.end()) due_.erase({it->second, name});
    due_at_.erase(name);
    const auto member = members_.find(name);
    if (member == members_.end() || stopped_.contains(name)) return;
    const Time next = std::max(member->second->Next(), now + std::chrono::microseconds(1));
    due_.insert({next, name});
    due_at_[name] = next;
  }

  void Collect(FailureDetector& member, const std::string& name) {
    Due(name);
    for (Frame& frame : member.TakeFrames()) {
      ++frames;
      bytes += frame.body.size() + kHead + frame.from.size() + frame.to.size();
      if (cut_.contains({name, frame.to}) || Chance() < fault.loss) continue;
      const auto shared = std::make_shared<const Frame>(std::move(frame));
      const int copies = Chance() < fault.twice ? 2 : 1;
      for (int i = 0; i < copies; ++i) {
        const Time late = fault.jitter == Time{}
                              ? Time{}
                              : Time(static_cast<Time::rep>(random_() % fault.jitter.count()));
        queue_.push({now + fault.delay + late, next_++, shared});
      }
    }
    for (FailureDetector::Change& change : member.TakeChanges())
      told.push_back({now, name, change});
  }
  static constexpr std::size_t kHead = 4 + 2 + 3 + 4 + 16 + 32;  // of a frame in fleet "test"

  double Chance() { return static_cast<double>(random_() % 1000000) / 1e6; }

  std::mt19937_64 random_;
  std::vector<std::string> names_;
  std::map<std::string, std::unique_ptr<FailureDetector>> members_;
  std::set<std::string> stopped_;
  std::set<std::pair<Time, std::string>> due_;
  std::map<std::string, Time> due_at_;
  std::map<std::string, std::vector<std::shared_ptr<const Frame>>> waiting_;
  std::set<std::pair<std::string, std::string>> cut_;
  std::priority_queue<Flight> queue_;
  std::uint64_t next_ = 0;
};

}  // namespace brassfront::peers

#endif  // BRASSFRONT_TESTS_FLEET_SIMULATED_CLUSTER_HPP_
