// The simulated endpoints of partners: HTTP servers that answer according to the partner's model
// and the actions of the scenario. They implement the documented protocol with Boost.Beast and
// share no code with the forwarder.
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

// One endpoint of a partner. It has a separate address for each forwarder, which identifies the
// caller.
struct Endpoint {
  std::size_t number = 0;  // unique over all partners; never reused
  std::string id;          // identifier in the discovery list
  std::size_t partner = 0;
  // By forwarder; closed while it refuses connections.
  std::vector<std::shared_ptr<tcp::acceptor>> acceptors;
  std::vector<tcp::endpoint> addresses;  // by forwarder
  // Number of open connections; may outlive the endpoint.
  std::shared_ptr<std::size_t> connections;
  std::vector<std::weak_ptr<EndpointConnection>> open;
  Outage outage = Outage::kNone;  // outage of this endpoint only
  bool gone = false;
};

class EndpointStub {
 public:
  // Listens on loopback addresses that start with the prefix, such as "127.44.9.".
  EndpointStub(RunContext& context, std::string prefix);

  // Adds an endpoint to the partner. It serves immediately.
  Endpoint& Add(std::size_t partner);
  PartnerModel& model(std::size_t partner) { return models_[partner]; }
  Endpoint& at(std::size_t number) { return *endpoints_[number]; }
  [[nodiscard]] std::size_t count() const { return endpoints_.size(); }
  // Returns the endpoints of the partner that are not gone, in order of their numbers.
  [[nodiscard]] std::vector<std::size_t> Of(std::size_t partner) const;

  void Play(const FaultAction& action);
  void Close();
  // Called after each change of a partner's limit, with the limit in calls per second.
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
  std::vector<double> garbled_share_;  // by partner: share of answers that are garbled
  std::vector<double> doubled_share_;  // by partner: share of answers that are sent twice
  std::uint64_t random_;
};

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_ENDPOINT_STUB_HPP_
