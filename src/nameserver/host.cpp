#include "nameserver/host.hpp"

#include <sys/stat.h>

#include <algorithm>

#include "dns/serial.hpp"
#include "observe/log.hpp"
#include "spool/file.hpp"
#include "zones/zone_source.hpp"

namespace brassfront::nameserver {
namespace {

using observe::Concern;
using observe::Level;
using std::chrono::steady_clock;

// How often the zone files are checked. A changed file is read once it is the same at two
// consecutive checks, so that a file that an editor is still writing is not read.
constexpr std::chrono::milliseconds kFilePollInterval{200};

Faults FaultsAt(const std::vector<ScheduledFault>& schedule, double seconds) {
  Faults all;
  for (const ScheduledFault& scheduled : schedule) {
    if (seconds < scheduled.at || seconds >= scheduled.at + scheduled.length) continue;
    const Faults& one = scheduled.faults;
    all.quiet = all.quiet || one.quiet;
    all.delay = std::max(all.delay, one.delay);
    all.refuse = all.refuse || one.refuse;
    all.truncate = all.truncate || one.truncate;
    all.half_transfers = all.half_transfers || one.half_transfers;
    all.garbage = all.garbage || one.garbage;
    all.notices = all.notices && one.notices;
    if (one.claimed_serial) all.claimed_serial = one.claimed_serial;
  }
  return all;
}

// The modification time of this file records when the primary last confirmed the copy in the
// folder.
void RecordConfirmation(const std::string& folder) {
  if (!folder.empty()) File::OpenEmpty(folder + "/confirmed");
}

}  // namespace

Host::Host(HostSettings settings, ZoneWatcher watcher)
    : settings_(std::move(settings)), watcher_(std::move(watcher)) {
  responder_.SetKeys(settings_.keys, settings_.grants);
  hosted_.resize(settings_.zones.size());
  for (std::size_t n = 0; n < hosted_.size(); ++n) {
    hosted_[n].settings = settings_.zones[n];
    Open(hosted_[n]);
  }
  server_ = std::make_unique<Server>(settings_.server, responder_, zones_mutex_);
  server_->SetFaults(FaultsAt(settings_.faults, 0));
  server_->OnUpdates([this](const dns::Zone& zone, const dns::Change& change) {
    if (watcher_.changed) watcher_.changed(zone, &change);
  });
  server_->OnNotices([this](const dns::Name& zone, std::optional<std::uint32_t> serial) {
    for (HostedZone& hosted : hosted_) {
      if (hosted.secondary && hosted.settings.name == zone) hosted.secondary->OnNotify(serial);
    }
  });
  const std::lock_guard lock(zones_mutex_);
  for (HostedZone& hosted : hosted_) {
    if (!hosted.secondary_copy) continue;
    RequestOptions request;
    request.server = hosted.settings.primary;
    request.key = hosted.settings.key;
    ZoneWatcher with_notices = watcher_;
    const std::string& folder = hosted.settings.folder;
    with_notices.changed = [this, &folder](const dns::Zone& zone, const dns::Change* change) {
      RecordConfirmation(folder);
      if (watcher_.changed) watcher_.changed(zone, change);
      server_->Announce(zone.origin());
    };
    with_notices.confirmed = [this, &folder](const dns::Zone& zone) {
      RecordConfirmation(folder);
      if (watcher_.confirmed) watcher_.confirmed(zone);
    };
    hosted.secondary =
        std::make_unique<SecondaryZone>(*hosted.secondary_copy, zones_mutex_, std::move(request),
                                        hosted.copy_age, std::move(with_notices));
  }
  thread_ = Thread::Require("dns-files", [this] { Run(); });
}

Host::~Host() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  end_.notify_all();
  thread_.Join();
  // NotificationClient end before those who take them.
  server_->OnNotices(nullptr);
  for (HostedZone& hosted : hosted_) hosted.secondary.reset();
  server_.reset();
}

