#include "config/json_fields.hpp"

#include <functional>

namespace brassfront {

using json::Value;

double NumberOr(const Value& object, std::string_view name, double absent) {
  const Value* field = object.Find(name);
  return field == nullptr ? absent : field->Number();
}

std::size_t WholeOr(const Value& object, std::string_view name, std::size_t absent) {
  const Value* field = object.Find(name);
  return field == nullptr ? absent : field->UnsignedInteger();
}

std::chrono::nanoseconds TimeOr(const Value& object, std::string_view name,
                                std::chrono::nanoseconds absent) {
  const Value* field = object.Find(name);
  return field == nullptr ? absent : std::chrono::nanoseconds(field->UnsignedInteger());
}

bool FlagOr(const Value& object, std::string_view name, bool absent) {
  const Value* field = object.Find(name);
  return field == nullptr ? absent : field->Boolean();
}

std::string TextOr(const Value& object, std::string_view name, std::string_view absent) {
  const Value* field = object.Find(name);
  return field == nullptr ? std::string(absent) : field->Text();
}

const Value::Array& ItemsOrNone(const Value& object, std::string_view name) {
  static const Value::Array kNone;
  const Value* field = object.Find(name);
  return field == nullptr ? kNone : field->Items();
}

const Value& GroupOrNone(const Value& object, std::string_view name) {
  static const Value kNone;
  const Value* field = object.Find(name);
  return field == nullptr ? kNone : *field;
}

namespace {

std::size_t Combine(std::size_t hash, std::size_t more) { return hash * 1'000'003 ^ more; }

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
