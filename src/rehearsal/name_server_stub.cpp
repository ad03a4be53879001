#include "rehearsal/name_server_stub.hpp"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>

#include "dns/zone_file.hpp"
#include "nameserver/client.hpp"

namespace brassfront::rehearsal {
namespace {

using dns::Name;
using dns::Record;
namespace klass = dns::klass;
namespace type = dns::type;

// Fixed port; no conflict arises, because the addresses belong to this rehearsal only.
constexpr int kZonePort = 5300;
constexpr const char* kSecret = "cmVoZWFyc2FsLWtleS1vZi10aGlydHktdHdvLWJ5dGU=";
constexpr std::uint32_t kTtl = 5;
constexpr std::chrono::milliseconds kBetweenTries{100};  // delay between attempts of an update

std::string Text(const std::string& text) { return static_cast<char>(text.size()) + text; }

}  // namespace

NameServerStub::NameServerStub(const RunContext& context, EndpointStub& endpoints,
                               std::string prefix, std::string out, OnConfirmed on_confirmed)
    : context_(context),
      endpoints_(endpoints),
      prefix_(std::move(prefix)),
      out_(std::move(out)),
      on_confirmed_(std::move(on_confirmed)) {
  key_ = {Name::FromLiteral("rehearsal-key."), dns::Algorithm::kHmacSha256,
          *dns::FromBase64(kSecret)};
  nameserver::HostSettings settings;
  settings.server.address = prefix_ + "250:" + std::to_string(kZonePort);
  settings.keys.emplace(key_.name.Key(), key_);
  settings.grants = {{key_.name, Name(), {}, true, true}};
  const std::size_t forwarders = context_.scenario.forwarders.count;
  for (std::size_t f = 0; f < forwarders; ++f) {
    settings.server.notify.push_back(prefix_ + std::to_string(100 + f) + ":" +
                                     std::to_string(kZonePort));
    Write(f);
    // Remove the updates that an earlier rehearsal left in the folder.
    const std::string folder = out_ + "/zone-f" + std::to_string(f);
    std::filesystem::remove_all(folder);
    settings.zones.push_back({ZoneOf(f), folder + ".zone", folder, "", {}});
  }
  host_ = std::make_unique<nameserver::Host>(std::move(settings), nameserver::ZoneWatcher{});
  thread_ = std::thread([this] { Work(); });
}

NameServerStub::~NameServerStub() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  jobs_changed_.notify_all();
  thread_.join();
}

Name NameServerStub::ZoneOf(std::size_t forwarder) const {
  return Name::FromLiteral("f" + std::to_string(forwarder) + ".rehearsal.");
}

std::vector<Record> NameServerStub::RecordsOf(std::size_t forwarder, std::size_t endpoint) const {
  const Endpoint& e = endpoints_.at(endpoint);
  const Partner& partner = context_.scenario.partners[e.partner];
  const Name zone = ZoneOf(forwarder);
  const Name service =
      Name::FromLiteral("_plan._tcp.p" + std::to_string(e.partner) + "." + zone.ToText());
  const Name host = Name::FromLiteral("e" + std::to_string(endpoint) + "." + zone.ToText());
  const auto& address = e.addresses[forwarder];
  const double weight = partner.limit ? partner.limit->calls : partner.capacity;
  std::string srv;
  dns::Put16(srv, 0);
  dns::Put16(srv, static_cast<std::uint32_t>(std::clamp(std::round(weight), 1.0, 65535.0)));
  dns::Put16(srv, address.port());
  srv += host.wire();
  const auto bytes = address.address().to_v4().to_bytes();
  return {{service, type::kSrv, klass::kIn, kTtl, srv},
          {service, type::kTxt, klass::kIn, kTtl,
           Text("destination=" + std::to_string(partner.destination)) +
               Text("kind=" + partner.kind) + Text("zone=a")},
          {host, type::kA, klass::kIn, kTtl, std::string(bytes.begin(), bytes.end())}};
}

