// Fields of a JSON object that may be absent. Each function throws json::Error if the field is
// there and has another type.
#ifndef BRASSFRONT_CONFIG_JSON_FIELDS_HPP_
#define BRASSFRONT_CONFIG_JSON_FIELDS_HPP_

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

#include "protocol/json.hpp"

namespace brassfront {

double NumberOr(const json::Value& object, std::string_view name, double absent);
// Of 0 or more.
std::size_t WholeOr(const json::Value& object, std::string_view name, std::size_t absent);
// In the file, times are whole nanoseconds.
std::chrono::nanoseconds TimeOr(const json::Value& object, std::string_view name,
                                std::chrono::nanoseconds absent);
bool FlagOr(const json::Value& object, std::string_view name, bool absent);
std::string TextOr(const json::Value& object, std::string_view name, std::string_view absent);
// An empty list if absent. Valid as long as the object.
const json::Value::Array& ItemsOrNone(const json::Value& object, std::string_view name);
// An empty value, in which each field is absent, if absent. Valid as long as the object.
const json::Value& GroupOrNone(const json::Value& object, std::string_view name);

// The same for equal values, whatever their layout in the text.
[[nodiscard]] std::size_t HashValue(const json::Value& value);

}  // namespace brassfront

#endif  // BRASSFRONT_CONFIG_JSON_FIELDS_HPP_
