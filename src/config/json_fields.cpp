#include "config/json_fields.hpp"

#include <functional>

namespace brassfront {

using json::Value;

double NumberOr(const Value& object, std::string_view name, double fallback) {
  const Value* field = object.Find(name);
  return field == nullptr ? fallback : field->Number();
}

std::size_t UnsignedIntegerOr(const Value& object, std::string_view name, std::size_t fallback) {
  const Value* field = object.Find(name);
  return field == nullptr ? fallback : field->UnsignedInteger();
}

std::chrono::nanoseconds TimeOr(const Value& object, std::string_view name,
                                std::chrono::nanoseconds fallback) {
  const Value* field = object.Find(name);
  return field == nullptr ? fallback : std::chrono::nanoseconds(field->UnsignedInteger());
}

bool BooleanOr(const Value& object, std::string_view name, bool fallback) {
  const Value* field = object.Find(name);
  return field == nullptr ? fallback : field->Boolean();
}

std::string TextOr(const Value& object, std::string_view name, std::string_view fallback) {
  const Value* field = object.Find(name);
  return field == nullptr ? std::string(fallback) : field->Text();
}

const Value::Array& ArrayOrEmpty(const Value& object, std::string_view name) {
  static const Value::Array kEmpty;
  const Value* field = object.Find(name);
  return field == nullptr ? kEmpty : field->Items();
}

const Value& ObjectOrEmpty(const Value& object, std::string_view name) {
  static const Value kEmpty;
  const Value* field = object.Find(name);
  return field == nullptr ? kEmpty : *field;
}

namespace {

std::size_t Combine(std::size_t hash, std::size_t value) { return hash * 1'000'003 ^ value; }

struct ValueHasher {
  std::size_t operator()(std::monostate) const { return 1; }
  std::size_t operator()(bool flag) const { return flag ? 3 : 2; }
  std::size_t operator()(double number) const { return std::hash<double>()(number); }
  std::size_t operator()(const std::string& text) const { return std::hash<std::string>()(text); }
  std::size_t operator()(const Value::Array& items) const {
    std::size_t hash = items.size();
    for (const Value& item : items) hash = Combine(hash, HashValue(item));
    return hash;
  }
  std::size_t operator()(const Value::Object& members) const {
    std::size_t hash = members.size();
    for (const auto& [name, value] : members) {
      hash = Combine(Combine(hash, (*this)(name)), HashValue(value));
    }
    return hash;
  }
};

}  // namespace

std::size_t HashValue(const Value& value) { return std::visit(ValueHasher{}, value.data()); }

}  // namespace brassfront
