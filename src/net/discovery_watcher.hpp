// Watches discovery: keeps a request open, to which discovery sends each new endpoint list as a
// JSON object, in any layout.
#ifndef BRASSFRONT_NET_DISCOVERY_WATCHER_HPP_
#define BRASSFRONT_NET_DISCOVERY_WATCHER_HPP_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "concurrency/thread.hpp"
#include "net/discovery_timeouts.hpp"
#include "net/http_client.hpp"
#include "protocol/discovery.hpp"

namespace brassfront {

// Watches discovery in a thread, from its construction to its destruction.
class DiscoveryWatcher {
 public:
  // Called by the watcher's thread.
  using OnEndpointList = std::function<void(MemberList)>;

  // The group of forwarders that watch the same discovery.
  struct Group {
    std::size_t size = 1;    // including this one
    std::uint64_t seed = 0;  // for the jitter of this forwarder's requests
  };

  // Watches for lists newer than `revision` until destroyed; with 0 discovery sends the complete
  // list immediately. The first request is made immediately. The buffers must outlive the watcher.
  DiscoveryWatcher(std::string address, std::uint64_t revision, const Group& group,
                   BufferPool& buffers, OnEndpointList on_list);
  ~DiscoveryWatcher();

  // Any thread may call this. Continues at another address, from the last revision received.
  void SetAddress(std::string address) { client_.SetAddress(std::move(address)); }

 private:
  void WatchLoop();
  void WatchOnce(const std::string& address);
  bool ConsumeBody(HttpReader& response, JsonObjectSplitter& lists);
  bool ConsumeList(const std::string& text);
  void LogRefused(const std::string& text, std::string_view reason) const;

  const OnEndpointList on_list_;
  DiscoveryTimeouts timeouts_;
  std::uint64_t revision_;
  HttpClient client_;
  Thread thread_;  // the last member, as the thread uses the others
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_DISCOVERY_WATCHER_HPP_
