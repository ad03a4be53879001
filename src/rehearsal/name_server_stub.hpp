// The name server of a rehearsal. It serves one zone per forwarder, because each forwarder has its
// own address of every endpoint. A separate thread sends it changes as signed DNS updates over UDP
// or TCP; the forwarders follow it by DNS NOTIFY and zone transfers.
//
// The name server is brassfront's own (src/nameserver); other tests compare its wire format with
// dnspython. The auditor relies only on what the sockets of the endpoints receive.
#ifndef BRASSFRONT_REHEARSAL_NAME_SERVER_STUB_HPP_
#define BRASSFRONT_REHEARSAL_NAME_SERVER_STUB_HPP_

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "nameserver/host.hpp"
#include "rehearsal/discovery_stub.hpp"
#include "rehearsal/endpoint_stub.hpp"
#include "rehearsal/run_context.hpp"

namespace brassfront::rehearsal {

class NameServerStub {
 public:
  // Called by the thread after an update was confirmed; its transmission started at `since`.
  using OnConfirmed = std::function<void(std::size_t forwarder, std::size_t endpoint,
                                         DiscoveryStub::Phase phase, Time since)>;

  // Serves the existing endpoints on address PREFIX250. Files for the forwarders are written to
  // `out`.
  NameServerStub(const RunContext& context, EndpointStub& endpoints, std::string prefix,
                 std::string out, OnConfirmed on_confirmed);
  ~NameServerStub();

  // Returns the path of the operator file that the forwarder is started with.
  [[nodiscard]] std::string SourcesFile(std::size_t forwarder) const;
  // Queues an update for the zone of each forwarder; updates are sent in order.
  void QueueUpdate(std::size_t endpoint, DiscoveryStub::Phase phase);
  void SetFaults(const nameserver::Faults& faults) { host_->SetFaults(faults); }

 private:
  [[nodiscard]] dns::Name ZoneOf(std::size_t forwarder) const;
  [[nodiscard]] std::vector<dns::Record> RecordsOf(std::size_t forwarder,
                                                   std::size_t endpoint) const;
  void Write(std::size_t forwarder) const;
  void Work();

  struct Job {
    std::size_t forwarder = 0;
    std::size_t endpoint = 0;
    DiscoveryStub::Phase phase = DiscoveryStub::Phase::kReady;
    dns::Message update;
  };

  const RunContext& context_;
  EndpointStub& endpoints_;
  const std::string prefix_, out_;
  dns::Key key_;
  std::unique_ptr<nameserver::Host> host_;
  const OnConfirmed on_confirmed_;
  std::mutex mutex_;  // guards the members below
  std::condition_variable jobs_changed_;
  std::deque<Job> jobs_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_NAME_SERVER_STUB_HPP_
