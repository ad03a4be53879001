// The driver of all that forwarders share: one thread with a datagram socket feeds the cores and
// sends what they say. It decides nothing.
#ifndef BRASSFRONT_FLEET_FLEET_HPP_
#define BRASSFRONT_FLEET_FLEET_HPP_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/self.hpp"
#include "forwarder/mailbox.hpp"
#include "net/socket.hpp"
#include "net/thread.hpp"
#include "peers/detector.hpp"
#include "peers/roster.hpp"

namespace brassfront::fleet {

class Fleet {
 public:
  // `self` is this forwarder's name in the roster; the folder is its own. Throws
  // records::BadRecords and std::runtime_error.
  Fleet(std::string roster_path, const std::string& self, const std::string& folder,
        std::uint64_t seed);
  ~Fleet();

  // From now on it speaks with its peers. Throws std::runtime_error.
  void Begin();
  // Reads the roster again; a bad one, or one that changes too much, changes nothing and leaves a
  // line. For any thread.
  void Reload();
  // Tells the peers that this forwarder ends, and stops.
  void Leave();

 private:
  struct Item {
    enum class What { kReload, kLeave } what;
  };

  void Work();
  void TakeItems();
  void ReadDatagrams(peers::Time now);
  void TakeRoster();
  void SendFrames();
  void TellChanges();
  void TellDropped(peers::Drop drop, const std::string& from, peers::Time now);

  const std::string path_;
  peers::Roster roster_;
  const std::string self_name_;
  Self self_;
  Socket socket_;
  Socket wake_;  // eventfd
  Mailbox<Item> inbox_{64};

  // The thread's own.
  peers::Detector detector_;
  std::map<std::string, peers::Time> told_;  // bad frames, by whom they claim to be from
  std::map<peers::Drop, std::uint64_t> dropped_;
  std::vector<char> buffer_;
  bool leaving_ = false;

  Thread thread_;
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_FLEET_HPP_
