#include "peers/failure_detector.hpp"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

namespace brassfront::peers {
namespace {

// Maximum number of concurrent probes on behalf of other members; bounds the memory and the frames
// that ping-reqs can cause here.
constexpr std::size_t kMaxIndirectProbes = 64;
// Periods after which an indirect probe is dropped. The requester no longer waits for it by then:
// its own time limit is stretched to at most nine periods (LocalHealth).
constexpr int kIndirectProbePeriods = 10;
// Proxies that are requested to probe one target: SWIM's k.
constexpr std::size_t kIndirectProxies = 3;
// Peers to which a leaving member announces that it leaves; gossip spreads this to the others.
constexpr std::size_t kLeaveReceivers = 2 * kIndirectProxies;
// Consecutive missed direct probes before the link is reported. A round of probes takes one period
// for each member, so a cut link is reported within 3 x n x probe.
constexpr std::size_t kMissesBeforeLinkFault = 3;
// Periods between two pings to peers that are dead, have left or are still unknown. They are needed
// to notice that a partition has healed.
constexpr std::uint64_t kPeriodsPerAbsentProbe = 5;
// A gap between ticks that exceeds both this and twice `probe` means that the process was paused,
// since ticks are due at least every `probe`.
constexpr Time kPauseThreshold = std::chrono::milliseconds(400);
// A pause worsens the local health score as much as two missed probes.
constexpr std::size_t kScorePerPause = 2;

bool IsPresent(State state) { return state == State::kAlive || state == State::kSuspect; }
bool IsGone(State state) { return state == State::kDead || state == State::kLeft; }

}  // namespace

FailureDetector::FailureDetector(const Timings& timings, std::string self,
                                 const std::vector<std::string>& members, std::uint64_t identity,
                                 std::uint64_t process_incarnation, std::uint64_t seed)
    : timings_(timings),
      self_(std::move(self)),
      identity_(identity),
      incarnation_(FirstIncarnation(process_incarnation)),
      random_(seed) {
  SetMembers(members);
}

void FailureDetector::SetMembers(const std::vector<std::string>& members) {
  std::set<std::string> names(members.begin(), members.end());
  names.erase(self_);
  std::erase_if(peers_, [&](const auto& entry) { return !names.contains(entry.first); });
  std::erase_if(suspects_, [&](const std::string& name) { return !names.contains(name); });
  for (const std::string& name : names) peers_.try_emplace(name);
  probe_round_.Restart();
  if (probe_ && !peers_.contains(probe_->target)) probe_.reset();
  names.insert(self_);
  gossip_.Retain(names);
}

// ======== time ========

Time FailureDetector::Next() const {
  if (left_) return Time::max();
  Time next = next_period_;
  if (probe_ && !probe_->answered) {
    next = std::min(next, probe_->indirect_requested ? probe_->ends : probe_->request_indirect_at);
  }
  for (const std::string& name : suspects_) next = std::min(next, peers_.at(name).suspicion_ends);
  return next;
}

void FailureDetector::Tick(Time now) {
  if (left_) return;
  RecoverFromPause(now);
  last_tick_ = now;
  std::erase_if(indirect_probes_, [&](const IndirectProbe& probe) { return probe.ends <= now; });
  if (probe_ && !probe_->answered && !probe_->indirect_requested &&
      now >= probe_->request_indirect_at) {
    RequestIndirectProbes();
  }
  if (probe_ && now >= probe_->ends) EndDirectProbe(now);
  ExpireSuspicions(now);
  if (now >= next_period_) {
    if (probe_) EndDirectProbe(now);
    StartPeriod(now);
    next_period_ = now + timings_.probe;
  }
}

// After a pause, acks and refutations may still be unread in the socket. Therefore the probe in
// progress is dropped without a result, and every suspicion is extended by the length of the pause.
void FailureDetector::RecoverFromPause(Time now) {
  if (!last_tick_) return;
  const Time gap = now - *last_tick_;
  if (gap <= std::max(kPauseThreshold, 2 * timings_.probe)) return;
  ++counts_.pauses;
  probe_.reset();
  next_period_ = now;
  local_health_.Worsen(kScorePerPause);
  for (const std::string& name : suspects_) peers_.at(name).suspicion_ends += gap;
}

void FailureDetector::ExpireSuspicions(Time now) {
  const std::vector<std::string> names(suspects_.begin(), suspects_.end());
  for (const std::string& name : names) {
    Peer& peer = peers_.at(name);
    if (now >= peer.suspicion_ends) SetState(name, peer, State::kDead, peer.incarnation);
  }
}

void FailureDetector::Leave(Time now) {
  Tick(now);
  left_ = true;
  for (const std::string& name : ChooseAlivePeers(kLeaveReceivers, "")) {
    gossip_.DisseminateOnce(self_);
    SendPing(name);
  }
}

// ======== probes ========

void FailureDetector::StartPeriod(Time now) {
  ++periods_;
  StartDirectProbe(now);
  // Suspects are pinged more often than once a round, which gives them more chances to refute.
  if (!suspects_.empty()) PingRandomSuspect();
  if (!probe_ || periods_ % kPeriodsPerAbsentProbe == 0) PingRandomAbsentPeer();
}

void FailureDetector::StartDirectProbe(Time now) {
  const auto eligible = [&](const std::string& name) {
    const auto it = peers_.find(name);
    return it != peers_.end() && !IsGone(it->second.state);
  };
  std::optional<std::string> target = probe_round_.Next(peers_, random_, eligible);
  if (!target) return;
  DirectProbe probe;
  probe.target = *std::move(target);
  probe.sequence = next_sequence_++;
  probe.request_indirect_at = now + local_health_.Scale(timings_.answer);
  probe.ends = now + local_health_.Scale(timings_.probe);
  probe_ = std::move(probe);
  ++counts_.probes;
  Send(probe_->target, Ping{probe_->sequence});
}

void FailureDetector::PingRandomSuspect() {
  const auto index = static_cast<std::ptrdiff_t>(random_.Below(suspects_.size()));
  SendPing(*std::next(suspects_.begin(), index));
}

void FailureDetector::PingRandomAbsentPeer() {
  std::vector<std::string> absent;
  for (const auto& [name, peer] : peers_) {
    const bool is_probed = probe_ && name == probe_->target;
    if (!IsPresent(peer.state) && !is_probed) absent.push_back(name);
  }
  if (!absent.empty()) SendPing(absent[random_.Below(absent.size())]);
}

void FailureDetector::RequestIndirectProbes() {
  probe_->indirect_requested = true;
  ++counts_.indirect_probes;
  for (const std::string& proxy : ChooseAlivePeers(kIndirectProxies, probe_->target)) {
    ++probe_->proxies;
    Send(proxy, PingRequest{probe_->sequence, probe_->target});
  }
}

void FailureDetector::EndDirectProbe(Time now) {
  const DirectProbe ended = *std::exchange(probe_, std::nullopt);
  const auto it = peers_.find(ended.target);
  if (it == peers_.end()) return;
  Peer& peer = it->second;
  if (!ended.answered_directly) {
    ++peer.missed_probes;
    UpdateLink(ended.target, peer);
  }
  if (ended.answered) return;
  ++counts_.missed;
  // If no proxy confirmed the request either, the fault may be on this member's side.
  if (ended.proxies_heard < std::max<std::size_t>(1, ended.proxies)) local_health_.Worsen(1);
  if (peer.state == State::kAlive || peer.state == State::kUnknown) {
    Suspect(ended.target, peer, now);
  }
}

// Called when `name` has answered the probe with this sequence number, which is either our own or
// one that we sent as a proxy.
void FailureDetector::OnProbeAnswered(const std::string& name, std::uint32_t sequence,
                                      bool directly) {
  if (directly) {
    for (const IndirectProbe& probe : indirect_probes_) {
      if (probe.sequence == sequence) Send(probe.requester, Ack{probe.requester_sequence, name});
    }
  }
  const auto it = peers_.find(name);
  if (it == peers_.end()) return;
  Peer& peer = it->second;
  if (directly) {
    peer.missed_probes = 0;
    UpdateLink(name, peer);
  }
  if (!probe_ || probe_->target != name || probe_->sequence != sequence) return;
  if (!std::exchange(probe_->answered, true)) local_health_.Improve();
  probe_->answered_directly |= directly;
  // An ack by way of a proxy also shows that the peer is alive, even if our link to it is down.
  if (peer.state == State::kSuspect) SetState(name, peer, State::kAlive, peer.incarnation);
}

std::vector<std::string> FailureDetector::ChooseAlivePeers(std::size_t max_count,
                                                           const std::string& excluded) {
  std::vector<std::string> names;
  for (const auto& [name, peer] : peers_) {
    if (name != excluded && peer.state == State::kAlive) names.push_back(name);
  }
  for (std::size_t i = 0; i < names.size() && i < max_count; ++i) {
    std::swap(names[i], names[i + random_.Below(names.size() - i)]);
  }
  names.resize(std::min(max_count, names.size()));
  return names;
}

// ======== messages ========

void FailureDetector::SendPing(const std::string& target) { Send(target, Ping{next_sequence_++}); }

void FailureDetector::Send(const std::string& to, const SwimMessage& message) {
  std::string body = EncodeSwimMessage(message, TakeUpdatesFor(to));
  frames_.push_back({GetKind(message), self_, to, identity_, incarnation_, std::move(body)});
}

// The update about the receiver itself goes first, because only the receiver can refute it.
std::vector<GossipUpdate> FailureDetector::TakeUpdatesFor(const std::string& receiver) {
  std::vector<GossipUpdate> updates;
  const auto it = peers_.find(receiver);
  if (it != peers_.end() && it->second.incarnation > 0) updates.push_back(DescribeMember(receiver));
  for (const std::string& name : gossip_.TakeFor(receiver, kMaxUpdatesPerFrame - updates.size())) {
    updates.push_back(DescribeMember(name));
  }
  return updates;
}

GossipUpdate FailureDetector::DescribeMember(const std::string& name) const {
  if (name == self_) return {name, left_ ? State::kLeft : State::kAlive, incarnation_};
  const Peer& peer = peers_.at(name);
  return {name, peer.state, peer.incarnation};
}

void FailureDetector::Receive(const Frame& frame, Time now) {
  if (left_ || !peers_.contains(frame.from)) return;
  RecordSender(frame, now);
  if (!IsSwimKind(frame.kind)) return;
  const std::optional<DecodedSwimMessage> decoded = DecodeSwimMessage(frame.kind, frame.body);
  if (!decoded) {
    ++counts_.bad;
    return;
  }
  for (const GossipUpdate& update : decoded->updates) ApplyUpdate(update, now);
  std::visit([&](const auto& message) { On(message, frame.from, now); }, decoded->message);
}

// The sender of a frame is alive. If it was declared dead here, it must still learn of that and
// refute it, because other members have declared it dead as well.
void FailureDetector::RecordSender(const Frame& frame, Time now) {
  Peer& peer = peers_.at(frame.from);
  peer.last_heard = now;
  if (frame.identity != peer.identity) {
    if (frame.identity == peer.former_identity) {
      ++peer.identity_flips;
      ++counts_.duplicate_sender_frames;
    }
    peer.former_identity = std::exchange(peer.identity, frame.identity);
  }
  if (frame.incarnation < peer.incarnation) {
    ++counts_.stale;  // our reply carries the newer incarnation to the sender
    return;
  }
  if (frame.incarnation > peer.incarnation || peer.state == State::kUnknown) {
    SetState(frame.from, peer, State::kAlive, frame.incarnation);
    Disseminate(frame.from);
  } else if (peer.state == State::kSuspect) {
    SetState(frame.from, peer, State::kAlive, peer.incarnation);
  }
}

void FailureDetector::On(const Ping& ping, const std::string& from, Time) {
  Send(from, Ack{ping.sequence, ""});
}

void FailureDetector::On(const PingRequest& request, const std::string& from, Time now) {
  if (!peers_.contains(request.target) || indirect_probes_.size() >= kMaxIndirectProbes) return;
  indirect_probes_.push_back(
      {next_sequence_, from, request.sequence, now + kIndirectProbePeriods * timings_.probe});
  // Confirms the request, so that the requester knows that it reached a proxy, even if the probe
  // fails.
  Send(from, Ack{request.sequence, self_});
  SendPing(request.target);
}

void FailureDetector::On(const Ack& ack, const std::string& from, Time) {
  answered_by_.insert(from);
  const bool is_proxy_confirmation = ack.subject == from;
  if (is_proxy_confirmation) {
    if (probe_ && probe_->sequence == ack.sequence) ++probe_->proxies_heard;
    return;
  }
  const bool directly = ack.subject.empty();
  OnProbeAnswered(directly ? from : ack.subject, ack.sequence, directly);
}

// ======== gossip ========

void FailureDetector::ApplyUpdate(const GossipUpdate& update, Time now) {
  if (update.name == self_) return ApplyUpdateAboutSelf(update);
  const auto it = peers_.find(update.name);
  if (it == peers_.end() || update.incarnation < it->second.incarnation) return;
  Peer& peer = it->second;
  switch (update.state) {
    case State::kAlive:
      return ApplyAlive(update, peer);
    case State::kSuspect:
      return ApplySuspect(update, peer, now);
    case State::kDead:
      return ApplyDead(update, peer, now);
    case State::kLeft:
      return ApplyLeft(update, peer);
    case State::kUnknown:
      return;
  }
}

// Refutes an update that reports this member as suspect or dead, with an incarnation above that of
// the update.
void FailureDetector::ApplyUpdateAboutSelf(const GossipUpdate& update) {
  if (ProcessIncarnationOf(update.incarnation) > ProcessIncarnationOf(incarnation_)) {
    folder_is_stale_ = true;
  }
  const bool must_refute = update.state != State::kAlive && update.incarnation >= incarnation_;
  if (!must_refute && update.incarnation <= incarnation_) return;
  incarnation_ = update.incarnation + 1;
  ++counts_.refutations;
  if (update.state == State::kSuspect) local_health_.Worsen(1);
  Disseminate(self_);
}

// The functions below require that the update's incarnation is at least the peer's.

void FailureDetector::ApplyAlive(const GossipUpdate& update, Peer& peer) {
  if (update.incarnation == peer.incarnation && peer.state != State::kUnknown) return;
  SetState(update.name, peer, State::kAlive, update.incarnation);
  Disseminate(update.name);
}

void FailureDetector::ApplySuspect(const GossipUpdate& update, Peer& peer, Time now) {
  if (update.incarnation == peer.incarnation && IsGone(peer.state)) return;
  peer.incarnation = update.incarnation;
  Suspect(update.name, peer, now);
}

// When a partition heals, each side reports the other as dead. A peer that is alive gets time to
// refute that, and a peer whose frames arrived recently is not declared dead.
void FailureDetector::ApplyDead(const GossipUpdate& update, Peer& peer, Time now) {
  if (IsGone(peer.state)) return;
  peer.incarnation = update.incarnation;
  if (peer.state != State::kSuspect) return Suspect(update.name, peer, now);
  peer.suspicion_ends = std::min(peer.suspicion_ends, peer.last_heard + timings_.suspicion);
  if (peer.suspicion_ends > now) return;
  SetState(update.name, peer, State::kDead, peer.incarnation);
  Disseminate(update.name);
}

void FailureDetector::ApplyLeft(const GossipUpdate& update, Peer& peer) {
  if (IsGone(peer.state)) return;
  SetState(update.name, peer, State::kLeft, update.incarnation);
  Disseminate(update.name);
}

// ======== state of a peer ========

void FailureDetector::Suspect(const std::string& name, Peer& peer, Time now) {
  if (peer.state == State::kSuspect) return;
  SetState(name, peer, State::kSuspect, peer.incarnation);
  peer.suspicion_ends = now + local_health_.Scale(timings_.suspicion);
  Disseminate(name);
}

void FailureDetector::SetState(const std::string& name, Peer& peer, State state,
                               std::uint64_t incarnation) {
  const State from = std::exchange(peer.state, state);
  if (state == State::kSuspect) {
    suspects_.insert(name);
  } else {
    suspects_.erase(name);
  }
  const bool restarted = ProcessIncarnationOf(incarnation) > ProcessIncarnationOf(peer.incarnation);
  peer.incarnation = incarnation;
  if (from == state && !restarted) return;
  if (IsGone(state)) {
    peer.missed_probes = 0;
    peer.link = Link::kTwoWay;
    Disseminate(name);
  }
  changes_.push_back({name, from, state, incarnation, std::nullopt});
}

void FailureDetector::UpdateLink(const std::string& name, Peer& peer) {
  Link link = Link::kTwoWay;
  if (peer.missed_probes >= kMissesBeforeLinkFault && peer.state == State::kAlive) {
    // Two rounds: a peer that can reach us has probed us within that time.
    const auto periods = static_cast<Time::rep>(2 * peers_.size() + 4);
    const bool ever_heard = peer.last_heard > Time{};
    const bool heard_lately =
        ever_heard && last_tick_ && peer.last_heard + periods * timings_.probe > *last_tick_;
    link = heard_lately ? Link::kOneWay : Link::kIndirect;
  } else if (peer.missed_probes > 0) {
    return;  // too few missed probes to decide
  }
  if (std::exchange(peer.link, link) == link) return;
  changes_.push_back({name, peer.state, peer.state, peer.incarnation, link});
}

}  // namespace brassfront::peers
