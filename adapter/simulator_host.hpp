// Connects the policy to the simulator's wire protocol. Runs one policy for each simulated
// dispatcher, translates lines from the simulator to events and settings, and translates actions to
// lines. Makes no decisions of its own.
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

// Returns the settings in a START line. Throws WireError if a value is invalid.
Settings ParseSettings(const Line& line);

// Processes the simulator's input: reads batches of lines and writes one reply for each batch. Not
// thread-safe.
class SimulatorHost {
 public:
  // Consumes one line of input, without its line break. Returns true if the line ended a batch:
  // reply() then returns the complete reply until the next batch ends. Throws WireError on an
  // invalid line; the host must not be used after that.
  bool Consume(std::string_view text);

  // Returns the reply to the last batch.
  [[nodiscard]] const std::string& reply() const { return reply_; }

  // Returns whether a batch has begun and not ended. The input must not end inside a batch.
  [[nodiscard]] bool in_batch() const { return in_batch_; }

 private:
  // Maps the names of one instance to ids. Ids are given in order of appearance, so that they do
  // not depend on other instances in the process.
  class NameTable {
   public:
    // Returns the id of the name; a new name gets the next id.
    std::uint64_t FindOrAddId(std::string_view name);

    // Returns the name of an id that FindOrAddId returned.
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
    std::vector<Event> events;  // of the current batch
  };

  // One endpoint of a registered list. Its id is assigned separately for each instance that the
  // list is sent to.
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
  std::size_t page_ = 0;                                     // the page of the next rows
  std::size_t rows_expected_ = 0;                            // remaining rows of that page
  std::map<std::uint64_t, Instance> instances_;
  std::string reply_;
};

// Reads batches from `in` and writes the replies to `out` until the input ends. Returns the exit
// status: 0, or 1 after an invalid line, which is reported on `errors`.
int Run(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace dispatch_policy::simulator

#endif  // BRASSFRONT_ADAPTER_SIMULATOR_HOST_HPP_
