// The engine: one thread owns all state of the forwarder and alone calls the decision module.
//
// It works in turns. What other threads have to say comes by the inbox; what is of the module's
// concern waits for the next turn, and the rest is dealt with at once. No policy is here.
#ifndef BRASSFRONT_FORWARDER_ENGINE_HPP_
#define BRASSFRONT_FORWARDER_ENGINE_HPP_

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <shared_mutex>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "config/config.hpp"
#include "forwarder/deadlines.hpp"
#include "forwarder/intake.hpp"
#include "forwarder/lives.hpp"
#include "forwarder/mailbox.hpp"
#include "forwarder/peer_door.hpp"
#include "forwarder/stages.hpp"
#include "forwarder/translate.hpp"
#include "net/next_hops.hpp"
#include "net/notices.hpp"
#include "net/watch.hpp"
#include "observe/log.hpp"
#include "rushfall/choice.hpp"
#include "spool/spool.hpp"

namespace brassfront {

class Engine : public Intake {
 public:
  // Connections to next hops at once, at most.
  static std::size_t MostNextHopConnections(const Config& config);

  // Lists from discovery go to `divert` instead, if it is given: whoever takes them says by Listed
  // what they come to.
  Engine(const Config& config, Spool& spool, BufferPool& buffers, Watch::OnList divert = nullptr);
  ~Engine() override;

  // Before Restore: it hears of every call from now on, and outlives the engine.
  void Attach(PeerDoor& door) { door_ = &door; }
  // Takes up what an earlier process owed, with the endpoints that there are. Clients may come once
  // it has returned.
  void Restore(const MemberList& known);
  void Restore() { Restore(config_.known); }
  // Works until it has been told to leave and may.
  void Run(std::function<void()> on_drain);
  // After Run: whoever still waits for an answer is deferred, and nothing more is taken.
  void LetGo();

  // ---- for other threads ----
  Answer HandIn(Envelope envelope) override;
  void Heard(std::uint64_t message) override;
  void Lost(std::uint64_t message) override;
  void Leave();
  void Listed(MemberList list) { inbox_.Put(std::move(list)); }
  void Tell(PeerNews news) { inbox_.Put(std::move(news)); }
  // Does it on the engine's thread, once all that was put before has been taken up.
  void Then(std::function<void()> what);
  // Messages that are taken on and not ended, as of the last turn.
  std::size_t held() const { return held_now_; }
  // Discovery and the platform are to be reached at another address.
  void Move(std::string discovery);

 private:
  using Duration = rushfall::Duration;
  using Time = rushfall::Time;
  using MessageId = rushfall::MessageId;  // the same number in the spool

  struct Arrival {
    Envelope envelope;
    std::promise<Answer> answer;
    std::size_t the_class = 0, tenant = 0;
    Time handed_in{};
  };
  struct HeardNow {
    MessageId message;
  };
  struct LostNow {
    MessageId message;
  };
  struct NoticeHeard {
    MessageId message;
  };
  struct LeaveNow {};
  struct MoveNow {
    std::string discovery;
  };
  struct ThenNow {
    std::function<void()> what;
  };
  using Item = std::variant<Arrival, HeardNow, LostNow, DeliveryEnd, MemberList, NoticeHeard,
                            LeaveNow, MoveNow, ThenNow, PeerNews>;

  struct Held {
    std::string id{};
    std::string key{};
    std::string body{};
    bool heard = false;             // its client knows that it was taken on
    bool ending = false;            // given up; its notice is on the way
    std::size_t attempts = 0;       // noted in the spool, by earlier processes too
    std::size_t attempts_told = 0;  // by the module
    Time given_up{};
  };

  struct Hop {
    std::string name;
    std::string address;
    rushfall::EndpointEntry entry;
    Time gone_since{};  // if it is removed
  };

  struct OutPart {
    MessageId message = 0;
    std::string id{};
    std::size_t attempt = 0;  // as the module counts
    std::size_t noted = 0;    // as the spool counts
    bool cancelled = false;
  };

