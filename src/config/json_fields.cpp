#include "config/json_fields.hpp"

namespace brassfront {

using json::Value;

double NumberOr(const Value& object, std::string_view name, double absent) {
  const Value* field = object.Find(name);
  return field == nullptr ? absent : field->Number();
}

std::size_t WholeOr(const Value& object, std::string_view name, std::size_t absent) {
  const Value* field = object.Find(name);
  return field == nullptr ? absent : field->Whole();
}

std::chrono::nanoseconds TimeOr(const Value& object, std::string_view name,
                                std::chrono::nanoseconds absent) {
  const Value* field = object.Find(name);
  return field == nullptr ? absent : std::chrono::nanoseconds(field->Whole());
}

bool FlagOr(const Value& object, std::string_view name, bool absent) {
  const Value* field = object.Find(name);
  return field == nullptr ? absent : field->Flag();
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

}  // namespace brassfront
