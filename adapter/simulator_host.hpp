// Runs many policies behind the simulator's wire, each for one simulated dispatcher. It maps the
// words of the wire to events and settings, and actions to words of the wire; it decides nothing.
#ifndef BRASSFRONT_ADAPTER_SIMULATOR_HOST_HPP_
#define BRASSFRONT_ADAPTER_SIMULATOR_HOST_HPP_

#include <array>
#include <iosfwd>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dispatch_policy/dispatch_policy.hpp"
#include "simulator_wire.hpp"

namespace dispatch_policy::simulator {

// The settings in a START line. Throws WireError on a word or number that is not allowed.
Settings ParseSettings(const Line& line);

// The simulator's side of a conversation: batches of lines in, one reply for each batch out. For
// one thread.
class SimulatorHost {
 public:
  // Consumes one line of input, without its line break. Returns true when it ended a batch: the
  // reply is then complete in reply(), until the next batch ends. Throws WireError on a line that
  // can't be taken; the host can't be used further then.
  bool Consume(std::string_view text);

  // The reply to the last batch.
  [[nodiscard]] const std::string& reply() const { return reply_; }

  // Whether a batch has begun and not ended; the input must not end then.
  [[nodiscard]] bool in_batch() const { return in_batch_; }

 private:
  // Ids for the names of one instance, in order of appearance, so that they do not depend on what
  // else the process hosts.
  class NameTable {
   public:
    // The id of the name; a new one gets the next id.
    std::uint64_t FindOrAddId(std::string_view name);

    // The name of an id that FindOrAddId gave out.
    const std::string& Name(std::uint64_t id) const { return names_.at(id); }

   private:
    std::unordered_map<std::string, std::uint64_t> ids_;
    std::vector<std::string> names_;
  };

  // One simulated dispatcher.
  struct Instance {
    std::unique_ptr<DispatchPolicy> policy;
    NameTable messages;
    NameTable endpoints;
    std::vector<Event> events;  // of the present batch
  };

  // One endpoint of a registered list; its id depends on the instance that it is sent to.
  struct EndpointRow {
    std::string endpoint;
    EndpointEntry entry;
  };

  void ConsumeEvent(const Line& line);
  void ConsumeRow(const Line& line);
  void RegisterPage(const Line& line);
  void StartInstance(const Line& line);
  void AddEndpointList(Instance& instance, const Line& line);
  Instance& FindInstance(const Line& line);
  static MessageArrived ParseArrival(Instance& instance, const Line& line);
  static AttemptCompleted ParseCompletion(Instance& instance, const Line& line);
  static HealthCheckCompleted ParseHealthCheck(Instance& instance, const Line& line);
  void WriteReply();
  void WriteAction(std::uint64_t who, const Instance& instance, const Action& action);

  Time now_{};
  bool in_batch_ = false;
  std::array<std::vector<EndpointRow>, 16> endpoint_pages_;  // registered endpoint lists
  std::size_t page_ = 0;                                     // the page that rows are for
  std::size_t rows_expected_ = 0;                            // rows of that page still to come
  std::map<std::uint64_t, Instance> instances_;
  std::string reply_;
};

// Answers batches from `in` on `out` until the input ends. Returns the exit status: 0, or 1 after a
// line that can't be taken, which is named on `errors`.
int Run(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace dispatch_policy::simulator

#endif  // BRASSFRONT_ADAPTER_SIMULATOR_HOST_HPP_
