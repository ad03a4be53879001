// Hosts many instances of the module on the simulator's wire. It translates and decides nothing.
#ifndef BRASSFRONT_ADAPTER_SIMULATOR_HOST_HPP_
#define BRASSFRONT_ADAPTER_SIMULATOR_HOST_HPP_

#include <array>
#include <iosfwd>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dispatch_policy/dispatch_policy.hpp"
#include "simulator_wire.hpp"

namespace dispatch_policy::simulator {

Settings ParseSettings(const Line& start);

class Host {
 public:
  // Takes one line of input; returns true when a reply is complete in reply().
  bool Take(std::string_view line);
  [[nodiscard]] const std::string& reply() const { return reply_; }
  // The input may end only between batches.
  [[nodiscard]] bool in_batch() const { return in_batch_; }

 private:
  // Names of one instance and the numbers that the module knows them by, in order of appearance,
  // so that they do not depend on what else the process hosts.
  class Names {
   public:
    std::uint64_t Number(std::string_view name);
    const std::string& Name(std::uint64_t number) const { return names_.at(number); }

   private:
    std::unordered_map<std::string, std::uint64_t> numbers_;
    std::vector<std::string> names_;
  };
  struct Instance {
    std::unique_ptr<DispatchPolicy> choice;
    Names messages;
    Names endpoints;
    std::vector<Event> events;
  };
  struct Row {
    std::string endpoint;
    EndpointEntry entry;
  };

  void TakeEvent(const Line& line);
  void TakeRow(const Line& line);
  void Reply();
  Instance& Find(const Line& line);
  void Start(const Line& line);
  void List(Instance& instance, const Line& line);
  void Write(std::uint64_t who, const Instance& instance, const Action& action);

  Time now_{};
  bool in_batch_ = false;
  std::array<std::vector<Row>, 16> pages_;
  std::size_t page_ = 0;
  std::size_t rows_due_ = 0;
  std::map<std::uint64_t, Instance> instances_;
  std::string reply_;
};

// Runs until the input ends; returns the exit status.
int Run(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace dispatch_policy::simulator

#endif  // BRASSFRONT_ADAPTER_SIMULATOR_HOST_HPP_
