// A strict JSON parser with limits on size and depth, for the configuration, discovery and
// responses to batches.
#ifndef BRASSFRONT_PROTOCOL_JSON_HPP_
#define BRASSFRONT_PROTOCOL_JSON_HPP_

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace brassfront::json {

// The text is not valid JSON, or a field is missing or has another type than expected.
class Error : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A parsed JSON value.
class Value {
 public:
  using Array = std::vector<Value>;
  using Object = std::vector<std::pair<std::string, Value>>;  // in the order of the document
  using Data = std::variant<std::monostate, bool, double, std::string, Array, Object>;

  Value() = default;
  explicit Value(Data data) : data_(std::move(data)) {}

  [[nodiscard]] bool IsNull() const { return std::holds_alternative<std::monostate>(data_); }
  [[nodiscard]] bool IsArray() const { return std::holds_alternative<Array>(data_); }
  [[nodiscard]] const Data& data() const { return data_; }
  // Returns null if the member is absent, or if this is not an object.
  [[nodiscard]] const Value* Find(std::string_view name) const;

  // These throw Error with the name or type that was expected.
  [[nodiscard]] const Value& At(std::string_view name) const;
  [[nodiscard]] const std::string& Text() const;
  [[nodiscard]] double Number() const;
  [[nodiscard]] std::uint64_t UnsignedInteger() const;
  [[nodiscard]] bool Boolean() const;
  [[nodiscard]] const Array& Items() const;

 private:
  Data data_;
};

// The limits of a text to be parsed: its size and its nesting depth.
struct Bounds {
  std::size_t bytes = 1 << 20;
  std::size_t depth = 32;
};

// Parses the complete text as one value. Throws Error with the byte offset of the error.
Value Parse(std::string_view text, const Bounds& bounds = {});

// Formats the text as a JSON string, including the quotes.
std::string Quote(std::string_view text);

}  // namespace brassfront::json

#endif  // BRASSFRONT_PROTOCOL_JSON_HPP_
