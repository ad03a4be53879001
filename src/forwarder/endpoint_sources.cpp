#include "forwarder/endpoint_sources.hpp"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <utility>

#include "nameserver/client.hpp"
#include "observe/log.hpp"
#include "records/syntax.hpp"

namespace brassfront {
namespace {

using observe::Concern;
using observe::Level;

bool IsOneOf(const std::string& name, const std::vector<std::string>& names) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// Bounds of one wait of the timer: the minimum avoids a busy loop on a time that has just passed,
// the maximum keeps the wait finite.
constexpr double kMinTimerSeconds = 0.001;
constexpr double kMaxTimerSeconds = 3600;

constexpr std::string_view kSchema = R"(
#Listing: {
  zone:     string & !=""                     // one of the name server's zones
  rank:     int & >=0 & <=100 | *1            // where sources disagree, the lower rank counts
  owns:     bool | *true                      // the only source of the destinations that it lists
  expiry:   duration & >=0s | *0s             // of a zone from a file; 0s: it never expires
  kind:     string | *""                      // default for services without a kind
  locality: string | *""
}

#Damping: {
  on:        bool | *true
  half_life: duration & >=1s & <=1h | *30s
  suppress:  number & >=1 & <=100 | *2.5      // number of removals, decaying with half_life
  reuse:     number & >0 & <=100 | *1
  longest:   duration & >=0s & <=1h | *60s    // maximum delay before an endpoint is listed again
}

#Sources: {
  nameserver:    #Nameserver
  listings:      [#Listing, ...#Listing]
  platform_rank: int & >=0 & <=100 | *10
  damping:       #Damping
}
)";

// Reads a listing and adds its errors to `faults`.
SourceSettings::Listing ReadListing(const records::Record& record, const SourceSettings& settings,
                                    const Config& config, std::vector<records::Fault>& faults) {
  SourceSettings::Listing listing;
  std::string error;
  const auto name = dns::Name::FromText(record.At("zone").Text(), dns::Name(), error);
  if (name) listing.zone = *name;
  const auto& zones = settings.nameserver.zones;
  if (std::none_of(zones.begin(), zones.end(),
                   [&](const auto& zone) { return name && zone.name == *name; })) {
    faults.push_back(record.At("zone").Complain("the name server has no zone of this name"));
  }
  if (std::any_of(settings.listings.begin(), settings.listings.end(),
                  [&](const auto& other) { return other.zone == listing.zone; })) {
    faults.push_back(record.At("zone").Complain("a listing of this zone was given before"));
  }
  listing.rank = static_cast<int>(record.At("rank").Int());
  listing.owns = record.At("owns").Bool();
  listing.expiry = nameserver::SecondsIn(record.At("expiry"));
  listing.defaults = {record.At("kind").Text(), record.At("locality").Text()};
  if (!listing.defaults.kind.empty() && !IsOneOf(listing.defaults.kind, config.kind_names)) {
    faults.push_back(record.At("kind").Complain("no kind of the configuration"));
  }
  if (!listing.defaults.zone.empty() && !IsOneOf(listing.defaults.zone, config.zone_names)) {
    faults.push_back(record.At("locality").Complain("no zone of the configuration"));
  }
  return listing;
}

}  // namespace

std::string SourcesSchema() {
  return std::string(nameserver::NameserverSchema()) + std::string(kSchema);
}

SourceSettings LoadSources(const std::string& path, const Config& config) {
  const std::string text = records::ReadRecordFile(path);
  const std::string schema = SourcesSchema();
  const auto root = records::Load({text, path}, {schema, "sources schema"}, "#Sources");
  SourceSettings settings;
  settings.nameserver = nameserver::ReadHostSettings(
      root.At("nameserver"), std::filesystem::path(path).parent_path().string());
  settings.platform_rank = static_cast<int>(root.At("platform_rank").Int());
  const auto& damping = root.At("damping");
  settings.damping.on = damping.At("on").Bool();
  settings.damping.half_life = nameserver::SecondsIn(damping.At("half_life"));
  settings.damping.suppress = damping.At("suppress").Double();
  settings.damping.reuse = damping.At("reuse").Double();
  settings.damping.longest = nameserver::SecondsIn(damping.At("longest"));
  std::vector<records::Fault> faults;
  if (settings.damping.reuse > settings.damping.suppress) {
    faults.push_back(damping.At("reuse").Complain("reuse must not be above suppress"));
  }
  for (const auto& record : root.At("listings").Items()) {
    settings.listings.push_back(ReadListing(record, settings, config, faults));
  }
  if (!faults.empty()) throw records::BadRecords(std::move(faults));
  return settings;
}

EndpointSources::EndpointSources(SourceSettings settings, const Config& config)
    : settings_(std::move(settings)),
      kinds_(config.kind_names),
      zones_(config.zone_names),
      merged_(settings_.damping, config.known_endpoints.revision) {
  platform_id_ = merged_.AddSource({"platform", settings_.platform_rank, false, 0});
  for (const auto& listing : settings_.listings) {
    ZoneSource& source = zone_sources_[listing.zone.Key()];
    source.settings = listing;
    source.id =
        merged_.AddSource({listing.zone.ToText(), listing.rank, listing.owns, listing.expiry});
    source.map = std::make_unique<membership::ZoneMap>(listing.defaults);
  }
  merged_.TakeList(platform_id_, config.known_endpoints, nameserver::SteadySeconds());
}

EndpointSources::~EndpointSources() { Stop(); }