  struct Out {
    rushfall::EndpointId hop = 0;
    std::vector<OutPart> parts;  // none: a probe
    Time start_by{};
    Time ends{};
    Time asked{};  // for, by the module
    Time started{};
    std::size_t bytes = 0;               // of the bundle
    bool recalled = false;               // before it was started
    std::shared_ptr<Delivery> delivery;  // none until it is started
  };

  void On(Arrival arrival);
  void On(const HeardNow& e);
  void On(const LostNow& e);
  void On(const DeliveryEnd& e);
  void On(const MemberList& e);
  void On(const NoticeHeard& e);
  void On(const LeaveNow&);
  void On(const MoveNow& e);
  void On(const ThenNow& e);
  void On(PeerNews e);
  void On(const Deadline& e);

  void Turn(Time now);
  void KeepArrivals();
  void Do(const rushfall::Send& e);
  void Do(const rushfall::Refuse& e);
  void Do(const rushfall::Surrender& e);
  void Do(const rushfall::Cancel& e);
  void Do(const rushfall::SetTimer& e);
  void Do(const rushfall::Probe& e);
  void Do(const rushfall::Subscribe&) {}  // the watch is always open
  void Do(const rushfall::Log& e);

  std::string Reject(const Envelope& envelope, std::size_t& the_class, std::size_t& tenant) const;
  Time NextDue() const;
  void Refused(Arrival& arrival, Answer answer);
  bool IsListed(rushfall::DestinationId destination) const;
  void NoteListed();
  bool HasRoomFor(const Envelope& envelope) const;
  void GiveUp(MessageId message, Notice notice);
  void Erase(MessageId message);
  void End(MessageId message, Step step);
  void TellOverdue(Time now);
  rushfall::EndpointId HopNumber(const std::string& name);
  void ForgetHops(Time now);
  void RetireInTime();
  rushfall::EndpointList TakeList(const MemberList& list);

  void StartReady(Time now);
  bool Start(std::uint64_t number, Out& out, Time now);
  void Settle(const Out& out, const OutPart& part, const AttemptEnd& end, Time now,
              Duration wait = {}, const rushfall::LoadReport& report = {});
  void SettleUnsent(const Out& out, Time now);
  template <typename Bound>
  void Recall(Bound bound);

  CallPlace PlaceOfCall(const Hop& hop) const;
  std::function<bool()> PermitOf(const Hop& hop) const;

  const Config& config_;
  Spool& spool_;
  PeerDoor* door_ = nullptr;
  Mailbox<Item> inbox_;
  rushfall::Choice choice_;
  std::vector<rushfall::Event> events_;  // for the next turn
  Time last_turn_{};
  Deadlines deadlines_;
  Time retire_at_ = Time::max();  // the earliest deadline set for it

  std::map<MessageId, Held> held_;
  std::unordered_map<std::string, MessageId> numbers_;
  Lives lives_;
  std::size_t owed_ = 0;        // held and not given up
  std::size_t body_bytes_ = 0;  // of all held
  MessageId next_message_;
  std::map<MessageId, Arrival> arrivals_;  // not answered yet

  std::map<rushfall::EndpointId, Hop> hops_;
  std::unordered_map<std::string, rushfall::EndpointId> hop_numbers_;
  rushfall::EndpointId next_hop_ = 0;
  Duration longest_deadline_{};  // of the classes
  mutable std::shared_mutex listed_mutex_;
  std::unordered_set<rushfall::DestinationId> listed_;  // those of hops_; for other threads as well
  std::uint64_t revision_ = 0;

  std::uint64_t next_out_ = 1;
  std::map<std::uint64_t, Out> out_;
  std::deque<std::uint64_t> ready_;                       // not started yet
  std::map<rushfall::EndpointId, std::uint64_t> bundle_;  // still open in this turn
  std::vector<Notice> given_up_;                          // in this turn
  std::size_t slots_taken_ = 0;

  Stages stages_;
  std::atomic<std::size_t> held_now_{0};  // for other threads

  std::function<void()> on_drain_;
  bool leaving_ = false;    // asked to
  bool may_leave_ = false;  // once nothing is owed
  bool left_ = false;

  // Last: their threads speak to all of the above.
  NextHops next_hops_;
  Notices notices_;
  Watch watch_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_ENGINE_HPP_
