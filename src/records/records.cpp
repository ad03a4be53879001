#include "records/records.hpp"

#include <algorithm>
#include <stdexcept>

#include "records/unify.hpp"

namespace brassfront::records {
namespace {

std::string NumberText(const Number& number, bool json) {
  switch (number.unit) {
    case Unit::kDuration:
      return std::to_string(number.exact) + (json ? "" : "ns");
    case Unit::kSize:
      return std::to_string(number.exact) + (json ? "" : "B");
    case Unit::kRate:
      return ShortestText(number.value) + (json ? "" : "/s");
    case Unit::kNone:
      break;
  }
  return number.whole ? std::to_string(number.exact) : ShortestText(number.value);
}

std::string Text(const Record& record, bool json) {
  const Record::Form& form = record.form();
  if (const auto* flag = std::get_if<bool>(&form)) return *flag ? "true" : "false";
  if (const auto* number = std::get_if<Number>(&form)) return NumberText(*number, json);
  if (const auto* text = std::get_if<std::string>(&form)) return Quote(*text);
  std::string out;
  if (const auto* list = std::get_if<Record::List>(&form)) {
    for (const Record& item : *list) out += (out.empty() ? "" : ", ") + Text(item, json);
    return "[" + out + "]";
  }
  for (const auto& [name, value] : std::get<Record::Struct>(form)) {
    if (!out.empty()) out += ", ";
    out += Quote(name) + ": " + Text(value, json);
  }
  return "{" + out + "}";
}

[[noreturn]] void ThrowMisuse(const Record& record, const std::string& what) {
  throw std::logic_error("records: " + record.at().Text() + ": the program expects " + what);
}

// Runs one evaluation. Throws BadRecords with its faults if there are any.
template <typename Work>
Record Run(Work work) {
  Evaluator evaluator;
  std::optional<Record> record;
  try {
    record = work(evaluator);
  } catch (const Evaluator::StepLimitExceeded& exceeded) {
    ThrowFault(exceeded.fault.at, exceeded.fault.message);
  }
  if (!evaluator.faults().empty()) throw BadRecords(evaluator.faults());
  if (!record) throw std::logic_error("records: evaluation failed without a fault");
  return std::move(*record);
}

}  // namespace

template <typename T>
const T& Record::As(const char* what) const {
  const T* value = std::get_if<T>(&form_);
  if (value == nullptr) ThrowMisuse(*this, what);
  return *value;
}

bool Record::Bool() const { return As<bool>("a bool"); }
const std::string& Record::Text() const { return As<std::string>("a string"); }
const Record::List& Record::Items() const { return As<List>("a list"); }
const Record::Struct& Record::Fields() const { return As<Struct>("a struct"); }

std::int64_t Record::Int() const {
  const auto& number = As<Number>("an int");
  if (number.unit != Unit::kNone || !number.whole) ThrowMisuse(*this, "an int");
  return number.exact;
}

double Record::Double() const {
  const auto& number = As<Number>("a number");
  if (number.unit != Unit::kNone) ThrowMisuse(*this, "a number");
  return number.value;
}

std::chrono::nanoseconds Record::Duration() const {
  const auto& number = As<Number>("a duration");
  if (number.unit != Unit::kDuration) ThrowMisuse(*this, "a duration");
  return std::chrono::nanoseconds(number.exact);
}

std::int64_t Record::Bytes() const {
  const auto& number = As<Number>("a size");
  if (number.unit != Unit::kSize) ThrowMisuse(*this, "a size");
  return number.exact;
}

double Record::PerSecond() const {
  const auto& number = As<Number>("a rate");
  if (number.unit != Unit::kRate) ThrowMisuse(*this, "a rate");
  return number.value;
}

const Record* Record::Find(std::string_view name) const {
  const Struct& fields = Fields();
  const auto it = std::find_if(fields.begin(), fields.end(),
                               [&](const auto& field) { return field.first == name; });
  return it == fields.end() ? nullptr : &it->second;
}

const Record& Record::At(std::string_view name) const {
  const Record* field = Find(name);
  if (field == nullptr) ThrowMisuse(*this, "a field " + std::string(name));
  return *field;
}

std::string Record::Canonical() const { return records::Text(*this, false); }
std::string Record::Json() const { return records::Text(*this, true); }

Record Load(const Source& file, const Source& schema, const std::string& name) {
  const ExpressionPtr declared = ParseRecords(schema.text, schema.file);
  const ExpressionPtr found = ParseRecords(file.text, file.file);
  return Run([&](Evaluator& evaluator) -> std::optional<Record> {
    const Expression reference{{}, Expression::Reference{name}};
    const Scope of_schema{&std::get<Expression::Struct>(declared->form), nullptr};
    const ValuePtr declared_value = evaluator.Evaluate(reference, of_schema, true);
    // The file may also use the schema's definitions; its own ones take precedence.
    const ValuePtr file_value = evaluator.Evaluate(*found, of_schema, false);
    if (!declared_value || !file_value) return std::nullopt;
    const ValuePtr unified = evaluator.Unify(*declared_value, *file_value);
    if (!unified) return std::nullopt;
    return evaluator.Finish(*unified, name, {});
  });
}

Record LoadAlone(const Source& file) {
  const ExpressionPtr found = ParseRecords(file.text, file.file);
  return Run([&](Evaluator& evaluator) -> std::optional<Record> {
    const Scope nothing;
    const ValuePtr file_value = evaluator.Evaluate(*found, nothing, false);
    if (!file_value) return std::nullopt;
    return evaluator.Finish(*file_value, "the file", {});
  });
}

}  // namespace brassfront::records
