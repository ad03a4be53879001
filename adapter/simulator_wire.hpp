// The simulator's wire: lines of tab-separated name=value parts. Syntax only.
#ifndef BRASSFRONT_ADAPTER_SIMULATOR_WIRE_HPP_
#define BRASSFRONT_ADAPTER_SIMULATOR_WIRE_HPP_

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace dispatch_policy::simulator {

// A line that can't be taken; what() names the fault.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One name=value part of a line.
struct Field {
  std::string_view name;
  std::string_view value;
};

// One line, split. It refers to the text that it was parsed from.
class Line {
 public:
  // Throws WireError if a part after the name is not name=value.
  explicit Line(std::string_view text);

  [[nodiscard]] std::string_view name() const { return name_; }
  [[nodiscard]] const std::vector<Field>& fields() const { return fields_; }
  // Whether there is a field of that name.
  [[nodiscard]] bool Has(std::string_view field) const;

  // The value of the first field of that name. All throw WireError if it is missing or its text is
  // not of their form; those with `absent` return that for a missing field.
  [[nodiscard]] std::string_view Text(std::string_view field) const;
  [[nodiscard]] std::string_view TextOr(std::string_view field, std::string_view absent) const;
  [[nodiscard]] std::uint64_t Whole(std::string_view field) const;
  [[nodiscard]] std::uint64_t WholeOr(std::string_view field, std::uint64_t absent) const;
  [[nodiscard]] double NumberOr(std::string_view field, double absent) const;
  [[nodiscard]] bool FlagOr(std::string_view field, bool absent) const;
  // Whole nanoseconds on the wire.
  [[nodiscard]] std::chrono::nanoseconds Time(std::string_view field) const;
  [[nodiscard]] std::chrono::nanoseconds TimeOr(std::string_view field,
                                                std::chrono::nanoseconds absent) const;

 private:
  std::string_view name_;
  std::vector<Field> fields_;
};

// Each reads the whole text and throws WireError if it is not of the form, or out of range.
std::uint64_t ParseWhole(std::string_view text);
double ParseNumber(std::string_view text);
bool ParseFlag(std::string_view text);

// The parts between separators; one empty part for an empty text.
std::vector<std::string_view> Split(std::string_view text, char separator);

}  // namespace dispatch_policy::simulator

#endif  // BRASSFRONT_ADAPTER_SIMULATOR_WIRE_HPP_