void NameServerStub::Write(std::size_t forwarder) const {
  dns::Zone zone(ZoneOf(forwarder));
  const Name ns = Name::FromLiteral("ns." + zone.origin().ToText());
  std::string soa = ns.wire() + ns.wire();
  for (const unsigned value : {1u, 1u, 1u, 120u, 1u}) dns::Put32(soa, value);
  zone.Add({zone.origin(), type::kSoa, klass::kIn, kTtl, soa});
  zone.Add({zone.origin(), type::kNs, klass::kIn, kTtl, ns.wire()});
  for (std::size_t e = 0; e < endpoints_.count(); ++e) {
    for (const Record& record : RecordsOf(forwarder, e)) zone.Add(record);
  }
  const std::string name = "f" + std::to_string(forwarder);
  std::ofstream file(out_ + "/zone-" + name + ".zone");
  dns::WriteZone(zone, [&file](std::string_view line) { file << line; });
  std::filesystem::remove_all(out_ + "/copy-" + name);
  std::ofstream(SourcesFile(forwarder))
      << "nameserver: {\n  listen: \"" << prefix_ << 100 + forwarder << ":" << kZonePort
      << "\"\n  keys: [{name: \"rehearsal-key.\", secret: \"" << kSecret
      << "\"}]\n  zones: [{name: \"" << zone.origin().ToText() << "\", folder: \"copy-" << name
      << "\", primary: \"" << prefix_ << "250:" << kZonePort
      << "\", key: \"rehearsal-key.\"}]\n}\nlistings: [{zone: \"" << zone.origin().ToText()
      << "\"}]\n";
}

std::string NameServerStub::SourcesFile(std::size_t forwarder) const {
  return out_ + "/sources-f" + std::to_string(forwarder) + ".records";
}

void NameServerStub::QueueUpdate(std::size_t endpoint, DiscoveryStub::Phase phase) {
  for (std::size_t f = 0; f < context_.scenario.forwarders.count; ++f) {
    auto records = RecordsOf(f, endpoint);
    const Name host = records[2].name;
    Job job;
    job.forwarder = f;
    job.endpoint = endpoint;
    job.phase = phase;
    job.update.opcode = dns::Opcode::kUpdate;
    job.update.question = {{ZoneOf(f), type::kSoa, klass::kIn}};
    switch (phase) {
      case DiscoveryStub::Phase::kReady:
        job.update.authority = std::move(records);
        break;
      case DiscoveryStub::Phase::kTerminating:
        job.update.authority = {{host, type::kTxt, klass::kIn, kTtl, Text("phase=drain")}};
        break;
      case DiscoveryStub::Phase::kGone:
        records[0].klass = klass::kNone;
        records[0].ttl = 0;
        job.update.authority = {records[0], {host, type::kAny, klass::kAny, 0, ""}};
    }
    const std::lock_guard lock(mutex_);
    jobs_.push_back(std::move(job));
  }
  jobs_changed_.notify_all();
}

void NameServerStub::Work() {
  nameserver::RequestOptions ask;
  ask.server = host_->address();
  ask.key = key_;
  std::unique_lock lock(mutex_);
  while (true) {
    jobs_changed_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
    if (stopping_) return;
    const Job job = std::move(jobs_.front());
    jobs_.pop_front();
    // An unconfirmed update is signed and sent again; applying it twice has the same result.
    for (bool done = false; !done && !stopping_;) {
      lock.unlock();
      const Time since = context_.Now();
      const auto asked = nameserver::SendRequest(ask, job.update);
      done = asked.answer && asked.answer->rcode == dns::Rcode::kNoError;
      if (done) on_confirmed_(job.forwarder, job.endpoint, job.phase, since);
      if (!done) std::this_thread::sleep_for(kBetweenTries);
      lock.lock();
    }
  }
}

}  // namespace brassfront::rehearsal
