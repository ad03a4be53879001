// The sources of endpoints in addition to the platform: zones that an operator file names. The
// forwarder's built-in name server serves them or follows their primaries. Their endpoints are
// merged with the platform's lists (membership::Membership) and passed on to the engine as changes.
#ifndef BRASSFRONT_FORWARDER_ENDPOINT_SOURCES_HPP_
#define BRASSFRONT_FORWARDER_ENDPOINT_SOURCES_HPP_

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "concurrency/thread.hpp"
#include "config/config.hpp"
#include "membership/membership.hpp"
#include "membership/zone_map.hpp"
#include "nameserver/host.hpp"

namespace brassfront {

struct SourceSettings {
  // A zone whose records list endpoints.
  struct Listing {
    dns::Name zone;
    int rank = 1;       // where sources disagree, the lower rank counts
    bool owns = true;   // the zone is the only source of the destinations that it lists
    double expiry = 0;  // seconds without confirmation until the zone is ignored; 0: never ignored
    membership::ZoneMap::Defaults defaults;
  };
  nameserver::HostSettings nameserver;
  std::vector<Listing> listings;
  int platform_rank = 10;
  membership::Damping damping;
};

// Returns the schema of the operator file: #Sources, with the definitions of the name server.
[[nodiscard]] std::string SourcesSchema();
// Throws records::BadRecords with every error in the file. Its kinds and zones must be in the
// configuration.
[[nodiscard]] SourceSettings LoadSources(const std::string& path, const Config& config);

// Any thread may call the methods unless their comments restrict that.
class EndpointSources {
 public:
  // Called by any thread, one call at a time. Must not call EndpointSources.
  using OnEndpointList = std::function<void(MemberList)>;

  EndpointSources(SourceSettings settings, const Config& config);
  ~EndpointSources();

  // Starts the name server and returns the first list: once all followed zones have been confirmed
  // or renewed, or after `wait` with the stored contents of the other zones. Throws
  // std::runtime_error. Must be called once, before Start.
  [[nodiscard]] MemberList Begin(std::chrono::milliseconds wait);
  // Passes changes on to `on_list` from now on, until Stop.
  void Start(OnEndpointList on_list);
  // Stops the name server. `on_list` is not called after this has returned. Must be called by the
  // thread that called Start.
  void Stop();

  // Applies a list from the platform. May be called before Begin.
  void ApplyPlatformList(const MemberList& list);
  // Returns the address where zones are served and NOTIFY messages are received. It is empty before
  // Begin.
  [[nodiscard]] std::string address() const { return host_ ? host_->address() : std::string(); }

 private:
  struct ZoneSource {
    SourceSettings::Listing settings;
    membership::SourceId id = 0;
    std::unique_ptr<membership::ZoneMap> map;
    bool confirmed = false;  // whether the zone was confirmed or changed since the start
  };

  [[nodiscard]] nameserver::ZoneWatcher MakeWatcher();
  [[nodiscard]] bool IsFollowed(const dns::Zone& zone) const;
  [[nodiscard]] ZoneSource* FindSource(const dns::Zone& zone);
  void ApplyServices(ZoneSource& source, std::vector<membership::ZoneMap::Service> services);
  void RemoveUnknownNames(membership::ZoneMap::Service& service) const;
  void Confirm(ZoneSource& source);
  void PublishChanges();
  void RunTimer();

  const SourceSettings settings_;
  const std::vector<std::string> kinds_;
  const std::vector<std::string> zones_;
  // Guards the members below up to and including stopping_. Locked after the zones' mutex.
  std::mutex mutex_;
  std::condition_variable wake_;
  membership::Membership merged_;
  membership::SourceId platform_id_ = 0;
  std::map<std::string, ZoneSource> zone_sources_;  // by zone name
  OnEndpointList on_list_;
  bool stopping_ = false;
  std::unique_ptr<nameserver::Host> host_;
  Thread thread_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_ENDPOINT_SOURCES_HPP_
