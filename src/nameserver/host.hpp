// A complete name server: its zones from files, folders and primaries, the server, and injected
// faults. `zone serve` and rehearsals run one, and so does a forwarder that reads its endpoints
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
  // Loads the zones and starts to serve. A zone whose file is invalid is not answered until the
  // file is valid. Throws std::runtime_error if a folder cannot be used.
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
    std::unique_ptr<SecondaryZoneCopy> secondary_copy;
    ZoneManager* manager = nullptr;  // points to the one of these three that is set
    std::unique_ptr<SecondaryZone> secondary;
    // Stamps of the file: when it was last read, and when it was last checked.
    std::optional<zones::FileStamp> loaded_stamp, seen_stamp;
    bool good = false;    // the file was valid when it was last read, and its data was applied
    double copy_age = 0;  // seconds since the stored copy of a secondary zone was last confirmed
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
  std::mutex mutex_;  // guards stopping_
  std::condition_variable end_;
  bool stopping_ = false;
  Thread thread_;
};

}  // namespace brassfront::nameserver

#endif  // BRASSFRONT_NAMESERVER_HOST_HPP_
