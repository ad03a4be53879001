#include "peers/failure_detector.hpp"

#include <algorithm>
#include <bit>
#include <utility>

#include "peers/bytes.hpp"

namespace brassfront::peers {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxUpdatesPerFrame = 8;  // in a frame
constexpr std::size_t kMaxIndirectProbes = 64;  // probes for others at once
constexpr std::size_t kIndirectProxies = 3;     // asked to probe for us
constexpr std::size_t kMaxLocalHealthScore = 8;
constexpr std::size_t kMissesBeforeLinkFault = 3;  // direct probes in a row
constexpr std::uint64_t kPeriodsPerAbsentProbe =
    5;                                        // periods between probes of one that is not present
constexpr std::size_t kRetransmitFactor = 3;  // times log2 of the fleet's size a word is told
constexpr Time kPauseThreshold =
    milliseconds(400);  // and twice `probe`: a tick so late means we stood still

}  // namespace

const char* ToString(State state) {
  constexpr const char* kNames[] = {"unknown", "alive", "suspect", "dead", "left"};
  return kNames[static_cast<std::size_t>(state)];
}

const char* ToString(Link link) {
  constexpr const char* kNames[] = {"whole", "one-way", "indirect"};
  return kNames[static_cast<std::size_t>(link)];
}

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
  const std::set<std::string> names(members.begin(), members.end());
  std::erase_if(peers_, [&](const auto& entry) { return !names.contains(entry.first); });
  std::erase_if(transmissions_left_, [&](const auto& entry) {
    return entry.first != self_ && !names.contains(entry.first);
  });
  std::erase_if(suspects_, [&](const std::string& name) { return !names.contains(name); });
  for (const std::string& name : names) {
    if (name != self_) peers_.try_emplace(name);
  }
  probe_round_.clear();
  if (probe_ && !peers_.contains(probe_->target)) probe_.reset();
}

// ======== time ========

Time FailureDetector::Next() const {
  if (left_) return Time::max();
  Time next = next_probe_;
  if (probe_ && !probe_->answered) {
    next = std::min(next, probe_->indirect_requested ? probe_->ends : probe_->request_indirect_at);
  }
  for (const std::string& name : suspects_) next = std::min(next, peers_.at(name).suspicion_ends);
  return next;
}

void FailureDetector::Tick(Time now) {
  if (left_) return;
  // Guards against a process that was stopped, wakes up and takes all others for dead.
  if (last_tick_ && now - *last_tick_ > std::max(kPauseThreshold, 2 * timings_.probe)) {
    const Time gap = now - *last_tick_;
    ++counts_.pauses;
    probe_.reset();
    next_probe_ = now;
    local_health_score_ = std::min(kMaxLocalHealthScore, local_health_score_ + 2);
    for (const std::string& name : suspects_) peers_.at(name).suspicion_ends += gap;
  }
  last_tick_ = now;
  std::erase_if(indirect_probes_,
                [&](const IndirectProbe& indirect) { return indirect.ends <= now; });
  if (probe_ && !probe_->answered && !probe_->indirect_requested &&
      now >= probe_->request_indirect_at) {
    probe_->indirect_requested = true;
    ++counts_.indirect_probes;
    for (const std::string& proxy : ChooseAliveMembers(kIndirectProxies, probe_->target)) {
      ++probe_->proxies;
      Writer body;
      body.U32(probe_->sequence).Name(probe_->target);
      Send(Kind::kPingReq, proxy, std::move(body));
    }
  }
  if (probe_ && now >= probe_->ends) EndProbe(now);
  for (const std::string& name : std::vector(suspects_.begin(), suspects_.end())) {
    Peer& peer = peers_.at(name);
    if (now >= peer.suspicion_ends) SetState(name, peer, State::kDead, peer.incarnation);
  }
  if (now >= next_probe_) {
    if (probe_) EndProbe(now);
    StartProbe(now);
    next_probe_ = now + timings_.probe;
  }
}

