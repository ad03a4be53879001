// A strict reader of JSON with bounds, for configuration, discovery and answers to bundles.
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

class Error : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Value {
 public:
  using Array = std::vector<Value>;
  using Object = std::vector<std::pair<std::string, Value>>;  // in the order of the text
  using Data = std::variant<std::monostate, bool, double, std::string, Array, Object>;

  Value() = default;
  explicit Value(Data data) : data_(std::move(data)) {}

  [[nodiscard]] bool IsNull() const { return std::holds_alternative<std::monostate>(data_); }
  [[nodiscard]] bool IsArray() const { return std::holds_alternative<Array>(data_); }
  [[nodiscard]] const Data& data() const { return data_; }
  [[nodiscard]] const Value* Find(std::string_view name) const;  // null if absent or not an object

  // These throw Error, naming what was expected.
  [[nodiscard]] const Value& At(std::string_view name) const;
  [[nodiscard]] const std::string& Text() const;
  [[nodiscard]] double Number() const;
  [[nodiscard]] std::uint64_t UnsignedInteger() const;
  [[nodiscard]] bool Boolean() const;
  [[nodiscard]] const Array& Items() const;

 private:
  Data data_;
};

struct Bounds {
  std::size_t bytes = 1 << 20;
  std::size_t depth = 32;
};

// Reads the whole text as one value; throws Error with the place of the fault.
Value Parse(std::string_view text, const Bounds& bounds = {});

// The text as a JSON string, quotes included.
std::string Quote(std::string_view text);

}  // namespace brassfront::json

#endif  // BRASSFRONT_PROTOCOL_JSON_HPP_
