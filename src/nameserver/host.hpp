// All that a name server is made of: its zones from files, folders and primaries, the server, and
// faults by order. The program's stand-in runs one, and so does a forwarder that takes endpoints
// from zones.
#ifndef BRASSFRONT_NAMESERVER_HOST_HPP_
#define BRASSFRONT_NAMESERVER_HOST_HPP_

#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "concurrency/thread.hpp"
#include "nameserver/secondary_zone.hpp"
#include "nameserver/server.hpp"
#include "nameserver/settings.hpp"
#include "nameserver/zone_managers.hpp"
#include "zones/zone_source.hpp"

namespace brassfront::nameserver {

class Host {
 public:
  // Reads what there is and serves from now on. A zone whose file is bad is not answered until the
  // file is good; a folder that cannot be used ends the start. Throws std::runtime_error.
  Host(HostSettings settings, ZoneWatcher watcher);
  ~Host();

  [[nodiscard]] const std::string& address() const { return server_->address(); }
  [[nodiscard]] std::uint64_t answered() const { return server_->answered(); }
  void SetFaults(const Faults& faults) { server_->SetFaults(faults); }

 private:
  struct HostedZone {
    ZoneSettings settings;
    std::unique_ptr<StoredZone> stored;
    std::unique_ptr<FileZone> from_file;
    std::unique_ptr<FollowedZone> followed;
    ZoneManager* manager = nullptr;  // of the three, the one that it is
    std::unique_ptr<SecondaryZone> following;
    // Of the file: as it was when it was read, and as it was at the last look.
    std::optional<zones::FileStamp> loaded_stamp, seen_stamp;
    bool good = false;    // what it said then was taken up
    double copy_age = 0;  // of a followed zone's copy in its folder, in seconds
  };

  void Open(HostedZone& hosted);
  void LoadFile(HostedZone& hosted);
  std::string ApplyFileZone(HostedZone& hosted, const dns::Zone& zone);
  void CheckFiles();
  void Run();

  const HostSettings settings_;
  const ZoneWatcher watcher_;
  std::mutex zones_mutex_;  // guards the zones and the responder
  Responder responder_;
  std::vector<HostedZone> hosted_;
  std::unique_ptr<Server> server_;
  std::mutex mutex_;  // for the end
  std::condition_variable end_;
  bool stopping_ = false;
  Thread thread_;
};

}  // namespace brassfront::nameserver

#endif  // BRASSFRONT_NAMESERVER_HOST_HPP_
