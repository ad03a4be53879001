#include "peers/failure_detector.hpp"

#include <algorithm>
#include <bit>
#include <utility>

#include "peers/bytes.hpp"

namespace brassfront::peers {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMostWords = 8;     // in a frame
constexpr std::size_t kMostErrands = 64;  // probes for others at once
constexpr std::size_t kHelpers = 3;       // asked to probe for us
constexpr std::size_t kMostDoubt = 8;
constexpr std::size_t kMissedForLink = 3;  // direct probes in a row
constexpr std::uint64_t kAbsentEvery = 5;  // periods between probes of one that is not present
constexpr std::size_t kSpreadFactor = 3;   // times log2 of the fleet's size a word is told
constexpr Time kPause =
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
      incarnation_(IncarnationOf(process_incarnation)),
      random_(seed) {
  SetMembers(members);
}

void FailureDetector::SetMembers(const std::vector<std::string>& members) {
  const std::set<std::string> names(members.begin(), members.end());
  std::erase_if(peers_, [&](const auto& entry) { return !names.contains(entry.first); });
  std::erase_if(to_spread_, [&](const auto& entry) {
    return entry.first != self_ && !names.contains(entry.first);
  });
  std::erase_if(suspects_, [&](const std::string& name) { return !names.contains(name); });
  for (const std::string& name : names) {
    if (name != self_) peers_.try_emplace(name);
  }
  round_.clear();
  if (probe_ && !peers_.contains(probe_->target)) probe_.reset();
}

// ======== time ========

Time FailureDetector::Next() const {
  if (left_) return Time::max();
  Time next = next_probe_;
  if (probe_ && !probe_->answered) {
    next = std::min(next, probe_->asked ? probe_->ends : probe_->ask_others);
  }
  for (const std::string& name : suspects_) next = std::min(next, peers_.at(name).dead_at);
  return next;
}

void FailureDetector::Tick(Time now) {
  if (left_) return;
  // Guards against a process that was stopped, wakes up and takes all others for dead.
  if (last_tick_ && now - *last_tick_ > std::max(kPause, 2 * timings_.probe)) {
    const Time gap = now - *last_tick_;
    ++counts_.pauses;
    probe_.reset();
    next_probe_ = now;
    doubt_ = std::min(kMostDoubt, doubt_ + 2);
    for (const std::string& name : suspects_) peers_.at(name).dead_at += gap;
  }
  last_tick_ = now;
  std::erase_if(errands_, [&](const Errand& errand) { return errand.ends <= now; });
  if (probe_ && !probe_->answered && !probe_->asked && now >= probe_->ask_others) {
    probe_->asked = true;
    ++counts_.asked_others;
    for (const std::string& helper : Some(kHelpers, probe_->target)) {
      ++probe_->helpers;
      Writer body;
      body.U32(probe_->number).Name(probe_->target);
      Send(Kind::kPingReq, helper, std::move(body));
    }
  }
  if (probe_ && now >= probe_->ends) EndProbe(now);
  for (const std::string& name : std::vector(suspects_.begin(), suspects_.end())) {
    Peer& peer = peers_.at(name);
    if (now >= peer.dead_at) Set(name, peer, State::kDead, peer.incarnation);
  }
  if (now >= next_probe_) {
    if (probe_) EndProbe(now);
    StartProbe(now);
    next_probe_ = now + timings_.probe;
  }
}

void FailureDetector::StartProbe(Time now) {
  ++periods_;
  if (const auto target = NextTarget()) {
    probe_ = Outstanding{*target, next_number_++, now + Stretched(timings_.answer),
                         now + Stretched(timings_.probe)};
    ++counts_.probes;
    Ping(*target, probe_->number);
  }
  // A suspect gets more chances, and those that are away are asked now and then: a healed partition
  // must be noticed by somebody.
  if (!suspects_.empty()) {
    Ping(
        *std::next(suspects_.begin(), static_cast<std::ptrdiff_t>(random_.Below(suspects_.size()))),
        next_number_++);
  }
  if (probe_ && periods_ % kAbsentEvery != 0) return;
  std::vector<std::string> absent;
  for (const auto& [name, peer] : peers_) {
    if (!IsPresent(peer) && !(probe_ && name == probe_->target)) absent.push_back(name);
  }
  if (!absent.empty()) Ping(absent[random_.Below(absent.size())], next_number_++);
}

// Members in a random order, each once a round: the time to the next probe of one is bounded.
std::optional<std::string> FailureDetector::NextTarget() {
  for (int round = 0; round < 2; ++round) {
    while (!round_.empty()) {
      const std::string name = std::move(round_.back());
      round_.pop_back();
      const auto it = peers_.find(name);
      if (it != peers_.end() && (IsPresent(it->second) || it->second.state == State::kUnknown)) {
        return name;
      }
    }
    for (const auto& [name, peer] : peers_) round_.push_back(name);
    for (std::size_t i = round_.size(); i > 1; --i) {
      std::swap(round_[i - 1], round_[random_.Below(i)]);
    }
  }
  return std::nullopt;
}

std::vector<std::string> FailureDetector::Some(std::size_t most, const std::string& but) {
  std::vector<std::string> names;
  for (const auto& [name, peer] : peers_) {
    if (name != but && peer.state == State::kAlive) names.push_back(name);
  }
  for (std::size_t i = 0; i < names.size() && i < most; ++i) {
    std::swap(names[i], names[i + random_.Below(names.size() - i)]);
  }
  names.resize(std::min(most, names.size()));
  return names;
}

void FailureDetector::EndProbe(Time now) {
  const Outstanding ended = *std::exchange(probe_, std::nullopt);
  const auto it = peers_.find(ended.target);
  if (it == peers_.end()) return;
  Peer& peer = it->second;
  if (!ended.directly) {
    ++peer.missed;
    SetLink(ended.target, peer);
  }
  if (ended.answered) return;
  ++counts_.missed;
  if (ended.helpers_heard < std::max<std::size_t>(1, ended.helpers)) {
    doubt_ = std::min(kMostDoubt, doubt_ + 1);
  }
  if (peer.state == State::kAlive || peer.state == State::kUnknown) {
    Suspect(ended.target, peer, now);
  }
}

// ======== frames ========

void FailureDetector::Ping(const std::string& target, std::uint32_t number) {
  Writer body;
  body.U32(number);
  Send(Kind::kPing, target, std::move(body));
}

void FailureDetector::Send(Kind kind, const std::string& to, Writer body) {
  PutWords(body, to);
  out_.push_back({kind, self_, to, identity_, incarnation_, body.Take()});
}

// What the receiver should know of itself goes first: only it can deny its death.
void FailureDetector::PutWords(Writer& body, const std::string& to) {
  std::vector<std::string> names;
  if (const auto it = peers_.find(to); it != peers_.end() && it->second.incarnation > 0) {
    names.push_back(to);
  }
  std::vector<std::pair<std::size_t, const std::string*>> by_left;
  for (const auto& [name, left] : to_spread_) {
    if (name != to) by_left.emplace_back(left, &name);
  }
  const std::size_t most = std::min(by_left.size(), kMostWords - names.size());
  std::partial_sort(by_left.begin(), by_left.begin() + static_cast<std::ptrdiff_t>(most),
                    by_left.end(), [](const auto& a, const auto& b) {
                      return a.first != b.first ? a.first > b.first : *a.second < *b.second;
                    });
  by_left.resize(most);
  for (const auto& [left, name] : by_left) names.push_back(*name);
  for (const auto& [left, name] : by_left) {
    const auto it = to_spread_.find(*name);
    if (--it->second == 0) to_spread_.erase(it);
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

std::vector<FailureDetector::Word> FailureDetector::ReadWords(Reader& reader) {
  std::vector<Word> words(std::min<std::size_t>(reader.U8(), kMostWords));
  for (Word& word : words) {
    word.name = reader.Name();
    const std::uint8_t state = reader.U8();
    word.state = static_cast<State>(state);
    word.incarnation = reader.U64();
    if (state == 0 || state > static_cast<std::uint8_t>(State::kLeft)) word.name.clear();
  }
  return words;
}

void FailureDetector::Receive(const Frame& frame, Time now) {
  const auto it = peers_.find(frame.from);
  if (it == peers_.end() || left_) return;
  Hear(frame, now);
  if (frame.kind > Kind::kPingReq) return;
  Reader reader(frame.body);
  const std::uint32_t number = reader.U32();
  std::string about;
  if (frame.kind != Kind::kPing) about = reader.Name();
  const std::vector<Word> words = ReadWords(reader);
  if (!reader.done()) {
    ++counts_.bad;
    return;
  }
  for (const Word& word : words) Take(word, now);
  switch (frame.kind) {
    case Kind::kPing: {
      Writer body;
      body.U32(number).Name("");
      return Send(Kind::kAck, frame.from, std::move(body));
    }
    case Kind::kPingReq: {
      if (!peers_.contains(about) || errands_.size() >= kMostErrands) return;
      errands_.push_back({next_number_, frame.from, number, now + 10 * timings_.probe});
      Writer taken;  // the asker is heard, whatever becomes of it
      Send(Kind::kAck, frame.from, std::move(taken.U32(number).Name(self_)));
      return Ping(about, next_number_++);
    }
    default:
      answered_.insert(frame.from);
      if (about == frame.from) {
        if (probe_ && probe_->number == number) ++probe_->helpers_heard;
        return;
      }
      return Answered(about.empty() ? frame.from : about, number, about.empty());
  }
}

// `name` has answered probe `number`: ours, or one that we did for somebody else.
void FailureDetector::Answered(const std::string& name, std::uint32_t number, bool directly) {
  if (directly) {
    for (const Errand& errand : errands_) {
      if (errand.number != number) continue;
      Writer body;
      body.U32(errand.askers_number).Name(name);
      Send(Kind::kAck, errand.asker, std::move(body));
    }
  }
  const auto it = peers_.find(name);
  if (it == peers_.end()) return;
  Peer& peer = it->second;
  if (directly) {
    peer.missed = 0;
    SetLink(name, peer);
  }
  if (!probe_ || probe_->target != name || probe_->number != number) return;
  if (!std::exchange(probe_->answered, true) && doubt_ > 0) --doubt_;
  probe_->directly |= directly;
  // Others reach it: it lives, though it is not us that it hears.
  if (peer.state == State::kSuspect) Set(name, peer, State::kAlive, peer.incarnation);
}

// Whoever sends a frame lives. One that is held for dead has to hear of it and deny it itself, for
// others hold it for dead as well.
void FailureDetector::Hear(const Frame& frame, Time now) {
  Peer& peer = peers_.at(frame.from);
  peer.heard = now;
  if (frame.identity != peer.identity && frame.identity == peer.former) {
    ++peer.flips;
    ++counts_.twice;
  }
  if (frame.identity != peer.identity) {
    peer.former = std::exchange(peer.identity, frame.identity);
  }
  if (frame.incarnation < peer.incarnation) {
    ++counts_.stale;  // our answer tells it what we know
    return;
  }
  const bool newer = frame.incarnation > peer.incarnation || peer.state == State::kUnknown;
  if (newer) {
    Set(frame.from, peer, State::kAlive, frame.incarnation);
    Spread(frame.from);
  } else if (peer.state == State::kSuspect) {
    Set(frame.from, peer, State::kAlive, peer.incarnation);
  }
}

// ======== words ========

void FailureDetector::Take(const Word& word, Time now) {
  if (word.name == self_) return TakeAboutSelf(word);
  const auto it = peers_.find(word.name);
  if (it == peers_.end()) return;
  Peer& peer = it->second;
  const bool newer = word.incarnation > peer.incarnation;
  const bool as_new = word.incarnation >= peer.incarnation;
  switch (word.state) {
    case State::kAlive:
      if (newer || (as_new && peer.state == State::kUnknown)) {
        Set(word.name, peer, State::kAlive, word.incarnation);
        Spread(word.name);
      }
      return;
    case State::kSuspect:
      if (newer) peer.incarnation = word.incarnation;
      if (peer.state == State::kDead || peer.state == State::kLeft) {
        if (!newer) return;
      }
      if (as_new) Suspect(word.name, peer, now);
      return;
    case State::kDead:
      // Guards against the word of one side of a split, which takes the whole other side for dead,
      // when it heals: who lives gets the time to deny it, and whom we heard lately is not dead.
      if (!as_new || peer.state == State::kDead || peer.state == State::kLeft) return;
      if (newer) peer.incarnation = word.incarnation;
      if (peer.state != State::kSuspect) return Suspect(word.name, peer, now);
      peer.dead_at = std::min(peer.dead_at, peer.heard + timings_.suspicion);
      if (peer.dead_at <= now) {
        Set(word.name, peer, State::kDead, peer.incarnation);
        Spread(word.name);
      }
      return;
    case State::kLeft:
      if (as_new && peer.state != State::kDead && peer.state != State::kLeft) {
        Set(word.name, peer, word.state, word.incarnation);
        Spread(word.name);
      }
      return;
    case State::kUnknown:
      return;
  }
}

// Our own death is denied with an incarnation above that of the word.
void FailureDetector::TakeAboutSelf(const Word& word) {
  if (ProcessIncarnationOf(word.incarnation) > ProcessIncarnationOf(incarnation_))
    folder_is_old_ = true;
  const bool denies = word.state != State::kAlive && word.incarnation >= incarnation_;
  if (!denies && word.incarnation <= incarnation_) return;
  incarnation_ = word.incarnation + 1;
  ++counts_.denials;
  if (word.state == State::kSuspect) doubt_ = std::min(kMostDoubt, doubt_ + 1);
  Spread(self_);
}

void FailureDetector::Suspect(const std::string& name, Peer& peer, Time now) {
  if (peer.state == State::kSuspect) return;
  Set(name, peer, State::kSuspect, peer.incarnation);
  peer.dead_at = now + Stretched(timings_.suspicion);
  Spread(name);
}

void FailureDetector::Set(const std::string& name, Peer& peer, State state,
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
    peer.missed = 0;
    peer.link = Link::kWhole;
    Spread(name);
  }
  changes_.push_back({name, from, state, incarnation, std::nullopt});
}

void FailureDetector::SetLink(const std::string& name, Peer& peer) {
  Link link = Link::kWhole;
  if (peer.missed >= kMissedForLink && peer.state == State::kAlive) {
    const Time heard_lately = timings_.probe * static_cast<Time::rep>(2 * peers_.size() + 4);
    const bool heard = last_tick_ && peer.heard + heard_lately > *last_tick_ && peer.heard > Time{};
    link = heard ? Link::kOneWay : Link::kIndirect;
  } else if (peer.missed > 0) {
    return;  // too few to tell
  }
  if (std::exchange(peer.link, link) == link) return;
  changes_.push_back({name, peer.state, peer.state, peer.incarnation, link});
}

void FailureDetector::Spread(const std::string& name) {
  to_spread_[name] = kSpreadFactor * std::bit_width(peers_.size() + 1);
}

void FailureDetector::Leave(Time now) {
  Tick(now);
  left_ = true;
  for (const std::string& name : Some(2 * kHelpers, "")) {
    to_spread_[self_] = 1;
    Ping(name, next_number_++);
  }
}

}  // namespace brassfront::peers
