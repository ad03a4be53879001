// Syntax of the simulator's wire protocol: each line has a name and tab-separated name=value
// fields.
#ifndef BRASSFRONT_ADAPTER_SIMULATOR_WIRE_HPP_
#define BRASSFRONT_ADAPTER_SIMULATOR_WIRE_HPP_

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace dispatch_policy::simulator {

// Thrown on an invalid line; what() describes the error.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One name=value field of a line.
struct Field {
  std::string_view name;
  std::string_view value;
};

// One parsed line. It refers to the text that it was parsed from, which must outlive it.
class Line {
 public:
  // Throws WireError if a field after the name of the line is not name=value.
  explicit Line(std::string_view text);

  [[nodiscard]] std::string_view name() const { return name_; }
  [[nodiscard]] const std::vector<Field>& fields() const { return fields_; }
  // Returns whether the line has a field with that name.
  [[nodiscard]] bool Has(std::string_view field) const;

  // The following functions return the value of the first field with that name. They throw
  // WireError if the field is missing or its text does not have the right form; the functions with
  // the parameter `default_value` return it if the field is missing.
  [[nodiscard]] std::string_view Text(std::string_view field) const;
  [[nodiscard]] std::string_view TextOr(std::string_view field,
                                        std::string_view default_value) const;
  [[nodiscard]] std::uint64_t Unsigned(std::string_view field) const;
  [[nodiscard]] std::uint64_t UnsignedOr(std::string_view field, std::uint64_t default_value) const;
  [[nodiscard]] double NumberOr(std::string_view field, double default_value) const;
  [[nodiscard]] bool FlagOr(std::string_view field, bool default_value) const;
  // Times are whole nanoseconds on the wire.
  [[nodiscard]] std::chrono::nanoseconds Time(std::string_view field) const;
  [[nodiscard]] std::chrono::nanoseconds TimeOr(std::string_view field,
                                                std::chrono::nanoseconds default_value) const;

 private:
  std::string_view name_;
  std::vector<Field> fields_;
};

// Each parses the entire text, and throws WireError if the text does not have the right form or the
// value is out of range.
std::uint64_t ParseUnsigned(std::string_view text);
double ParseNumber(std::string_view text);
bool ParseFlag(std::string_view text);

// Returns the parts between separators; a single empty part if the text is empty.
std::vector<std::string_view> Split(std::string_view text, char separator);

}  // namespace dispatch_policy::simulator

#endif  // BRASSFRONT_ADAPTER_SIMULATOR_WIRE_HPP_
