// The stand-in name server of a rehearsal: one zone a forwarder, for each has its own address of
// every endpoint. Changes go to it as signed updates by UDP's and TCP's rules, from a thread of its
// own; the forwarders follow it by notices and transfers.
//
// The name server is the product's own (src/nameserver). What it puts on the wire is held against
// dnspython by the tests; the auditor believes the endpoints' sockets alone.
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
  // An update was confirmed, whose sending began at `since`. Called by the thread.
  using OnConfirmed = std::function<void(std::size_t forwarder, std::size_t endpoint,
                                         DiscoveryStub::Phase phase, Time since)>;

  // Serves the endpoints that there are, at PREFIX250; files for the forwarders go to `out`.
  NameServerStub(const RunContext& context, EndpointStub& endpoints, std::string prefix,
                 std::string out, OnConfirmed on_confirmed);
  ~NameServerStub();

  // The operator file that the forwarder is started with.
  [[nodiscard]] std::string SourcesFile(std::size_t forwarder) const;
  // Sends the update for each forwarder, in order, soon.
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
  std::mutex mutex_;  // guards what follows
  std::condition_variable jobs_changed_;
  std::deque<Job> jobs_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_NAME_SERVER_STUB_HPP_
