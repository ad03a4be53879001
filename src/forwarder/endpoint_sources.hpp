// Where the forwarder's endpoints come from when it does not take them from the platform alone: an
// operator file names zones and what they count for, and this keeps them, merges them with the
// platform's lists (membership::Membership) and hands the engine what changes.
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
  struct Listing {
    dns::Name zone;
    int rank = 1;
    bool owns = true;
    double expiry = 0;
    membership::ZoneMap::Defaults defaults;
  };
  nameserver::HostSettings nameserver;
  std::vector<Listing> listings;
  int platform_rank = 10;
  membership::Damping damping;
};

// The definition #Sources, with those of the name server.
std::string SourcesSchema();
// Throws records::BadRecords. Kinds and zones must be of the configuration.
SourceSettings LoadSources(const std::string& path, const Config& config);

class EndpointSources {
 public:
  using Put = std::function<void(MemberList)>;

  EndpointSources(SourceSettings settings, const Config& config);
  ~EndpointSources();

  // Starts the name server and returns the first list: once all zones that are followed have been
  // confirmed or renewed, or after `wait`, with what was kept of them. Throws std::runtime_error.
  MemberList Begin(std::chrono::milliseconds wait);
  // From now on `put` is called with what changes, by any thread and never after Stop.
  void Start(Put put);
  void Stop();

  // A list from the platform. It may come before Begin.
  void TakePlatform(const MemberList& list);
  // Where zones are served and notices are taken; empty before Begin.
  [[nodiscard]] std::string address() const { return host_ ? host_->address() : std::string(); }

 private:
  struct Listed {
    SourceSettings::Listing settings;
    membership::SourceId source = 0;
    std::unique_ptr<membership::ZoneMap> map;
    bool heard = false;  // its source has spoken since the start
  };

  Listed* Of(const dns::Zone& zone);
  void TakeServices(Listed& listed, std::vector<membership::ZoneMap::Service> services);
  void Heard(Listed& listed);
  void Send();
  void RunSources();

  const SourceSettings settings_;
  const std::vector<std::string> kinds_;
  const std::vector<std::string> zones_;
  std::mutex mutex_;  // guards what follows; taken after the zones' mutex, if both are
  std::condition_variable wake_;
  membership::Membership merged_;
  membership::SourceId platform_ = 0;
  std::map<std::string, Listed> listed_;  // by zone
  Put put_;
  bool stopping_ = false;
  std::unique_ptr<nameserver::Host> host_;
  Thread thread_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_ENDPOINT_SOURCES_HPP_
