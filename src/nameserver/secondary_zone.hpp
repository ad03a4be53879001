// Keeps a secondary zone up to date with one thread: queries the serial of the primary, requests
// transfers and applies them (dns::ZoneTransferSession decides what to do and when).
#ifndef BRASSFRONT_NAMESERVER_SECONDARY_ZONE_HPP_
#define BRASSFRONT_NAMESERVER_SECONDARY_ZONE_HPP_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "concurrency/thread.hpp"
#include "dns/zone_transfer_session.hpp"
#include "nameserver/client.hpp"
#include "nameserver/zone_managers.hpp"

namespace brassfront::nameserver {

// Callbacks for the events of a zone. They are called with the zones' mutex locked.
struct ZoneWatcher {
  // The zone as loaded at the start; for a secondary zone, the copy in its folder.
  std::function<void(const dns::Zone& zone)> loaded;
  // `change` is the difference from the previous data; null if there was none.
  std::function<void(const dns::Zone& zone, const dns::Change* change)> changed;
  std::function<void(const dns::Zone& zone)> confirmed;  // its source confirms that nothing changed
  std::function<void(const dns::Zone& zone, const std::string& why)> failed;
  std::function<void(const dns::Zone& zone)> expired;
};

class SecondaryZone {
 public:
  // `mutex` guards the zone. `age` is the time in seconds since the data of the zone was last
  // confirmed.
  SecondaryZone(SecondaryZoneCopy& zone, std::mutex& mutex, RequestOptions options, double age,
                ZoneWatcher watcher);
  ~SecondaryZone();

  // Processes a NOTIFY; never waits for the thread.
  void OnNotify(std::optional<std::uint32_t> serial);

 private:
  void Run();
  void QuerySerial();
  void TransferNow(bool incremental);

  struct AppliedChanges {
    std::size_t count = 0;
    bool all_applied = true;
  };

  // Called with the zones' mutex locked. On failure `why` is the reason.
  bool ApplyFullZone(const dns::Zone& fetched, std::string& why);
  AppliedChanges ApplyChanges(const std::vector<dns::Change>& changes, std::string& why);
  void RecordTransfer(bool changed);

  void ReportFailure(const std::string& why);  // with the zones' mutex locked
  void Fail(const std::string& why);

  SecondaryZoneCopy& zone_;
  std::mutex& zones_mutex_;
  const RequestOptions options_;
  const ZoneWatcher watcher_;
  std::mutex
      mutex_;  // guards the members below; if both are locked, the zones' mutex is locked first
  std::condition_variable wake_;
  dns::ZoneTransferSession session_;
  bool wake_requested_ = false;
  bool stopping_ = false;
  Thread thread_;
};

}  // namespace brassfront::nameserver

#endif  // BRASSFRONT_NAMESERVER_SECONDARY_ZONE_HPP_
