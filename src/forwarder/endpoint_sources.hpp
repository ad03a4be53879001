// The sources of endpoints beside the platform: zones that an operator file names. They are served
// or followed by a name server of the forwarder's own, merged with the platform's lists
// (membership::Membership), and passed on to the engine as changes.
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
    bool owns = true;   // it is the only source of the destinations that it lists
    double expiry = 0;  // seconds without a confirmation after which it counts no more; 0: never
    membership::ZoneMap::Defaults defaults;
  };
  nameserver::HostSettings nameserver;
  std::vector<Listing> listings;
  int platform_rank = 10;
  membership::Damping damping;
};

// The schema of the operator file: #Sources, with the definitions of the name server.
[[nodiscard]] std::string SourcesSchema();
// Throws records::BadRecords with every error in the file. Kinds and zones must be those of the
// configuration.
[[nodiscard]] SourceSettings LoadSources(const std::string& path, const Config& config);

// Methods may be called by any thread unless they say otherwise.
class EndpointSources {
 public:
  // Called by any thread, one call at a time. Must not call back.
  using OnEndpointList = std::function<void(MemberList)>;

  EndpointSources(SourceSettings settings, const Config& config);
  ~EndpointSources();

  // Starts the name server and returns the first list: once all followed zones have been confirmed
  // or renewed, or after `wait` with what was stored of them. Throws std::runtime_error. To be
  // called once, before Start.
  [[nodiscard]] MemberList Begin(std::chrono::milliseconds wait);
  // Passes on changes to `on_list` from now on, until Stop.
  void Start(OnEndpointList on_list);
  // Ends the name server. `on_list` is not called once it has returned. By the thread that started
  // it.
  void Stop();

  // A list from the platform. It may come before Begin.
  void ApplyPlatformList(const MemberList& list);
  // Where zones are served and NOTIFY messages are received; empty before Begin.
  [[nodiscard]] std::string address() const { return host_ ? host_->address() : std::string(); }

 private:
  struct ZoneSource {
    SourceSettings::Listing settings;
    membership::SourceId id = 0;
    std::unique_ptr<membership::ZoneMap> map;
    bool confirmed = false;  // or changed, since the start
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
  std::mutex mutex_;  // guards what follows down to stopping_; taken after the zones' mutex
  std::condition_variable wake_;
  membership::Membership merged_;
  membership::SourceId platform_id_ = 0;
  std::map<std::string, ZoneSource> zone_sources_;  // by zone
  OnEndpointList on_list_;
  bool stopping_ = false;
  std::unique_ptr<nameserver::Host> host_;
  Thread thread_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_ENDPOINT_SOURCES_HPP_
