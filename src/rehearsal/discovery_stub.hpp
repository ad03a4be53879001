// The discovery service on each forwarder's machine: the list of endpoints, the watch on the list,
// and the notifications. Each forwarder has one agent. All agents serve the same list, but each
// learns of a change separately.
#ifndef BRASSFRONT_REHEARSAL_DISCOVERY_STUB_HPP_
#define BRASSFRONT_REHEARSAL_DISCOVERY_STUB_HPP_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "rehearsal/endpoint_stub.hpp"
#include "rehearsal/run_context.hpp"

namespace brassfront::rehearsal {

class DiscoveryStubConnection;

class DiscoveryStub {
 public:
  enum class Phase { kReady, kTerminating, kGone };

  // Called for a notification with the message, whether it was deferred, and the wait.
  using OnNotice = std::function<void(SubmissionId, bool deferred, std::optional<Time> wait)>;

  DiscoveryStub(RunContext& context, EndpointStub& endpoints, std::size_t forwarder,
                std::string host, OnNotice on_notice);

  // Stops the events to the auditor about this list, because the forwarders do not follow it.
  void OmitFromAudit() { omit_from_audit_ = true; }

  [[nodiscard]] std::string address() const;
  // Returns the current list as JSON; also used for `known` in a configuration.
  [[nodiscard]] std::string ListJson() const { return Line(true, 0); }

  // Applies a change to this agent's list and sends it to all watchers.
  void ApplyChange(std::size_t endpoint, Phase phase);
  // Moves the agent to a new address. The old address accepts no new connections, and its open
  // connections are closed after 1.5 s.
  void Move();
  void Close();

 private:
  friend class DiscoveryStubConnection;
  struct Entry {
    Phase phase = Phase::kReady;
    std::uint64_t revision = 1;
  };

  void Listen();
  void Accept(const std::shared_ptr<tcp::acceptor>& acceptor);
  [[nodiscard]] std::string Line(bool whole, std::uint64_t from) const;
  void EmitChanges(std::uint64_t from);
  void Push();

  RunContext& context_;
  EndpointStub& endpoints_;
  const std::size_t forwarder_;
  const std::string host_;
  const OnNotice on_notice_;
  std::shared_ptr<tcp::acceptor> acceptor_;
  std::vector<std::weak_ptr<DiscoveryStubConnection>> open_;
  std::map<std::size_t, Entry> entries_;  // by endpoint number
  std::uint64_t revision_ = 1;
  bool omit_from_audit_ = false;
};

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_DISCOVERY_STUB_HPP_