nameserver::ZoneWatcher EndpointSources::MakeWatcher() {
  nameserver::ZoneWatcher watcher;
  watcher.loaded = [this](const dns::Zone& zone) {
    const std::lock_guard lock(mutex_);
    ZoneSource* source = FindSource(zone);
    if (source == nullptr) return;
    if (!IsFollowed(zone)) Confirm(*source);
    ApplyServices(*source, source->map->Replace(zone));
  };
  watcher.changed = [this](const dns::Zone& zone, const dns::Change* change) {
    const std::lock_guard lock(mutex_);
    ZoneSource* source = FindSource(zone);
    if (source == nullptr) return;
    Confirm(*source);
    ApplyServices(*source, change != nullptr ? source->map->Apply(zone, *change)
                                             : source->map->Replace(zone));
    PublishChanges();
  };
  watcher.confirmed = [this](const dns::Zone& zone) {
    const std::lock_guard lock(mutex_);
    if (ZoneSource* source = FindSource(zone)) Confirm(*source);
    PublishChanges();
  };
  watcher.failed = [this](const dns::Zone& zone, const std::string&) {
    const std::lock_guard lock(mutex_);
    if (ZoneSource* source = FindSource(zone)) {
      merged_.Failed(source->id, nameserver::SteadySeconds());
    }
  };
  watcher.expired = [this](const dns::Zone& zone) {
    const std::lock_guard lock(mutex_);
    if (ZoneSource* source = FindSource(zone)) merged_.Expired(source->id);
    PublishChanges();
  };
  return watcher;
}

bool EndpointSources::IsFollowed(const dns::Zone& zone) const {
  const auto& zones = settings_.nameserver.zones;
  return std::any_of(zones.begin(), zones.end(), [&zone](const auto& configured) {
    return configured.name == zone.origin() && !configured.primary.empty();
  });
}

MemberList EndpointSources::Begin(std::chrono::milliseconds wait) {
  host_ = std::make_unique<nameserver::Host>(settings_.nameserver, MakeWatcher());
  observe::Log(Concern::kZones, Level::kInfo, "zones served", {{"listen", host_->address()}});
  std::unique_lock lock(mutex_);
  const bool all = wake_.wait_for(lock, wait, [this] {
    return std::all_of(zone_sources_.begin(), zone_sources_.end(),
                       [](const auto& entry) { return entry.second.confirmed; });
  });
  if (!all) observe::Log(Concern::kZones, Level::kWarning, "zones not confirmed at the start");
  return merged_.Changes(nameserver::SteadySeconds()).value_or(MemberList{});
}

void EndpointSources::Start(OnEndpointList on_list) {
  {
    const std::lock_guard lock(mutex_);
    on_list_ = std::move(on_list);
    PublishChanges();
  }
  thread_ = Thread::Require("sources", [this] { RunTimer(); });
}

void EndpointSources::Stop() {
  host_.reset();  // its threads call this object
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    on_list_ = nullptr;
  }
  wake_.notify_all();
  thread_.Join();
}

void EndpointSources::ApplyPlatformList(const MemberList& list) {
  const std::lock_guard lock(mutex_);
  merged_.TakeList(platform_id_, list, nameserver::SteadySeconds());
  PublishChanges();
}

EndpointSources::ZoneSource* EndpointSources::FindSource(const dns::Zone& zone) {
  const auto found = zone_sources_.find(zone.origin().Key());
  return found == zone_sources_.end() ? nullptr : &found->second;
}

void EndpointSources::Confirm(ZoneSource& source) {
  source.confirmed = true;
  merged_.Confirm(source.id, nameserver::SteadySeconds());
  wake_.notify_all();
}

void EndpointSources::ApplyServices(ZoneSource& source,
                                    std::vector<membership::ZoneMap::Service> services) {
  for (auto& service : services) {
    RemoveUnknownNames(service);
    for (const std::string& fault : service.faults) {
      observe::LogRateLimited(Concern::kZones, Level::kWarning, "zone record lists nothing",
                              {{"fault", fault}});
    }
    merged_.Take(source.id, service.name, service.members, nameserver::SteadySeconds());
  }
}

// Endpoints with a kind or zone that is missing in the settings cannot be passed to the policy.
void EndpointSources::RemoveUnknownNames(membership::ZoneMap::Service& service) const {
  std::erase_if(service.members, [&](const Member& member) {
    const bool known = IsOneOf(member.kind, kinds_) && IsOneOf(member.zone, zones_);
    if (!known) {
      service.faults.push_back(member.id + ": kind '" + member.kind + "' or zone '" + member.zone +
                               "' is not in the configuration");
    }
    return !known;
  });
}

void EndpointSources::PublishChanges() {
  if (!on_list_) return;
  if (auto list = merged_.Changes(nameserver::SteadySeconds())) {
    // Counting the suppressed endpoints examines all endpoints, so it is done only if the line is
    // written.
    if (observe::ShouldLog(Concern::kZones, Level::kDebug)) {
      observe::Log(Concern::kZones, Level::kDebug, "list merged",
                   {{"revision", list->revision},
                    {"changes", list->members.size()},
                    {"endpoints", merged_.endpoints()},
                    {"suppressed", merged_.suppressed()}});
    }
    on_list_(*std::move(list));
  }
  wake_.notify_all();
}

void EndpointSources::RunTimer() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const double wait = std::clamp(merged_.NextDue() - nameserver::SteadySeconds(),
                                   kMinTimerSeconds, kMaxTimerSeconds);
    wake_.wait_for(lock, std::chrono::duration<double>(wait));
    if (!stopping_ && merged_.NextDue() <= nameserver::SteadySeconds()) PublishChanges();
  }
}

}  // namespace brassfront
