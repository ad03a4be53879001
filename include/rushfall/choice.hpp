// The interface of rushfall: what a dispatcher tells the decision module and what the module asks
// of it. Every decision is in src/choice.cpp; this file holds types only.
//
// What a caller promises:
//  * One Choice for each running dispatcher, used by one thread at a time. It owns all its state,
//    keeps no reference to anything handed in, and is thrown away when the dispatcher stops.
//  * Time is the caller's: any steady clock as nanoseconds since an epoch of its choice,
//    never below 0. A clock that runs backwards is taken to stand still.
//  * Decide gets all events of one moment in their order of arrival and returns actions to be
//    carried out in the order given. Sends of one Decide to one endpoint may share a call, up to
//    the batch size of the endpoint's kind.
//  * Ids are the caller's and are not used again: a message id or endpoint id names one thing for
//    good. Each Send gets one AttemptSettled; attempts of a message are numbered from 0.
//  * A message that outlasts the dispatcher is told to its next Choice as MessageRestored, before
//    or in the first Decide after the list; its attempts are numbered from 0 again.
//  * Events about unknown messages, attempts or endpoints are ignored.
#ifndef RUSHFALL_CHOICE_HPP_
#define RUSHFALL_CHOICE_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace rushfall {

using Duration = std::chrono::nanoseconds;
using Time = std::chrono::nanoseconds;  // since the caller's epoch
using MessageId = std::uint64_t;
using EndpointId = std::uint64_t;
using DestinationId = std::uint64_t;

// ---- settings ----

enum class Effect { kSafe, kKeyed, kUnsafe };
enum class DedupScope { kDestination, kZone };  // which endpoints drop a repeat of a keyed message
enum class Decay { kLinear, kHalving };         // how worth falls once the aim has passed
enum class WeightMeaning { kNone, kRate, kRoughRate };

struct ClassSettings {
  Duration aim{};       // delivered within this time it earns its full worth
  Duration deadline{};  // from the first hand-in
  Effect effect = Effect::kUnsafe;
  DedupScope dedup_scope = DedupScope::kDestination;
  Duration dedup_window{};  // from the send of the first attempt that may have run
  double worth = 1;
  double late_worth = 0;  // share of the worth that is left at the deadline
  bool ordered = false;   // messages with one key go one at a time, as accepted
};

struct KindSettings {
  std::size_t max_batch = 1;     // messages in one call
  bool separate_routes = false;  // each endpoint has its own limit, pace and outages
};

struct TenantSettings {
  double quota_per_second = 0;  // over all dispatchers; 0: none
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;
  // By zone: points off the result, as a share of all first tries, for each message that a route
  // apart in the zone takes on. A zone without a figure costs nothing.
  std::vector<double> zone_toll;
  Decay decay = Decay::kLinear;
  WeightMeaning weights = WeightMeaning::kNone;
  double over_quota_worth = 1;   // worth of a message above its tenant's quota, as a fraction
  std::size_t slots = 0;         // calls out at once; 0: no such limit
  std::size_t max_held = 0;      // messages held, sent or not; 0: no such limit
  std::size_t max_attempts = 0;  // for one message; 0: no such limit
  bool probes_allowed = false;
  bool cancel_allowed = false;
  bool retry_after_heard = false;  // clients are told the retry-after of a refusal
  bool list_on_request = false;    // list changes come only after Subscribe
  Duration max_retry_after{};      // longest one a client honours; 0: no such limit
  Duration turn{};                 // least time between two calls of Decide
  double cold_share = 1;       // capacity of a returning destination, as a share of its full one
  Duration cold_time{};        // until it is warm
  double fall_multiple = 1;    // load that pushes a cold destination over, in present capacities
  Duration fall_window{};      // kept up for this long
  Duration order_rest{};       // rest of a key after an attempt that may still be running
  std::size_t group_size = 1;  // dispatchers that share the destinations
};

// What a client is told that is turned away because max_held messages are held.
inline constexpr Duration kRetryWhenFull = std::chrono::seconds(1);

// ---- events ----

enum class Outcome {
  kDelivered,
  kError,          // answered with an error; may have run
  kFull,           // turned away unseen
  kTimeout,        // may have run, or still run
  kConnectFailed,  // never ran
  kReset,          // may have run, or still run
  kCancelled,      // may have run, or still run
  kNotSent,        // never left the dispatcher
  kCrowded         // the endpoint runs, but holds all the connections that it takes; never ran
};