void FailureDetector::StartProbe(Time now) {
  ++periods_;
  if (const auto target = NextProbeTarget()) {
    probe_ = DirectProbe{*target, next_sequence_++, now + ScaleByLocalHealth(timings_.answer),
                         now + ScaleByLocalHealth(timings_.probe)};
    ++counts_.probes;
    SendPing(*target, probe_->sequence);
  }
  // A suspect gets more chances, and those that are away are asked now and then: a healed partition
  // must be noticed by somebody.
  if (!suspects_.empty()) {
    SendPing(
        *std::next(suspects_.begin(), static_cast<std::ptrdiff_t>(random_.Below(suspects_.size()))),
        next_sequence_++);
  }
  if (probe_ && periods_ % kPeriodsPerAbsentProbe != 0) return;
  std::vector<std::string> absent;
  for (const auto& [name, peer] : peers_) {
    if (!IsPresent(peer) && !(probe_ && name == probe_->target)) absent.push_back(name);
  }
  if (!absent.empty()) SendPing(absent[random_.Below(absent.size())], next_sequence_++);
}

// Members in a random order, each once a round: the time to the next probe of one is bounded.
std::optional<std::string> FailureDetector::NextProbeTarget() {
  for (int round = 0; round < 2; ++round) {
    while (!probe_round_.empty()) {
      const std::string name = std::move(probe_round_.back());
      probe_round_.pop_back();
      const auto it = peers_.find(name);
      if (it != peers_.end() && (IsPresent(it->second) || it->second.state == State::kUnknown)) {
        return name;
      }
    }
    for (const auto& [name, peer] : peers_) probe_round_.push_back(name);
    for (std::size_t i = probe_round_.size(); i > 1; --i) {
      std::swap(probe_round_[i - 1], probe_round_[random_.Below(i)]);
    }
  }
  return std::nullopt;
}

