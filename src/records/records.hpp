// Typed operator records: reads a file and checks it against a schema.
//
// A schema and a file are both written in the syntax described in syntax.hpp. They are unified, as
// in CUE: the result satisfies the constraints of both. It has one value for each field; defaults
// are filled in.
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

// One value. The accessors rely on the schema: calling one for another type than the schema
// declares, or for a field that the schema does not declare, is a bug and throws std::logic_error.
class Record {
 public:
  using List = std::vector<Record>;
  using Struct = std::vector<std::pair<std::string, Record>>;  // in the schema's order
  using Form = std::variant<bool, Number, std::string, List, Struct>;

  Record(Place at, Form form) : at_(std::move(at)), form_(std::move(form)) {}

  [[nodiscard]] const Place& at() const { return at_; }
  [[nodiscard]] const Form& form() const { return form_; }

  [[nodiscard]] bool Bool() const;
  [[nodiscard]] std::int64_t Int() const;
  [[nodiscard]] double Double() const;  // value of an int or a number
  [[nodiscard]] const std::string& Text() const;
  [[nodiscard]] std::chrono::nanoseconds Duration() const;
  [[nodiscard]] std::int64_t Bytes() const;
  [[nodiscard]] double PerSecond() const;
  [[nodiscard]] const List& Items() const;
  [[nodiscard]] const Struct& Fields() const;

  [[nodiscard]] const Record& At(std::string_view name) const;
  // Returns nullptr if an optional field is absent.
  [[nodiscard]] const Record* Find(std::string_view name) const;

  // Returns a fault at this value's place, for constraints that a schema cannot express.
  [[nodiscard]] Fault Complain(std::string message) const { return {at_, std::move(message), {}}; }

  // Returns the value on one line. The text depends only on the value, not on the file's
  // formatting.
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
  std::string file;  // name of the file, for fault messages
};

// Reads a file and checks it against the schema's definition `name` (such as "#Scenario"). Throws
// BadRecords with all faults that were found, at most kMaxFaults.
inline constexpr std::size_t kMaxFaults = 20;
Record Load(const Source& file, const Source& schema, const std::string& name);

// Reads a file without a schema. Each field must have a value; definitions need not have one.
Record LoadAlone(const Source& file);

}  // namespace brassfront::records

#endif  // BRASSFRONT_RECORDS_RECORDS_HPP_
