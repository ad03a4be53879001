// The discovery watch: keeps a watch open and passes on each list that comes.
#ifndef BRASSFRONT_NET_DISCOVERY_WATCHER_HPP_
#define BRASSFRONT_NET_DISCOVERY_WATCHER_HPP_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "concurrency/thread.hpp"
#include "net/discovery_timeouts.hpp"
#include "net/http_client.hpp"
#include "protocol/discovery.hpp"

namespace brassfront {

class DiscoveryWatcher {
 public:
  using OnEndpointList = std::function<void(MemberList)>;

  // The forwarders that ask the same discovery, this one among them, and the seed of its spread.
  struct Group {
    std::size_t size = 1;
    std::uint64_t seed = 0;
  };

  DiscoveryWatcher(std::string address, std::uint64_t revision, const Group& group,
                   BufferPool& buffers, OnEndpointList on_list);
  ~DiscoveryWatcher();

  // Goes on at another address, from the last revision that was told.
  void SetAddress(std::string address) { client_.SetAddress(std::move(address)); }

 private:
  void WatchLoop();
  bool ConsumeLines(HttpReader& reader, LineCutter& lines);

  const OnEndpointList on_list_;
  DiscoveryTimeouts timeouts_;
  std::uint64_t revision_;
  HttpClient client_;
  Thread thread_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_DISCOVERY_WATCHER_HPP_