void Host::Open(HostedZone& hosted) {
  const ZoneSettings& zone = hosted.settings;
  if (!zone.primary.empty()) {
    hosted.secondary_copy = std::make_unique<SecondaryZoneCopy>(zone.name, zone.folder);
    hosted.manager = hosted.secondary_copy.get();
    struct stat state {};
    if (!zone.folder.empty() && stat((zone.folder + "/confirmed").c_str(), &state) == 0) {
      hosted.copy_age = std::max<double>(0, static_cast<double>(time(nullptr) - state.st_mtime));
    }
  } else if (!zone.folder.empty()) {
    hosted.stored =
        std::make_unique<StoredZone>(zone.folder, zone.name, zones::ZoneStore::Options{});
    hosted.manager = hosted.stored.get();
    if (hosted.stored->store().truncated_bytes() > 0) {
      observe::Log(
          Concern::kZones, Level::kWarning, "zone journal ended in half an entry",
          {{"zone", zone.name.ToText()}, {"bytes", hosted.stored->store().truncated_bytes()}});
    }
  } else {
    hosted.from_file = std::make_unique<FileZone>(dns::Zone(zone.name));
    hosted.manager = hosted.from_file.get();
  }
  responder_.AddZone(hosted.manager);
  if (!zone.file.empty()) {
    hosted.loaded_stamp = hosted.seen_stamp = zones::StampOf(zone.file);
    LoadFile(hosted);
  }
  if (hosted.manager->zone().has_soa() && watcher_.loaded) watcher_.loaded(hosted.manager->zone());
}

std::string Host::ApplyFileZone(HostedZone& hosted, const dns::Zone& zone) {
  const dns::Zone& held = hosted.manager->zone();
  if (held.has_soa()) {
    const dns::Change change = dns::Difference(held, zone);
    if (zone.serial() == held.serial()) {
      if (change.is_soa_alone()) return "";
      return "its records changed, but its serial is still " + std::to_string(zone.serial());
    }
    if (!dns::IsNewer(zone.serial(), held.serial())) {
      return "its serial " + std::to_string(zone.serial()) + " is not newer than " +
             std::to_string(held.serial()) +
             (hosted.stored ? ", which updates have led to" : ", which was read before");
    }
    std::string why;
    if (!hosted.manager->Commit(change, nullptr, why)) return why;
    if (server_) {
      if (watcher_.changed) watcher_.changed(held, &change);
      server_->Announce(zone.origin());
    }
    return "";
  }
  if (hosted.from_file) {
    hosted.from_file->Start(zone);
  } else if (!hosted.stored->store().Replace(zone)) {
    return hosted.stored->store().why();
  }
  if (server_ && watcher_.changed) watcher_.changed(held, nullptr);
  return "";
}

void Host::LoadFile(HostedZone& hosted) {
  const std::string& file = hosted.settings.file;
  std::string why;
  std::optional<dns::Zone> zone;
  try {
    zone.emplace(zones::LoadZone(file, hosted.settings.name));
  } catch (const dns::InvalidZone& bad) {
    why = bad.what();
  }
  const std::lock_guard lock(zones_mutex_);
  if (zone) why = ApplyFileZone(hosted, *zone);
  const dns::Zone& held = hosted.manager->zone();
  hosted.good = why.empty();
  if (hosted.good) {
    observe::Log(Concern::kZones, Level::kInfo, "zone file read",
                 {{"file", file}, {"serial", held.serial()}, {"records", held.records()}});
    return;
  }
  observe::LogRateLimited(Concern::kZones, Level::kError,
                          "zone file not taken up, the old zone holds",
                          {{"file", file}, {"fault", why}});
  if (watcher_.failed) watcher_.failed(held, why);
}

void Host::CheckFiles() {
  for (HostedZone& hosted : hosted_) {
    if (hosted.settings.file.empty()) continue;
    const auto now = zones::StampOf(hosted.settings.file);
    if (std::exchange(hosted.seen_stamp, now) != now) continue;  // it is still being written
    if (hosted.loaded_stamp != now) {
      hosted.loaded_stamp = now;
      LoadFile(hosted);
    } else if (now && hosted.good && watcher_.confirmed) {
      // An existing file that is unchanged confirms the zone.
      const std::lock_guard lock(zones_mutex_);
      watcher_.confirmed(hosted.manager->zone());
    }
  }
}

void Host::Run() {
  const auto start = steady_clock::now();
  auto next = start + kFilePollInterval;
  std::unique_lock lock(mutex_);
  while (!end_.wait_until(lock, next, [this] { return stopping_; })) {
    next = std::max(next + kFilePollInterval, steady_clock::now());
    lock.unlock();
    if (!settings_.faults.empty()) {
      const std::chrono::duration<double> since = steady_clock::now() - start;
      server_->SetFaults(FaultsAt(settings_.faults, since.count()));
    }
    CheckFiles();
    lock.lock();
  }
}

}  // namespace brassfront::nameserver