std::vector<std::string> FailureDetector::ChooseAliveMembers(std::size_t max_count,
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

void FailureDetector::EndProbe(Time now) {
  const DirectProbe ended = *std::exchange(probe_, std::nullopt);
  const auto it = peers_.find(ended.target);
  if (it == peers_.end()) return;
  Peer& peer = it->second;
  if (!ended.directly) {
    ++peer.missed_probes;
    UpdateLink(ended.target, peer);
  }
  if (ended.answered) return;
  ++counts_.missed;
  if (ended.proxies_heard < std::max<std::size_t>(1, ended.proxies)) {
    local_health_score_ = std::min(kMaxLocalHealthScore, local_health_score_ + 1);
  }
  if (peer.state == State::kAlive || peer.state == State::kUnknown) {
    Suspect(ended.target, peer, now);
  }
}

// ======== frames ========

void FailureDetector::SendPing(const std::string& target, std::uint32_t sequence) {
  Writer body;
  body.U32(sequence);
  Send(Kind::kPing, target, std::move(body));
}

void FailureDetector::Send(Kind kind, const std::string& to, Writer body) {
  EncodeUpdates(body, to);
  frames_.push_back({kind, self_, to, identity_, incarnation_, body.Take()});
}

// What the receiver should know of itself goes first: only it can deny its death.
void FailureDetector::EncodeUpdates(Writer& body, const std::string& to) {
  std::vector<std::string> names;
  if (const auto it = peers_.find(to); it != peers_.end() && it->second.incarnation > 0) {
    names.push_back(to);
  }
  std::vector<std::pair<std::size_t, const std::string*>> by_left;
  for (const auto& [name, left] : transmissions_left_) {
    if (name != to) by_left.emplace_back(left, &name);
  }
  const std::size_t max_count = std::min(by_left.size(), kMaxUpdatesPerFrame - names.size());
  std::partial_sort(by_left.begin(), by_left.begin() + static_cast<std::ptrdiff_t>(max_count),
                    by_left.end(), [](const auto& a, const auto& b) {
                      return a.first != b.first ? a.first > b.first : *a.second < *b.second;
                    });
  by_left.resize(max_count);
  for (const auto& [left, name] : by_left) names.push_back(*name);
  for (const auto& [left, name] : by_left) {
    const auto it = transmissions_left_.find(*name);
    if (--it->second == 0) transmissions_left_.erase(it);
  }
  body.U8(names.size());
  for (const std::string& name : names) {
    const bool own = name == self_;
    const State own_state = left_ ? State::kLeft : State::kAlive;
    body.Name(name);
    body.U8(static_cast<std::uint8_t>(own ? own_state : peers_.at(name).state));
    body.U64(own ? incarnation_ : peers_.at(name).incarnation);
  }
}

std::vector<FailureDetector::GossipUpdate> FailureDetector::DecodeUpdates(Reader& reader) {
  std::vector<GossipUpdate> updates(std::min<std::size_t>(reader.U8(), kMaxUpdatesPerFrame));
  for (GossipUpdate& update : updates) {
    update.name = reader.Name();
    const std::uint8_t state = reader.U8();
    update.state = static_cast<State>(state);
    update.incarnation = reader.U64();
    if (state == 0 || state > static_cast<std::uint8_t>(State::kLeft)) update.name.clear();
  }
  return updates;
}

void FailureDetector::Receive(const Frame& frame, Time now) {
  const auto it = peers_.find(frame.from);
  if (it == peers_.end() || left_) return;
  RecordSender(frame, now);
  if (frame.kind > Kind::kPingReq) return;
  Reader reader(frame.body);
  const std::uint32_t sequence = reader.U32();
  std::string about;
  if (frame.kind != Kind::kPing) about = reader.Name();
  const std::vector<GossipUpdate> updates = DecodeUpdates(reader);
  if (!reader.done()) {
    ++counts_.bad;
    return;
  }
  for (const GossipUpdate& update : updates) ApplyUpdate(update, now);
  switch (frame.kind) {
    case Kind::kPing: {
      Writer body;
      body.U32(sequence).Name("");
      return Send(Kind::kAck, frame.from, std::move(body));
    }
    case Kind::kPingReq: {
      if (!peers_.contains(about) || indirect_probes_.size() >= kMaxIndirectProbes) return;
      indirect_probes_.push_back({next_sequence_, frame.from, sequence, now + 10 * timings_.probe});
      Writer taken;  // the requester is heard, whatever becomes of it
      Send(Kind::kAck, frame.from, std::move(taken.U32(sequence).Name(self_)));
      return SendPing(about, next_sequence_++);
    }
    default:
      answered_by_.insert(frame.from);
      if (about == frame.from) {
        if (probe_ && probe_->sequence == sequence) ++probe_->proxies_heard;
        return;
      }
      return OnProbeAnswered(about.empty() ? frame.from : about, sequence, about.empty());
  }
}

// `name` has answered probe `number`: ours, or one that we did for somebody else.
void FailureDetector::OnProbeAnswered(const std::string& name, std::uint32_t sequence,
                                      bool directly) {
  if (directly) {
    for (const IndirectProbe& indirect : indirect_probes_) {
      if (indirect.sequence != sequence) continue;
      Writer body;
      body.U32(indirect.requester_sequence).Name(name);
      Send(Kind::kAck, indirect.requester, std::move(body));
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
  if (!std::exchange(probe_->answered, true) && local_health_score_ > 0) --local_health_score_;
  probe_->directly |= directly;
  // Others reach it: it lives, though it is not us that it hears.
  if (peer.state == State::kSuspect) SetState(name, peer, State::kAlive, peer.incarnation);
}

// Whoever sends a frame lives. One that is held for dead has to hear of it and deny it itself, for
// others hold it for dead as well.
void FailureDetector::RecordSender(const Frame& frame, Time now) {
  Peer& peer = peers_.at(frame.from);
  peer.last_heard = now;
  if (frame.identity != peer.identity && frame.identity == peer.former_identity) {
    ++peer.flips;
    ++counts_.twice;
  }
  if (frame.identity != peer.identity) {
    peer.former_identity = std::exchange(peer.identity, frame.identity);
  }
  if (frame.incarnation < peer.incarnation) {
    ++counts_.stale;  // our answer tells it what we know
    return;
  }
  const bool newer = frame.incarnation > peer.incarnation || peer.state == State::kUnknown;
  if (newer) {
    SetState(frame.from, peer, State::kAlive, frame.incarnation);
    Disseminate(frame.from);
  } else if (peer.state == State::kSuspect) {
    SetState(frame.from, peer, State::kAlive, peer.incarnation);
  }
}

// ======== updates ========

void FailureDetector::ApplyUpdate(const GossipUpdate& update, Time now) {
  if (update.name == self_) return ApplyUpdateAboutSelf(update);
  const auto it = peers_.find(update.name);
  if (it == peers_.end()) return;
  Peer& peer = it->second;
  const bool newer = update.incarnation > peer.incarnation;
  const bool not_older = update.incarnation >= peer.incarnation;
  switch (update.state) {
    case State::kAlive:
      if (newer || (not_older && peer.state == State::kUnknown)) {
        SetState(update.name, peer, State::kAlive, update.incarnation);
        Disseminate(update.name);
      }
      return;
    case State::kSuspect:
      if (newer) peer.incarnation = update.incarnation;
      if (peer.state == State::kDead || peer.state == State::kLeft) {
        if (!newer) return;
      }
      if (not_older) Suspect(update.name, peer, now);
      return;
    case State::kDead:
      // Guards against the word of one side of a split, which takes the whole other side for dead,
      // when it heals: who lives gets the time to deny it, and whom we heard lately is not dead.
      if (!not_older || peer.state == State::kDead || peer.state == State::kLeft) return;
      if (newer) peer.incarnation = update.incarnation;
      if (peer.state != State::kSuspect) return Suspect(update.name, peer, now);
      peer.suspicion_ends = std::min(peer.suspicion_ends, peer.last_heard + timings_.suspicion);
      if (peer.suspicion_ends <= now) {
        SetState(update.name, peer, State::kDead, peer.incarnation);
        Disseminate(update.name);
      }
      return;
    case State::kLeft:
      if (not_older && peer.state != State::kDead && peer.state != State::kLeft) {
        SetState(update.name, peer, update.state, update.incarnation);
        Disseminate(update.name);
      }
      return;
    case State::kUnknown:
      return;
  }
}

// Our own death is denied with an incarnation above that of the update.
void FailureDetector::ApplyUpdateAboutSelf(const GossipUpdate& update) {
  if (ProcessIncarnationOf(update.incarnation) > ProcessIncarnationOf(incarnation_))
    folder_is_stale_ = true;
  const bool refutes = update.state != State::kAlive && update.incarnation >= incarnation_;
  if (!refutes && update.incarnation <= incarnation_) return;
  incarnation_ = update.incarnation + 1;
  ++counts_.denials;
  if (update.state == State::kSuspect)
    local_health_score_ = std::min(kMaxLocalHealthScore, local_health_score_ + 1);
  Disseminate(self_);
}

void FailureDetector::Suspect(const std::string& name, Peer& peer, Time now) {
  if (peer.state == State::kSuspect) return;
  SetState(name, peer, State::kSuspect, peer.incarnation);
  peer.suspicion_ends = now + ScaleByLocalHealth(timings_.suspicion);
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
  if (state == State::kDead || state == State::kLeft) {
    peer.missed_probes = 0;
    peer.link = Link::kTwoWay;
    Disseminate(name);
  }
  changes_.push_back({name, from, state, incarnation, std::nullopt});
}

void FailureDetector::UpdateLink(const std::string& name, Peer& peer) {
  Link link = Link::kTwoWay;
  if (peer.missed_probes >= kMissesBeforeLinkFault && peer.state == State::kAlive) {
    const Time heard_lately = timings_.probe * static_cast<Time::rep>(2 * peers_.size() + 4);
    const bool heard =
        last_tick_ && peer.last_heard + heard_lately > *last_tick_ && peer.last_heard > Time{};
    link = heard ? Link::kOneWay : Link::kIndirect;
  } else if (peer.missed_probes > 0) {
    return;  // too few to tell
  }
  if (std::exchange(peer.link, link) == link) return;
  changes_.push_back({name, peer.state, peer.state, peer.incarnation, link});
}

void FailureDetector::Disseminate(const std::string& name) {
  transmissions_left_[name] = kRetransmitFactor * std::bit_width(peers_.size() + 1);
}

void FailureDetector::Leave(Time now) {
  Tick(now);
  left_ = true;
  for (const std::string& name : ChooseAliveMembers(2 * kIndirectProxies, "")) {
    transmissions_left_[self_] = 1;
    SendPing(name, next_sequence_++);
  }
}

}  // namespace brassfront::peers
