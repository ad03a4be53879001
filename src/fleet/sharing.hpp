// Limits and verdicts of the whole fleet: between the engine's door and the
// cores of quota and verdicts, which know no frames. The engine's threads come
// in by the door, the fleet's thread by the rest; a mutex keeps them apart, and
// nobody waits under it.
#ifndef BRASSFRONT_FLEET_SHARING_HPP_
#define BRASSFRONT_FLEET_SHARING_HPP_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "forwarder/call_observer.hpp"
#include "peers/frame.hpp"
#include "peers/roster.hpp"
#include "protocol/discovery.hpp"
#include "quota/lease_grantor.hpp"
#include "quota/lease_holder.hpp"
#include "verdicts/health_report_table.hpp"

namespace brassfront::fleet {

class Sharing : public CallObserver {
 public:
  using Time = peers::Time;
  struct OutgoingFrame {
    peers::Kind kind{};
    std::string to;
    std::string body;
  };

  Sharing(const peers::Roster& roster, std::string self, std::uint64_t process_incarnation);

  // ---- the engine's door ----
  void OnMessageArrived(std::uint64_t destination) override;
  bool AllowsCall(const CallTarget& target) override;
  void OnCallCompleted(const CallCompleted& call) override;

  // A list on its way to the engine, from any thread: whose limits will be
  // asked for.
  void OnEndpointList(const MemberList& list);

  // ---- for the fleet's thread ----
  // Before anything is read: `leads`, of the settled log. One that was stopped
  // while it led grants nothing for a while, not even to what has come
  // meanwhile.
  void Tick(bool leads, Time now);
  void Receive(const peers::Frame& frame, Time now);
  // The cores' turn; `present`: members that are heard, and ourselves.
  void Update(const std::string& leader, std::vector<std::string> present, Time now);
  Time Next() const;
  void SetRoster(const peers::Roster& roster, Time now);
  std::vector<OutgoingFrame> TakeFrames() { return std::exchange(outgoing_frames_, {}); }
  std::vector<EndpointUpdate> TakeEndpointUpdates();
  std::string LimitsJson(Time now) const;
  std::string VerdictsJson(Time now) const;

 private:
  void GrantLeases(const std::string& holder, const quota::LeaseRequestBatch& request, Time now);
  void RecordEndpoint(const std::string& key, const CallTarget& target);

  const std::string self_;
  peers::Sharing settings_;
  mutable std::mutex mutex_;  // guards what follows
  quota::LeaseHolder lease_holder_;
  quota::LeaseGrantor lease_grantor_;
  verdicts::HealthReportTable health_reports_;
  std::map<std::string, std::set<std::string>> endpoints_by_key_;  // endpoints, by key
  // The fleet's thread's own.
  Time election_{};
  bool leads_ = false;
  std::string lease_request_sent_to_;  // whom, for limits; nobody else's grant is taken
  Time last_tick_{}, next_health_tick_{};
  std::vector<OutgoingFrame> outgoing_frames_;
};

// The terms of limits that a roster sets.
quota::LeaseSettings LeaseSettingsFrom(const peers::Roster& roster);
// What a roster promises, for people or as JSON.
std::string SharingBoundsToText(const peers::Roster& roster, bool json);

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_SHARING_HPP_
