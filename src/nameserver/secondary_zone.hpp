// Follows a primary with one thread: asks, transfers, and applies what came
// (dns::ZoneTransferSession decides when and what).
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

// What became of a zone. Called with the zones' mutex held.
struct ZoneWatcher {
  // What is there at the start: of a followed zone, its copy in the folder.
  std::function<void(const dns::Zone& zone)> loaded;
  // `change` leads from what was there to the zone; null where all of it is new.
  std::function<void(const dns::Zone& zone, const dns::Change* change)> changed;
  std::function<void(const dns::Zone& zone)> confirmed;  // nothing new, by its source's word
  std::function<void(const dns::Zone& zone, const std::string& why)> failed;
  std::function<void(const dns::Zone& zone)> expired;
};

class SecondaryZone {
 public:
  // `mutex` guards the zone. `age` is how long ago, in seconds, what the zone holds was confirmed.
  SecondaryZone(FollowedZone& zone, std::mutex& mutex, RequestOptions options, double age,
                ZoneWatcher watcher);
  ~SecondaryZone();

  // From a notice; never waits for the thread.
  void OnNotify(std::optional<std::uint32_t> serial);

 private:
  void Run();
  void QuerySerial();
  void TransferNow(bool incremental);

  struct AppliedChanges {
    std::size_t count = 0;
    bool all_applied = true;
  };

  // With the zones' mutex held; `why` tells what did not fit.
  bool ApplyFullZone(const dns::Zone& fetched, std::string& why);
  AppliedChanges ApplyChanges(const std::vector<dns::Change>& changes, std::string& why);
  void RecordTransfer(bool changed);

  void ReportFailure(const std::string& why);  // with the zones' mutex held
  void Fail(const std::string& why);

  FollowedZone& zone_;
  std::mutex& zones_mutex_;
  const RequestOptions options_;
  const ZoneWatcher watcher_;
  std::mutex mutex_;  // guards what follows; taken after the zones' mutex, if both are
  std::condition_variable wake_;
  dns::ZoneTransferSession session_;
  bool wake_requested_ = false;
  bool stopping_ = false;
  Thread thread_;
};

}  // namespace brassfront::nameserver

#endif  // BRASSFRONT_NAMESERVER_SECONDARY_ZONE_HPP_
