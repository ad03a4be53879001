// Reads optional fields of a JSON object. Each function throws json::Error if the field is present
// but has another type.
#ifndef BRASSFRONT_CONFIG_JSON_FIELDS_HPP_
#define BRASSFRONT_CONFIG_JSON_FIELDS_HPP_

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

#include "protocol/json.hpp"

namespace brassfront {

double NumberOr(const json::Value& object, std::string_view name, double fallback);
// Reads an integer of 0 or more.
std::size_t UnsignedIntegerOr(const json::Value& object, std::string_view name,
                              std::size_t fallback);
// Reads a time in integer nanoseconds.
std::chrono::nanoseconds TimeOr(const json::Value& object, std::string_view name,
                                std::chrono::nanoseconds fallback);
bool BooleanOr(const json::Value& object, std::string_view name, bool fallback);
std::string TextOr(const json::Value& object, std::string_view name, std::string_view fallback);
// Returns an empty list if the field is absent. The reference is valid as long as `object`.
const json::Value::Array& ArrayOrEmpty(const json::Value& object, std::string_view name);
// Returns an empty value, which has no fields, if the field is absent. The reference is valid as
// long as `object`.
const json::Value& ObjectOrEmpty(const json::Value& object, std::string_view name);

// Equal values have equal hashes, regardless of their formatting in the JSON text.
[[nodiscard]] std::size_t HashValue(const json::Value& value);

}  // namespace brassfront

#endif  // BRASSFRONT_CONFIG_JSON_FIELDS_HPP_
