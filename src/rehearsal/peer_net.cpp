#include "rehearsal/peer_net.hpp"

#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>

namespace brassfront::rehearsal {

using asio::ip::udp;
using boost::system::error_code;

namespace {

constexpr std::size_t kMostDatagram = 65536;
constexpr std::size_t kSocketBytes = 4 << 20;
// Known to all, and of rehearsals only: "rehearsal-of-a-fleet".
constexpr const char* kKey = "cmVoZWFyc2FsLW9mLWEtZmxlZXQ=";
constexpr const char* kSecret = "rehearsal-of-a-fleet";
constexpr Time kLieEvery = std::chrono::milliseconds(200);

std::string TextOf(const udp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

}  // namespace

PeerNet::PeerNet(Stage& stage, const std::string& prefix, OnLink on_link)
    : stage_(stage),
      count_(stage.scenario.forwarders.count),
      on_link_(std::move(on_link)),
      out_in_all_(stage.scenario.fleet.out_in_all),
      out_in_hall_(stage.scenario.fleet.out_in_hall),
      links_(count_ * count_),
      random_(stage.seed ^ 0x6C696E6B73) {
  for (std::size_t f = 0; f < count_; ++f) {
    // The system's choice of a port; nobody else is on this address.
    const udp::socket probe(stage_.io,
                            {asio::ip::make_address(prefix + std::to_string(100 + f)), 0});
    homes_.push_back(probe.local_endpoint());
  }
  if (stage_.scenario.fleet.liar) {
    std::vector<std::uint64_t> limited;
    for (const Partner& p : stage_.scenario.partners) {
      if (p.limit) limited.push_back(p.destination);
    }
    liar_ = std::make_unique<WrongPeer>(stage_.scenario.name, kSecret, std::move(limited));
    liar_socket_ = std::make_unique<udp::socket>(
        stage_.io, udp::endpoint(asio::ip::make_address(prefix + "99"), 0));
  }
  for (std::size_t from = 0; from < count_; ++from) {
    for (std::size_t to = 0; to < count_; ++to) {
      if (from == to) continue;
      auto& link = links_[from * count_ + to] = std::make_unique<Link>();
      link->from = from;
      link->to = to;
      link->socket = std::make_unique<udp::socket>(
          stage_.io, udp::endpoint(asio::ip::make_address(prefix + std::to_string(50 + from)), 0));
      link->socket->set_option(udp::socket::receive_buffer_size(kSocketBytes));
      link->buffer.resize(kMostDatagram);
      Read(*link);
    }
  }
}

std::string PeerNet::WriteRoster(std::size_t f, const std::string& folder) const {
  const Scenario& s = stage_.scenario;
  // Once, for others read it meanwhile.
  const std::string key = folder + "/fleet.key";
  if (access(key.c_str(), R_OK) != 0) {
    std::ofstream(key) << kKey << "\n";
    chmod(key.c_str(), 0600);
  }
  std::string path = folder + "/n" + std::to_string(f) + ".fleet";
  std::ofstream out(path);
  out << "fleet: \"" << s.name << "\"\nkey: \"fleet.key\"\n"
      << "out: {all: " << out_in_all_ << ", hall: " << out_in_hall_ << "}\n"
      << "timings: {\n"
      << s.fleet.timings << "}\nmembers: [\n";
  for (std::size_t m = 0; m < count_; ++m) {
    if (left_.contains(m) && m != f) continue;  // whoever has left finds itself in the old one
    const udp::endpoint address =
        m == f ? homes_[f] : links_[f * count_ + m]->socket->local_endpoint();
    out << "  {name: \"n" << m << "\", hall: \"" << s.fleet.halls[m % s.fleet.halls.size()]
        << "\", peer: \"" << TextOf(address) << "\"" << (m < s.fleet.voters ? ", voter: true" : "")
        << "},\n";
  }
  if (liar_socket_) {
    out << "  {name: \"" << WrongPeer::kName << "\", hall: \"" << s.fleet.halls[0] << "\", peer: \""
        << TextOf(liar_socket_->local_endpoint()) << "\"},\n";
  }
  out << "]\n";
  WriteSharing(out);
  return path;
}

void PeerNet::WriteSharing(std::ostream& out) const {
  const Scenario& s = stage_.scenario;
  const FleetPart& f = s.fleet;
  if (!f.limits && !f.verdicts) return;
  const auto ms = [](Time time) { return std::to_string(time.count() / 1'000'000) + "ms"; };
  out << "sharing: {limits: " << (f.limits ? "true" : "false")
      << ", verdicts: " << (f.verdicts ? "true" : "false") << ", term: " << ms(f.term)
      << ", burst: " << ms(f.burst) << ", kept: " << ms(f.kept) << ", drift: " << f.drift
      << ", floor: " << f.floor << ", listed: [";
  for (const Partner& p : s.partners) {
    if (p.limit) {
      out << "{destination: " << p.destination << ", calls: " << p.limit->calls << "/s}, ";
    }
  }
  out << "]}\n";
}

void PeerNet::ChangeRoster(const Act& act) {
  if (act.places > 0) out_in_all_ = out_in_hall_ = act.places;
  if (!act.machine.empty()) left_.insert(NumberOfMachine(act.machine));
}

void PeerNet::ForEach(const Act& act, const std::function<void(Link&)>& what) {
  for (const std::size_t a : act.from) {
    for (const std::size_t b : act.to) {
      if (a == b) continue;
      what(Of(a, b));
      if (act.both_ways) what(Of(b, a));
    }
  }
}

void PeerNet::Cut(Link& link, bool cut) {
  const bool was = link.cuts > 0;
  if (cut) {
    ++link.cuts;
  } else if (link.cuts > 0) {
    --link.cuts;
  }
  if (was != (link.cuts > 0)) on_link_(link.from, link.to, link.cuts > 0);
}

void PeerNet::Play(const Act& act) {
  const Time ends = act.at + act.lasts;
  if (act.kind == ActKind::kFlap) return Flap(act, true);
  if (act.kind == ActKind::kCut) {
    ForEach(act, [this](Link& link) { Cut(link, true); });
    return stage_.At(ends,
                     [this, &act] { ForEach(act, [this](Link& link) { Cut(link, false); }); });
  }
  ForEach(act, [&act](Link& link) { link.acts.push_back(&act); });
  stage_.At(ends,
            [this, &act] { ForEach(act, [&act](Link& link) { std::erase(link.acts, &act); }); });
}

void PeerNet::Flap(const Act& act, bool down) {
  const Time now = stage_.Now(), ends = act.at + act.lasts;
  if (down && now >= ends) return;
  ForEach(act, [this, down](Link& link) { Cut(link, down); });
  const Time next = now + act.period / 2;
  stage_.At(down ? std::min(next, ends) : next, [this, &act, down] { Flap(act, !down); });
}

void PeerNet::Read(Link& link) {
  link.socket->async_receive(asio::buffer(link.buffer),
                             [this, &link](error_code error, std::size_t n) {
                               if (error == asio::error::operation_aborted) return;
                               if (!error) Carry(link, n);
                               Read(link);
                             });
}

void PeerNet::Carry(Link& link, std::size_t bytes) {
  ++frames_;
  bytes_ += bytes;
  if (link.cuts > 0) return;
  double loss = 0, twice = 0, rate = 0;
  Time late{};
  for (const Act* act : link.acts) {
    loss = 1 - (1 - loss) * (1 - act->loss);
    twice = std::max(twice, act->twice);
    late += act->delay;
    if (act->jitter > Time{}) {
      late += Time(static_cast<Time::rep>(Chance() * static_cast<double>(act->jitter.count())));
    }
    if (act->rate > 0) rate = rate > 0 ? std::min(rate, act->rate) : act->rate;
  }
  if (loss > 0 && Chance() < loss) return;
  if (rate > 0) {
    const Time now = stage_.Now();
    link.free_at = std::max(link.free_at, now) + FromSeconds(static_cast<double>(bytes) / rate);
    late += link.free_at - now;
  }
  const int copies = twice > 0 && Chance() < twice ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (late == Time{}) {
      error_code ignored;
      link.socket->send_to(asio::buffer(link.buffer.data(), bytes), homes_[link.to], 0, ignored);
      continue;
    }
    stage_.At(stage_.Now() + late, [this, &link, frame = std::string(link.buffer.data(), bytes)] {
      error_code ignored;
      link.socket->send_to(asio::buffer(frame), homes_[link.to], 0, ignored);
    });
  }
}

void PeerNet::Lie(const Act& act, const std::function<std::vector<std::string>()>& endpoints) {
  const Time now = stage_.Now();
  if (now >= act.at + act.lasts) return;
  for (std::size_t f = 0; f < count_; ++f) {
    for (const std::string& frame : liar_->Lies(act.lie, "n" + std::to_string(f), endpoints())) {
      error_code ignored;
      liar_socket_->send_to(asio::buffer(frame), homes_[f], 0, ignored);
      ++lies_;
    }
  }
  stage_.At(now + kLieEvery, [this, &act, endpoints] { Lie(act, endpoints); });
}

void PeerNet::Close() {
  for (const auto& link : links_) {
    error_code ignored;
    if (link) link->socket->close(ignored);
  }
}

}  // namespace brassfront::rehearsal
