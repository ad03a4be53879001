#include "rehearsal/fault_injecting_network.hpp"

#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>

namespace brassfront::rehearsal {

using asio::ip::udp;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxDatagram = 65536;
constexpr std::size_t kSocketBytes = 4 << 20;
// Publicly known key, used in rehearsals only: base64 of "rehearsal-of-a-fleet".
constexpr const char* kKey = "cmVoZWFyc2FsLW9mLWEtZmxlZXQ=";
constexpr const char* kSecret = "rehearsal-of-a-fleet";
constexpr Time kFalseFrameInterval = std::chrono::milliseconds(200);

std::string TextOf(const udp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

}  // namespace

FaultInjectingNetwork::FaultInjectingNetwork(RunContext& context, const std::string& prefix,
                                             OnLink on_link)
    : context_(context),
      count_(context.scenario.forwarders.count),
      on_link_(std::move(on_link)),
      max_out_total_(context.scenario.fleet.out_in_all),
      max_out_per_zone_(context.scenario.fleet.out_in_hall),
      links_(count_ * count_),
      random_(context.seed ^ 0x6C696E6B73) {
  for (std::size_t f = 0; f < count_; ++f) {
    // Let the system choose a free port. No other process uses this address, so it stays free.
    const udp::socket probe(context_.io,
                            {asio::ip::make_address(prefix + std::to_string(100 + f)), 0});
    forwarder_addresses_.push_back(probe.local_endpoint());
  }
  if (context_.scenario.fleet.malicious_peer) {
    std::vector<std::uint64_t> limited;
    for (const Partner& p : context_.scenario.partners) {
      if (p.limit) limited.push_back(p.destination);
    }
    malicious_peer_ =
        std::make_unique<MaliciousPeer>(context_.scenario.name, kSecret, std::move(limited));
    malicious_socket_ = std::make_unique<udp::socket>(
        context_.io, udp::endpoint(asio::ip::make_address(prefix + "99"), 0));
  }
  for (std::size_t from = 0; from < count_; ++from) {
    for (std::size_t to = 0; to < count_; ++to) {
      if (from == to) continue;
      auto& link = links_[from * count_ + to] = std::make_unique<Link>();
      link->from = from;
      link->to = to;
      link->socket = std::make_unique<udp::socket>(
          context_.io,
          udp::endpoint(asio::ip::make_address(prefix + std::to_string(50 + from)), 0));
      link->socket->set_option(udp::socket::receive_buffer_size(kSocketBytes));
      link->buffer.resize(kMaxDatagram);
      Read(*link);
    }
  }
}

std::string FaultInjectingNetwork::WriteRoster(std::size_t f, const std::string& folder) const {
  const Scenario& s = context_.scenario;
  // Write the key file only once, because running members may be reading it.
  const std::string key = folder + "/fleet.key";
  if (access(key.c_str(), R_OK) != 0) {
    std::ofstream(key) << kKey << "\n";
    chmod(key.c_str(), 0600);
  }
  std::string path = folder + "/n" + std::to_string(f) + ".fleet";
  std::ofstream out(path);
  out << "fleet: \"" << s.name << "\"\nkey: \"fleet.key\"\n"
      << "out: {all: " << max_out_total_ << ", hall: " << max_out_per_zone_ << "}\n"
      << "timings: {\n"
      << s.fleet.timings << "}\nmembers: [\n";
  for (std::size_t m = 0; m < count_; ++m) {
    // A removed member still finds itself in its own roster.
    if (left_.contains(m) && m != f) continue;
    const udp::endpoint address =
        m == f ? forwarder_addresses_[f] : links_[f * count_ + m]->socket->local_endpoint();
    out << "  {name: \"n" << m << "\", hall: \"" << s.fleet.zones[m % s.fleet.zones.size()]
        << "\", peer: \"" << TextOf(address) << "\"" << (m < s.fleet.voters ? ", voter: true" : "")
        << "},\n";
  }
  if (malicious_socket_) {
    out << "  {name: \"" << MaliciousPeer::kName << "\", hall: \"" << s.fleet.zones[0]
        << "\", peer: \"" << TextOf(malicious_socket_->local_endpoint()) << "\"},\n";
  }
  out << "]\n";
  WriteSharing(out);
  return path;
}

void FaultInjectingNetwork::WriteSharing(std::ostream& out) const {
  const Scenario& s = context_.scenario;
  const FleetSettings& f = s.fleet;
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

void FaultInjectingNetwork::ChangeRoster(const FaultAction& action) {
  if (action.places > 0) max_out_total_ = max_out_per_zone_ = action.places;
  if (!action.machine.empty()) left_.insert(NumberOfMachine(action.machine));
}

void FaultInjectingNetwork::ForEach(const FaultAction& action,
                                    const std::function<void(Link&)>& what) {
  for (const std::size_t a : action.from) {
    for (const std::size_t b : action.to) {
      if (a == b) continue;
      what(Of(a, b));
      if (action.both_ways) what(Of(b, a));
    }
  }
}

void FaultInjectingNetwork::Cut(Link& link, bool cut) {
  const bool was = link.cuts > 0;
  if (cut) {
    ++link.cuts;
  } else if (link.cuts > 0) {
    --link.cuts;
  }
  if (was != (link.cuts > 0)) on_link_(link.from, link.to, link.cuts > 0);
}

void FaultInjectingNetwork::Play(const FaultAction& action) {
  const Time ends = action.at + action.lasts;
  if (action.kind == FaultKind::kFlap) return Flap(action, true);
  if (action.kind == FaultKind::kCut) {
    ForEach(action, [this](Link& link) { Cut(link, true); });
    return context_.At(
        ends, [this, &action] { ForEach(action, [this](Link& link) { Cut(link, false); }); });
  }
  ForEach(action, [&action](Link& link) { link.actions.push_back(&action); });
  context_.At(ends, [this, &action] {
    ForEach(action, [&action](Link& link) { std::erase(link.actions, &action); });
  });
}

void FaultInjectingNetwork::Flap(const FaultAction& action, bool down) {
  const Time now = context_.Now(), ends = action.at + action.lasts;
  if (down && now >= ends) return;
  ForEach(action, [this, down](Link& link) { Cut(link, down); });
  const Time next = now + action.period / 2;
  context_.At(down ? std::min(next, ends) : next, [this, &action, down] { Flap(action, !down); });
}

void FaultInjectingNetwork::Read(Link& link) {
  link.socket->async_receive(asio::buffer(link.buffer),
                             [this, &link](error_code error, std::size_t n) {
                               if (error == asio::error::operation_aborted) return;
                               if (!error) Forward(link, n);
                               Read(link);
                             });
}

void FaultInjectingNetwork::Forward(Link& link, std::size_t bytes) {
  ++frames_;
  bytes_ += bytes;
  if (link.cuts > 0) return;
  double loss = 0, duplicate_share = 0, rate = 0;
  Time late{};
  for (const FaultAction* action : link.actions) {
    loss = 1 - (1 - loss) * (1 - action->loss);
    duplicate_share = std::max(duplicate_share, action->duplicate_share);
    late += action->delay;
    if (action->jitter > Time{}) {
      late += Time(static_cast<Time::rep>(Chance() * static_cast<double>(action->jitter.count())));
    }
    if (action->rate > 0) rate = rate > 0 ? std::min(rate, action->rate) : action->rate;
  }
  if (loss > 0 && Chance() < loss) return;
  if (rate > 0) {
    const Time now = context_.Now();
    link.free_at = std::max(link.free_at, now) + FromSeconds(static_cast<double>(bytes) / rate);
    late += link.free_at - now;
  }
  const int copies = duplicate_share > 0 && Chance() < duplicate_share ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (late == Time{}) {
      error_code ignored;
      link.socket->send_to(asio::buffer(link.buffer.data(), bytes), forwarder_addresses_[link.to],
                           0, ignored);
      continue;
    }
    context_.At(
        context_.Now() + late, [this, &link, frame = std::string(link.buffer.data(), bytes)] {
          error_code ignored;
          link.socket->send_to(asio::buffer(frame), forwarder_addresses_[link.to], 0, ignored);
        });
  }
}

void FaultInjectingNetwork::SendFalseReports(
    const FaultAction& action, const std::function<std::vector<std::string>()>& endpoints) {
  const Time now = context_.Now();
  if (now >= action.at + action.lasts) return;
  for (std::size_t f = 0; f < count_; ++f) {
    for (const std::string& frame :
         malicious_peer_->FalseFrames(action.lie, "n" + std::to_string(f), endpoints())) {
      error_code ignored;
      malicious_socket_->send_to(asio::buffer(frame), forwarder_addresses_[f], 0, ignored);
      ++false_frames_;
    }
  }
  context_.At(now + kFalseFrameInterval,
              [this, &action, endpoints] { SendFalseReports(action, endpoints); });
}

void FaultInjectingNetwork::Close() {
  for (const auto& link : links_) {
    error_code ignored;
    if (link) link->socket->close(ignored);
  }
}

}  // namespace brassfront::rehearsal
