// The platform as each forwarder's machine sees it: the list of endpoints, the watch on it, and the
// notices. One agent a forwarder; all agents tell the same list, each when it has been told.
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

  // The answer to a notice: which message, whether it was deferred, and the wait.
  using OnNotice = std::function<void(SubmissionId, bool deferred, std::optional<Time> wait)>;

  DiscoveryStub(RunContext& context, EndpointStub& endpoints, std::size_t forwarder,
                std::string host, OnNotice on_notice);

  // From now on the list is not what the forwarders go by, and is told without a word to the
  // auditor.
  void OmitFromAudit() { omit_from_audit_ = true; }

  [[nodiscard]] std::string address() const;
  // The list as it is known now, as JSON; for `known` in a configuration as well.
  [[nodiscard]] std::string ListJson() const { return Line(true, 0); }

  // A change reached this agent: it is told to whoever watches.
  void ApplyChange(std::size_t endpoint, Phase phase);
  // From now on at another address. The old one takes no new connection, and closes the open ones
  // after 1.5 s.
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
  std::map<std::size_t, Entry> entries_;  // by endpoint
  std::uint64_t revision_ = 1;
  bool omit_from_audit_ = false;
};

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_DISCOVERY_STUB_HPP_
