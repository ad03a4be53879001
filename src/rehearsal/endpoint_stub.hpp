// The stand-in endpoints of partners: HTTP servers that answer as the partner's model says and as
// the actions have it. They speak the protocol page by Boost.Beast, none of the forwarder's own
// code.
#ifndef BRASSFRONT_REHEARSAL_ENDPOINT_STUB_HPP_
#define BRASSFRONT_REHEARSAL_ENDPOINT_STUB_HPP_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "rehearsal/partner_model.hpp"
#include "rehearsal/run_context.hpp"

namespace brassfront::rehearsal {

class EndpointConnection;

// One endpoint of a partner. Each forwarder has an address of its own for it, which tells whose
// call it is.
struct Endpoint {
  std::size_t number = 0;  // over all partners; not used again
  std::string id;          // in the list
  std::size_t partner = 0;
  std::vector<std::shared_ptr<tcp::acceptor>> acceptors;  // by forwarder; closed while it refuses
  std::vector<tcp::endpoint> addresses;                   // by forwarder
  std::shared_ptr<std::size_t> connections;               // that stand; outlives its endpoint
  std::vector<std::weak_ptr<EndpointConnection>> open;
  Outage outage = Outage::kNone;  // of this one alone
  bool gone = false;
};

class EndpointStub {
 public:
  // Listens on loopback addresses that begin with the prefix, such as "127.44.9.".
  EndpointStub(RunContext& context, std::string prefix);

  // A new endpoint for the partner; it serves at once.
  Endpoint& Add(std::size_t partner);
  PartnerModel& model(std::size_t partner) { return models_[partner]; }
  Endpoint& at(std::size_t number) { return *endpoints_[number]; }
  [[nodiscard]] std::size_t count() const { return endpoints_.size(); }
  // The partner's that are not gone, in order of their numbers.
  [[nodiscard]] std::vector<std::size_t> Of(std::size_t partner) const;

  void Play(const FaultAction& action);
  void Close();
  // Is told of each change of a partner's limit, calls a second.
  std::function<void(std::size_t partner, double limit)> limit_changed = [](std::size_t, double) {};

 private:
  friend class EndpointConnection;

  void Accept(std::size_t number, std::size_t forwarder);
  void Listen(Endpoint& endpoint, std::size_t forwarder);
  void StopListening(Endpoint& endpoint);
  void BeginOutage(const FaultAction& action, std::size_t partner, Outage outage);
  void EndOutage(const FaultAction& action, std::size_t partner);

  RunContext& context_;
  const std::string prefix_;
  std::vector<PartnerModel> models_;
  std::vector<std::unique_ptr<Endpoint>> endpoints_;
  std::vector<double> garbled_share_;  // by partner: share of answers that are spoilt
  std::uint64_t random_;
};

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_ENDPOINT_STUB_HPP_
