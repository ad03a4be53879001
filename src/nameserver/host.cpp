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

// Files are looked at this often. One that changed is read when it was the same at two looks:
// guards against half of what an editor is still writing.
constexpr std::chrono::milliseconds kLook{200};

Faults FaultsAt(const std::vector<FaultAct>& acts, double seconds) {
  Faults all;
  for (const FaultAct& act : acts) {
    if (seconds < act.at || seconds >= act.at + act.length) continue;
    const Faults& one = act.faults;
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

// The file's time says when the copy in the folder was last known to be the primary's.
void NoteConfirmed(const std::string& folder) {
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
    for (Hosted& hosted : hosted_) {
      if (hosted.following && hosted.settings.name == zone) hosted.following->Notified(serial);
    }
  });
  const std::lock_guard lock(zones_mutex_);
  for (Hosted& hosted : hosted_) {
    if (!hosted.followed) continue;
    RequestOptions ask;
    ask.server = hosted.settings.primary;
    ask.key = hosted.settings.key;
    ZoneWatcher with_notices = watcher_;
    const std::string& folder = hosted.settings.folder;
    with_notices.changed = [this, &folder](const dns::Zone& zone, const dns::Change* change) {
      NoteConfirmed(folder);
      if (watcher_.changed) watcher_.changed(zone, change);
      server_->Announce(zone.origin());
    };
    with_notices.confirmed = [this, &folder](const dns::Zone& zone) {
      NoteConfirmed(folder);
      if (watcher_.confirmed) watcher_.confirmed(zone);
    };
    hosted.following = std::make_unique<SecondaryZone>(
        *hosted.followed, zones_mutex_, std::move(ask), hosted.kept_age, std::move(with_notices));
  }
  thread_ = Thread::Require("dns-files", [this] { Work(); });
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
  for (Hosted& hosted : hosted_) hosted.following.reset();
  server_.reset();
}

void Host::Open(Hosted& hosted) {
  const ZoneSettings& zone = hosted.settings;
  if (!zone.primary.empty()) {
    hosted.followed = std::make_unique<FollowedZone>(zone.name, zone.folder);
    hosted.manager = hosted.followed.get();
    struct stat state {};
    if (!zone.folder.empty() && stat((zone.folder + "/confirmed").c_str(), &state) == 0) {
      hosted.kept_age = std::max<double>(0, static_cast<double>(time(nullptr) - state.st_mtime));
    }
  } else if (!zone.folder.empty()) {
    hosted.stored =
        std::make_unique<StoredZone>(zone.folder, zone.name, zones::ZoneStore::Options{});
    hosted.manager = hosted.stored.get();
    if (hosted.stored->store().cut_bytes() > 0) {
      observe::Log(Concern::kZones, Level::kWarning, "zone journal ended in half an entry",
                   {{"zone", zone.name.ToText()}, {"bytes", hosted.stored->store().cut_bytes()}});
    }
  } else {
    hosted.from_file = std::make_unique<FileZone>(dns::Zone(zone.name));
    hosted.manager = hosted.from_file.get();
  }
  responder_.AddZone(hosted.manager);
  if (!zone.file.empty()) {
    hosted.read = hosted.seen = zones::StampOf(zone.file);
    TakeFile(hosted);
  }
  if (hosted.manager->zone().has_soa() && watcher_.loaded) watcher_.loaded(hosted.manager->zone());
}

std::string Host::TakeZone(Hosted& hosted, const dns::Zone& zone) {
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

void Host::TakeFile(Hosted& hosted) {
  const std::string& file = hosted.settings.file;
  std::string why;
  std::optional<dns::Zone> zone;
  try {
    zone.emplace(zones::LoadZone(file, hosted.settings.name));
  } catch (const dns::InvalidZone& bad) {
    why = bad.what();
  }
  const std::lock_guard lock(zones_mutex_);
  if (zone) why = TakeZone(hosted, *zone);
  const dns::Zone& held = hosted.manager->zone();
  hosted.good = why.empty();
  if (hosted.good) {
    observe::Log(Concern::kZones, Level::kInfo, "zone file read",
                 {{"file", file}, {"serial", held.serial()}, {"records", held.records()}});
    return;
  }
  observe::LogSeldom(Concern::kZones, Level::kError, "zone file not taken up, the old zone holds",
                     {{"file", file}, {"fault", why}});
  if (watcher_.failed) watcher_.failed(held, why);
}

void Host::LookAtFiles() {
  for (Hosted& hosted : hosted_) {
    if (hosted.settings.file.empty()) continue;
    const auto now = zones::StampOf(hosted.settings.file);
    if (std::exchange(hosted.seen, now) != now) continue;  // it is still being written
    if (hosted.read != now) {
      hosted.read = now;
      TakeFile(hosted);
    } else if (now && hosted.good && watcher_.confirmed) {
      // A file that is there and the same says again what it said.
      const std::lock_guard lock(zones_mutex_);
      watcher_.confirmed(hosted.manager->zone());
    }
  }
}

void Host::Work() {
  const auto start = steady_clock::now();
  auto next = start + kLook;
  std::unique_lock lock(mutex_);
  while (!end_.wait_until(lock, next, [this] { return stopping_; })) {
    next = std::max(next + kLook, steady_clock::now());
    lock.unlock();
    if (!settings_.faults.empty()) {
      const std::chrono::duration<double> since = steady_clock::now() - start;
      server_->SetFaults(FaultsAt(settings_.faults, since.count()));
    }
    LookAtFiles();
    lock.lock();
  }
}

}  // namespace brassfront::nameserver