struct LoadReport {
  std::optional<double> allowance_left;  // share of the limit, 0 to 1
  std::optional<double> limit;           // calls a second; 0: no limit
};

struct MessageArrived {
  MessageId message = 0;
  DestinationId destination = 0;
  std::size_t message_class = 0;
  std::size_t tenant = 0;
  Duration time_left{};
  std::string key;  // of the order; empty: none
};

// A message that an earlier process of this dispatcher had taken on. It is past the gate.
struct MessageRestored {
  MessageId message = 0;
  DestinationId destination = 0;
  std::size_t message_class = 0;
  Duration time_left{};  // below 0: its time is up
  std::string key;       // as in MessageArrived
  std::size_t attempts_used = 0;
  std::optional<Time> may_have_run;  // send of the first attempt that may have
  EndpointId ran_at = 0;             // where that was
};

struct AttemptSettled {
  MessageId message = 0;
  std::size_t attempt = 0;
  EndpointId endpoint = 0;
  Outcome outcome = Outcome::kError;
  Duration elapsed{};
  bool finished = false;   // the message is over, by this outcome or before it
  bool exhausted = false;  // no further attempt of it would be taken
  Duration retry_after{};  // told with the answer; 0: none
  LoadReport report;
};

struct MessageWithdrawn {
  MessageId message = 0;
};

struct TimerFired {
  std::uint64_t token = 0;
};

struct ProbeSettled {
  EndpointId endpoint = 0;
  Outcome outcome = Outcome::kError;
  Duration elapsed{};
  LoadReport report;
};

enum class EndpointState { kListed, kDraining, kRemoved };

struct EndpointEntry {
  EndpointId endpoint = 0;
  DestinationId destination = 0;
  std::size_t kind = 0;
  std::size_t zone = 0;
  EndpointState state = EndpointState::kListed;
  double weight = 1;  // see Settings::weights
};

enum class ListForm { kChanges, kWhole, kFailed };

struct EndpointList {
  std::uint64_t version = 0;  // a list older than the last one is ignored
  ListForm form = ListForm::kChanges;
  std::vector<EndpointEntry> entries;
};

// ---- what other dispatchers know ----
//
// For callers whose dispatchers tell each other; where they share nothing none of these comes, and
// nothing is decided otherwise for their being there.

// Our present part of a limit that all dispatchers keep together, on what shares the endpoint's
// limit: its destination, or its route where routes are apart. It holds until the next one.
struct ShareLeased {
  EndpointId endpoint = 0;
  std::optional<double> rate;  // calls a second; none: the limit is not shared any longer
};

// kDown: calls there fail. kWait: it has told to wait. kCold: it is back from an outage, or from
// work. kServes: it answered a trial. kTried: somebody else tries it now.
enum class Word { kDown, kWait, kCold, kServes, kTried };

// It makes us more careful at once, and less careful only by two witnesses or our own calls.
struct PeerWord {
  EndpointId endpoint = 0;
  Word word = Word::kDown;
  Duration age{};             // since it was seen
  Duration rest{};            // of the told wait, or of the time to wait for the trial's word
  std::size_t witnesses = 1;  // that saw it themselves, as far as none of them was found wrong
};

using Event = std::variant<MessageArrived, MessageRestored, AttemptSettled, MessageWithdrawn,
                           TimerFired, ProbeSettled, EndpointList, ShareLeased, PeerWord>;

// ---- actions ----

struct Send {
  MessageId message = 0;
  EndpointId endpoint = 0;
  Duration timeout{};  // always above 0
  Time start_by{};     // no attempt may begin later than this
};
struct Refuse {  // final: handing the message in again does no harm
  MessageId message = 0;
  Duration retry_after{};
};
struct Surrender {  // final: failed; it may have taken effect
  MessageId message = 0;
};
struct Cancel {
  MessageId message = 0;
  std::size_t attempt = 0;
};
struct SetTimer {
  std::uint64_t token = 0;
  Time at{};
};
struct Probe {
  EndpointId endpoint = 0;
};
struct Subscribe {};
struct Log {
  std::string text;
};

using Action = std::variant<Send, Refuse, Surrender, Cancel, SetTimer, Probe, Subscribe, Log>;

class Choice {
 public:
  Choice(Settings settings, std::uint64_t seed);
  ~Choice();
  Choice(Choice&&) noexcept;
  Choice& operator=(Choice&&) noexcept;

  std::vector<Action> Decide(Time now, std::span<const Event> events);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rushfall

#endif  // RUSHFALL_CHOICE_HPP_
