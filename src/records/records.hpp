// Typed operator records: what a file says, held against what a schema asks for.
//
// A schema and a file are both texts of the form in syntax.hpp. They are unified, as in CUE: all
// that either says must hold. What comes out has one value for each field, defaults filled in.
#ifndef BRASSFRONT_RECORDS_RECORDS_HPP_
#define BRASSFRONT_RECORDS_RECORDS_HPP_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "records/place.hpp"
#include "records/syntax.hpp"

namespace brassfront::records {

// One value. The accessors hold a schema's word: asking for another kind than the schema names, or
// for a field that it does not have, is a mistake in the program and throws std::logic_error.
class Record {
 public:
  using List = std::vector<Record>;
  using Struct = std::vector<std::pair<std::string, Record>>;  // in the order of the schema
  using Form = std::variant<bool, Number, std::string, List, Struct>;

  Record(Place at, Form form) : at_(std::move(at)), form_(std::move(form)) {}

  [[nodiscard]] const Place& at() const { return at_; }
  [[nodiscard]] const Form& form() const { return form_; }

  [[nodiscard]] bool Bool() const;
  [[nodiscard]] std::int64_t Int() const;
  [[nodiscard]] double Double() const;  // of an int or a number
  [[nodiscard]] const std::string& Text() const;
  [[nodiscard]] std::chrono::nanoseconds Duration() const;
  [[nodiscard]] std::int64_t Bytes() const;
  [[nodiscard]] double PerSecond() const;
  [[nodiscard]] const List& Items() const;
  [[nodiscard]] const Struct& Fields() const;

  [[nodiscard]] const Record& At(std::string_view name) const;
  [[nodiscard]] const Record* Find(
      std::string_view name) const;  // nullptr: an optional field that is not there

  // A fault at this value's place, for what no schema can say.
  [[nodiscard]] Fault Complain(std::string message) const { return {at_, std::move(message), {}}; }

  // On one line and the same for the same value, whatever the file looked like.
  [[nodiscard]] std::string Canonical() const;
  // JSON (RFC 8259); durations as ns, sizes as bytes, rates as events a second.
  [[nodiscard]] std::string Json() const;

 private:
  template <typename T>
  const T& As(const char* what) const;

  Place at_;
  Form form_;
};

struct Source {
  std::string_view text;
  std::string file;  // its name, for the faults
};

// The file, held against the schema's definition `name` (such as "#Scenario"). Throws BadRecords
// with all faults that were found, at most kMaxFaults.
inline constexpr std::size_t kMaxFaults = 20;
Record Load(const Source& file, const Source& schema, const std::string& name);

// A file by itself: each field must have a value. Definitions without one are no fault.
Record LoadAlone(const Source& file);

}  // namespace brassfront::records

#endif  // BRASSFRONT_RECORDS_RECORDS_HPP_
