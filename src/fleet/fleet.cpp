#include "fleet/fleet.hpp"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "observe/log.hpp"
#include "records/records.hpp"

namespace brassfront::fleet {
namespace {

using observe::Concern;
using observe::Level;
using peers::Time;
using std::chrono::milliseconds;

constexpr int kMostDatagrams = 256;     // read before the cores get their turn
constexpr std::size_t kMostTold = 512;  // senders of bad frames that are remembered
constexpr Time kTellEvery = std::chrono::minutes(1);
constexpr Time kLongestWait = milliseconds(250);

Time Now() { return std::chrono::steady_clock::now().time_since_epoch(); }

sockaddr_in AddressFrom(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1))));
  return address;
}

std::vector<std::string> NamesOf(const peers::Roster& roster) {
  std::vector<std::string> names;
  for (const peers::Member& member : roster.members) names.push_back(member.name);
  return names;
}

peers::Roster RosterWith(const std::string& path, const std::string& self) {
  peers::Roster roster = peers::LoadRoster(path);
  if (roster.Find(self) == nullptr) {
    throw std::runtime_error(path + " has no member " + self + ", which is this forwarder");
  }
  return roster;
}

}  // namespace

Fleet::Fleet(std::string roster_path, const std::string& self, const std::string& folder,
             std::uint64_t seed)
    : path_(std::move(roster_path)),
      roster_(RosterWith(path_, self)),
      self_name_(self),
      self_(folder),
      detector_(roster_.timings, self, NamesOf(roster_), self_.identity(), self_.life(),
                seed ^ self_.identity()),
      buffer_(peers::kMostFrame + 1) {}

Fleet::~Fleet() { Leave(); }

void Fleet::Begin() {
  const std::string& address = roster_.Find(self_name_)->address;
  socket_ = BindDatagrams(address);
  if (!socket_.is_open()) {
    throw std::runtime_error("cannot take datagrams at " + address + ": " + std::strerror(errno));
  }
  DoNotWait(socket_);
  wake_ = Socket(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
  thread_ = Thread("fleet", [this] { Work(); });
  if (!wake_.is_open() || !thread_.started()) throw std::runtime_error("no room for a thread");
  observe::Log(Concern::kFleet, Level::kInfo, "fleet member",
               {{"name", self_name_},
                {"fleet", roster_.fleet},
                {"members", roster_.members.size()},
                {"address", address},
                {"life", self_.life()}});
}

void Fleet::Reload() {
  if (inbox_.Put({Item::What::kReload})) eventfd_write(wake_.fd(), 1);
}

void Fleet::Leave() {
  if (!thread_.started()) return;
  if (inbox_.Put({Item::What::kLeave})) eventfd_write(wake_.fd(), 1);
  thread_.Join();
}

// ======== the thread ========

void Fleet::Work() {
  while (!leaving_) {
    const Time now = Now();
    const Time wait = std::clamp<Time>(detector_.Next() - now, Time{}, kLongestWait);
    pollfd ready[2] = {{socket_.fd(), POLLIN, 0}, {wake_.fd(), POLLIN, 0}};
    poll(ready, 2, static_cast<int>(std::chrono::ceil<milliseconds>(wait).count()));
    // First what is due: a process that was stopped must see that before what came meanwhile.
    detector_.Tick(Now());
    if (ready[0].revents != 0) ReadDatagrams(Now());
    if (ready[1].revents != 0) TakeItems();
    SendFrames();
    TellChanges();
  }
}

void Fleet::TakeItems() {
  eventfd_t count = 0;
  eventfd_read(wake_.fd(), &count);
  while (const auto item = inbox_.TakeUntil(std::chrono::steady_clock::time_point::min())) {
    switch (item->what) {
      case Item::What::kReload:
        TakeRoster();
        break;
      case Item::What::kLeave:
        detector_.Leave(Now());
        leaving_ = true;
        break;
    }
  }
}

void Fleet::ReadDatagrams(Time now) {
  for (int i = 0; i < kMostDatagrams; ++i) {
    const long n = socket_.ReceiveNow({buffer_.data(), buffer_.size()});
    if (n < 0) return;
    peers::Frame frame;
    const std::string_view bytes(buffer_.data(), static_cast<std::size_t>(n));
    const peers::Drop drop = peers::Decode(bytes, roster_.fleet, roster_.secret, self_name_, frame);
    if (drop != peers::Drop::kNone) {
      TellDropped(drop, frame.from, now);
      continue;
    }
    detector_.Receive(frame, now);
  }
}

// One line a sender and minute. The name may be a lie, so only so many are remembered.
void Fleet::TellDropped(peers::Drop drop, const std::string& from, Time now) {
  ++dropped_[drop];
  const std::string who = roster_.Find(from) == nullptr ? "unknown" : from;
  if (told_.size() >= kMostTold) told_.clear();
  const auto [it, first] = told_.try_emplace(who, now);
  if (!first && now - it->second < kTellEvery) return;
  it->second = now;
  observe::Log(Concern::kFleet, Level::kWarning, "frame dropped",
               {{"from", who}, {"reason", peers::NameOf(drop)}, {"dropped", dropped_[drop]}});
}

void Fleet::SendFrames() {
  for (const peers::Frame& frame : detector_.TakeFrames()) {
    const peers::Member* to = roster_.Find(frame.to);
    if (to == nullptr) continue;
    const std::string bytes = peers::Encode(frame, roster_.fleet, roster_.secret);
    if (bytes.size() > peers::kMostFrame) continue;
    const sockaddr_in address = AddressFrom(to->address);
    // What does not go out now is as good as lost, which every core bears.
    sendto(socket_.fd(), bytes.data(), bytes.size(), MSG_DONTWAIT,
           reinterpret_cast<const sockaddr*>(&address), sizeof address);
  }
}

void Fleet::TellChanges() {
  for (const auto& change : detector_.TakeChanges()) {
    if (change.link) {
      observe::Log(Concern::kFleet, Level::kWarning, "peer link",
                   {{"name", change.name}, {"link", peers::NameOf(*change.link)}});
      continue;
    }
    observe::Log(Concern::kFleet, Level::kInfo, "peer",
                 {{"name", change.name},
                  {"state", peers::NameOf(change.to)},
                  {"was", peers::NameOf(change.from)},
                  {"life", peers::LifeOf(change.incarnation)}});
  }
}

void Fleet::TakeRoster() {
  try {
    peers::Roster next = RosterWith(path_, self_name_);
    const std::string fault = peers::ChangeFault(roster_, next);
    if (!fault.empty()) throw std::runtime_error(fault);
    if (next.Find(self_name_)->address != roster_.Find(self_name_)->address) {
      throw std::runtime_error("this forwarder's own address changes; that takes a restart");
    }
    roster_ = std::move(next);
    detector_.SetMembers(NamesOf(roster_));
    observe::Log(Concern::kFleet, Level::kInfo, "roster read again",
                 {{"members", roster_.members.size()}});
  } catch (const std::exception& error) {
    observe::Log(Concern::kFleet, Level::kError, "roster not taken up, the old one holds",
                 {{"fault", error.what()}});
  }
}

}  // namespace brassfront::fleet
