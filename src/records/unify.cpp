#include "records/unify.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <type_traits>
#include <utility>

namespace brassfront::records {
namespace {

// Maximum number of evaluation steps; a file of a thousand records takes some 20,000.
constexpr std::size_t kMaxSteps = 500'000;

constexpr std::array<const char*, 10> kKindNames = {
    "any", "bool", "int", "number", "string", "duration", "size", "rate", "a list", "a struct"};
constexpr std::array<std::pair<const char*, Kind>, 10> kTypes = {{{"any", Kind::kAny},
                                                                  {"bool", Kind::kBool},
                                                                  {"int", Kind::kInt},
                                                                  {"number", Kind::kNumber},
                                                                  {"string", Kind::kString},
                                                                  {"duration", Kind::kDuration},
                                                                  {"size", Kind::kSize},
                                                                  {"rate", Kind::kRate},
                                                                  {"list", Kind::kList},
                                                                  {"struct", Kind::kStruct}}};

Kind KindOf(const Number& number) {
  switch (number.unit) {
    case Unit::kDuration:
      return Kind::kDuration;
    case Unit::kSize:
      return Kind::kSize;
    case Unit::kRate:
      return Kind::kRate;
    case Unit::kNone:
      break;
  }
  return number.whole ? Kind::kInt : Kind::kNumber;
}

ValuePtr Single(Term term) {
  Value value;
  value.alternatives.push_back({std::move(term), false});
  return std::make_shared<const Value>(std::move(value));
}

Term ScalarTerm(const Place& at, Kind kind, Term::Scalar scalar) {
  Term term;
  term.kind = kind;
  term.at = at;
  term.scalar = std::move(scalar);
  return term;
}

// Returns the kind that satisfies both; nothing if there is none.
std::optional<Kind> CommonKind(Kind a, Kind b) {
  if (a == Kind::kAny) return b;
  if (b == Kind::kAny || a == b) return a;
  const auto numbers = [](Kind x, Kind y) { return x == Kind::kInt && y == Kind::kNumber; };
  if (numbers(a, b) || numbers(b, a)) return Kind::kInt;
  return std::nullopt;
}

bool Equal(const Term::Scalar& a, const Term::Scalar& b) {
  const auto* x = std::get_if<Number>(&a);
  const auto* y = std::get_if<Number>(&b);
  if (x != nullptr && y != nullptr) return x->value == y->value && x->exact == y->exact;
  return a == b;
}

// Uses the largest unit in which the value is a whole number.
std::string DurationText(std::int64_t ns) {
  constexpr auto kUnits =
      std::to_array<std::pair<const char*, std::int64_t>>({{"h", 3'600'000'000'000},
                                                           {"m", 60'000'000'000},
                                                           {"s", 1'000'000'000},
                                                           {"ms", 1'000'000},
                                                           {"us", 1'000},
                                                           {"ns", 1}});
  for (const auto& [name, factor] : kUnits) {
    if (ns != 0 && ns % factor == 0) return std::to_string(ns / factor) + name;
  }
  return "0s";
}

std::string SizeText(std::int64_t bytes) {
  constexpr auto kUnits = std::to_array<std::pair<const char*, std::int64_t>>(
      {{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}});
  for (const auto& [name, factor] : kUnits) {
    if (bytes != 0 && bytes % factor == 0) return std::to_string(bytes / factor) + name;
  }
  return "0B";
}

std::string NumberText(const Number& number) {
  switch (number.unit) {
    case Unit::kDuration:
      return DurationText(number.exact);
    case Unit::kSize:
      return SizeText(number.exact);
    case Unit::kRate:
      return ShortestText(number.value) + "/s";
    case Unit::kNone:
      break;
  }
  return number.whole ? std::to_string(number.exact) : ShortestText(number.value);
}

std::string ScalarText(const Term::Scalar& scalar) {
  if (const auto* flag = std::get_if<bool>(&scalar)) return *flag ? "true" : "false";
  if (const auto* number = std::get_if<Number>(&scalar)) return NumberText(*number);
  return Quote(std::get<std::string>(scalar));
}

std::string BoundText(const Expression::Bound& bound) {
  constexpr std::array<const char*, 5> kRelations = {"<", "<=", ">", ">=", "!="};
  std::string text = kRelations[static_cast<std::size_t>(bound.relation)];
  if (const auto* number = std::get_if<Number>(&bound.limit)) return text + NumberText(*number);
  return text + Quote(std::get<std::string>(bound.limit));
}

bool Holds(const Expression::Bound& bound, const Term::Scalar& scalar) {
  if (const auto* text = std::get_if<std::string>(&scalar)) {
    const auto* limit = std::get_if<std::string>(&bound.limit);
    return limit == nullptr || *text != *limit;
  }
  const auto* number = std::get_if<Number>(&scalar);
  const auto* limit = std::get_if<Number>(&bound.limit);
  if (number == nullptr || limit == nullptr) return true;
  switch (bound.relation) {
    case Relation::kLess:
      return number->value < limit->value;
    case Relation::kAtMost:
      return number->value <= limit->value;
    case Relation::kMore:
      return number->value > limit->value;
    case Relation::kAtLeast:
      return number->value >= limit->value;
    case Relation::kNot:
      break;
  }
  return number->value != limit->value;
}

// Returns a term that allows any value within the bound.
Term BoundTerm(const Place& at, const Expression::Bound& bound) {
  Term term;
  term.at = at;
  const auto* number = std::get_if<Number>(&bound.limit);
  term.kind = number == nullptr ? Kind::kString : KindOf(*number);
  if (term.kind == Kind::kInt) term.kind = Kind::kNumber;
  term.bounds.push_back({bound, at});
  return term;
}

std::string DidYouMean(const std::string& name, const std::vector<std::string>& known) {
  const std::string near = Nearest(name, known);
  return near.empty() ? "" : ", did you mean " + near + "?";
}

const Term::Slot* FindSlot(const Term& term, const std::string& name) {
  const auto it = std::find_if(term.fields.begin(), term.fields.end(),
                               [&](const Term::Slot& slot) { return slot.name == name; });
  return it == term.fields.end() ? nullptr : &*it;
}

}  // namespace

void Evaluator::Complain(Place at, std::string message, Place declared) {
  if (faults_.size() >= kMaxFaults) return;
  faults_.push_back({std::move(at), std::move(message), std::move(declared)});
}

// Limits the number of evaluation steps, since even a short file with nested alternatives can
// expand to any number of them.
void Evaluator::CountStep(const Place& at) {
  if (++steps_ <= kMaxSteps) return;
  throw StepLimitExceeded{{at, "too much to evaluate: too many alternatives or records", {}}};
}

// ======== evaluation ========

ValuePtr Evaluator::Evaluate(const Expression& expression, const Scope& scope, bool closing) {
  CountStep(expression.at);
  const auto& form = expression.form;
  if (const auto* name = std::get_if<Expression::Name>(&form)) {
    return EvaluateName(expression, name->text);
  }
  if (const auto* reference = std::get_if<Expression::Reference>(&form)) {
    return EvaluateReference(expression, reference->text, scope);
  }
  if (const auto* number = std::get_if<Number>(&form)) {
    return Single(ScalarTerm(expression.at, KindOf(*number), *number));
  }
  if (const auto* text = std::get_if<std::string>(&form)) {
    return Single(ScalarTerm(expression.at, Kind::kString, *text));
  }
  if (const auto* bound = std::get_if<Expression::Bound>(&form)) {
    return Single(BoundTerm(expression.at, *bound));
  }
  if (const auto* fields = std::get_if<Expression::Struct>(&form)) {
    return EvaluateStruct(expression, *fields, scope, closing);
  }
  if (const auto* list = std::get_if<Expression::List>(&form)) {
    return EvaluateList(expression, *list, scope, closing);
  }
  if (const auto* parts = std::get_if<Expression::And>(&form)) {
    return EvaluateAnd(*parts, scope, closing);
  }
  return EvaluateOr(std::get<Expression::Or>(form), scope, closing);
}

ValuePtr Evaluator::EvaluateList(const Expression& expression, const Expression::List& form,
                                 const Scope& scope, bool closing) {
  Term term;
  term.kind = Kind::kList;
  term.at = expression.at;
  for (const ExpressionPtr& item : form.items) {
    ValuePtr value = Evaluate(*item, scope, closing);
    if (!value) return nullptr;
    term.items.push_back(std::move(value));
  }
  if (form.rest) {
    term.rest = Evaluate(*form.rest, scope, closing);
    if (!term.rest) return nullptr;
  }
  return Single(std::move(term));
}

ValuePtr Evaluator::EvaluateAnd(const Expression::And& form, const Scope& scope, bool closing) {
  ValuePtr all;
  for (const ExpressionPtr& part : form.parts) {
    ValuePtr value = Evaluate(*part, scope, closing);
    if (!value) return nullptr;
    all = all ? Unify(*all, *value) : std::move(value);
    if (!all) return nullptr;
  }
  return all;
}

ValuePtr Evaluator::EvaluateOr(const Expression::Or& form, const Scope& scope, bool closing) {
  Value any_of;
  for (const Expression::Or::Choice& choice : form.choices) {
    const ValuePtr value = Evaluate(*choice.value, scope, closing);
    if (!value) return nullptr;
    for (Value::Alternative alternative : value->alternatives) {
      alternative.preferred = choice.preferred && (alternative.preferred || !value->has_default);
      any_of.has_default |= alternative.preferred;
      any_of.alternatives.push_back(std::move(alternative));
    }
  }
  return std::make_shared<const Value>(std::move(any_of));
}

ValuePtr Evaluator::EvaluateName(const Expression& expression, const std::string& name) {
  if (name == "true" || name == "false") {
    return Single(ScalarTerm(expression.at, Kind::kBool, name == "true"));
  }
  std::vector<std::string> known = {"true", "false"};
  for (const auto& [type, kind] : kTypes) {
    known.push_back(type);
    if (name != type) continue;
    Term term;
    term.at = expression.at;
    term.kind = kind;
    if (kind == Kind::kList) term.rest = Single({});
    return Single(std::move(term));
  }
  Complain(expression.at, "expected a type, a value or #Name, found " + name +
                              (DidYouMean(name, known).empty() ? " (text stands in double quotes)"
                                                               : DidYouMean(name, known)));
  return nullptr;
}

ValuePtr Evaluator::EvaluateReference(const Expression& expression, const std::string& name,
                                      const Scope& scope) {
  std::vector<std::string> known;
  for (const Scope* level = &scope; level != nullptr; level = level->outer) {
    if (level->definitions == nullptr) continue;
    const Field* found = nullptr;
    for (const Field& field : level->definitions->fields) {
      if (field.name[0] == '#') known.push_back(field.name);
      if (field.name != name) continue;
      if (found != nullptr) {
        Complain(field.at, name + " is defined twice", found->at);
        return nullptr;
      }
      found = &field;
    }
    if (found != nullptr) return EvaluateDefinition(expression, *found, *level);
  }
  Complain(expression.at, "no definition " + name + DidYouMean(name, known));
  return nullptr;
}

ValuePtr Evaluator::EvaluateDefinition(const Expression& reference, const Field& definition,
                                       const Scope& scope) {
  const Expression* value = definition.value.get();
  if (const auto known = evaluated_definitions_.find(value);
      known != evaluated_definitions_.end()) {
    return known->second;
  }
  if (std::find(evaluating_.begin(), evaluating_.end(), value) != evaluating_.end()) {
    Complain(reference.at, definition.name + " refers to itself", definition.at);
    return nullptr;
  }
  evaluating_.push_back(value);
  ValuePtr evaluated = Evaluate(*value, scope, true);
  evaluating_.pop_back();
  return evaluated_definitions_.emplace(value, std::move(evaluated)).first->second;
}

ValuePtr Evaluator::EvaluateStruct(const Expression& expression, const Expression::Struct& form,
                                   const Scope& scope, bool closing) {
  const Scope inner{&form, &scope};
  Term term;
  term.kind = Kind::kStruct;
  term.at = expression.at;
  term.closed = closing && !form.open;
  bool good = true;
  for (const Field& field : form.fields) {
    if (field.name[0] == '#') continue;
    ValuePtr value = Evaluate(*field.value, inner, closing);
    if (!value) {
      good = false;
      continue;
    }
    const auto same = std::find_if(term.fields.begin(), term.fields.end(),
                                   [&](const Term::Slot& slot) { return slot.name == field.name; });
    if (same == term.fields.end()) {
      term.fields.push_back({field.name, field.at, field.optional, std::move(value)});
      continue;
    }
    same->value = Unify(*same->value, *value);
    same->optional = same->optional && field.optional;
    if (!same->value) return nullptr;
  }
  return good ? Single(std::move(term)) : nullptr;
}

// ======== unification ========

ValuePtr Evaluator::Unify(const Value& declared, const Value& found) {
  const bool only = declared.alternatives.size() == 1 && found.alternatives.size() == 1;
  Value out;
  std::vector<std::vector<Fault>> all_faults;
  for (const Value::Alternative& a : declared.alternatives) {
    for (const Value::Alternative& b : found.alternatives) {
      std::vector<Fault> before;
      if (!only) before.swap(faults_);
      OptionalTerm term = UnifyTerms(a.term, b.term);
      if (!only) {
        all_faults.push_back(std::exchange(faults_, std::move(before)));
      }
      if (!term) continue;
      // Unlike in CUE, the later default wins, so that a file can override defaults.
      const bool preferred = found.has_default ? b.preferred : a.preferred;
      out.has_default |= preferred;
      out.alternatives.push_back({std::move(*term), preferred});
    }
  }
  if (!out.alternatives.empty()) return std::make_shared<const Value>(std::move(out));
  if (only) return nullptr;
  return ReportNoMatch(declared, found, std::move(all_faults));
}

// Reports that no alternative matches: either with the faults of the alternative that was most
// likely intended, or with the list of alternatives.
ValuePtr Evaluator::ReportNoMatch(const Value& declared, const Value& found,
                                  std::vector<std::vector<Fault>> all_faults) {
  const Term& term = found.alternatives.front().term;
  const std::vector<Fault>* best = nullptr;
  std::vector<std::string> texts;
  bool only_scalars = true;
  for (std::size_t i = 0; i < declared.alternatives.size(); ++i) {
    const Term& choice = declared.alternatives[i].term;
    if (choice.scalar) {
      if (const auto* text = std::get_if<std::string>(&*choice.scalar)) {
        texts.push_back(Quote(*text));
      }
      continue;
    }
    only_scalars = false;
    if (!CommonKind(choice.kind, term.kind)) continue;
    const std::vector<Fault>& faults = all_faults[i * found.alternatives.size()];
    if (best == nullptr || faults.size() < best->size()) best = &faults;
  }
  if (best != nullptr && !only_scalars && !best->empty()) {
    for (const Fault& fault : *best) Complain(fault.at, fault.message, fault.declared);
    return nullptr;
  }
  std::string message = "expected " + Describe(declared) + ", found " + Describe(found);
  if (term.scalar && std::holds_alternative<std::string>(*term.scalar)) {
    message += DidYouMean(ScalarText(*term.scalar), texts);
  }
  Complain(term.at, std::move(message), declared.alternatives.front().term.at);
  return nullptr;
}

Evaluator::OptionalTerm Evaluator::UnifyTerms(const Term& a, const Term& b) {
  CountStep(b.at);
  const auto kind = CommonKind(a.kind, b.kind);
  if (!kind) {
    Complain(b.at, "expected " + Describe(a) + ", found " + Describe(b), a.at);
    return std::nullopt;
  }
  Term out;
  out.kind = *kind;
  out.at = b.kind == Kind::kAny || (a.scalar && !b.scalar) ? a.at : b.at;
  out.bounds = a.bounds;
  out.bounds.insert(out.bounds.end(), b.bounds.begin(), b.bounds.end());
  if (a.scalar && b.scalar && !Equal(*a.scalar, *b.scalar)) {
    Complain(b.at, "expected " + ScalarText(*a.scalar) + ", found " + ScalarText(*b.scalar), a.at);
    return std::nullopt;
  }
  out.scalar = b.scalar ? b.scalar : a.scalar;
  if (*kind == Kind::kInt && out.scalar && !std::get<Number>(*out.scalar).whole) {
    Complain(b.at, "expected " + Describe(a) + ", found " + Describe(b), a.at);
    return std::nullopt;
  }
  bool good = HoldsBounds(out);
  if (*kind == Kind::kStruct) good &= UnifyStructs(a, b, out);
  if (*kind == Kind::kList) good &= UnifyLists(a, b, out);
  if (!good) return std::nullopt;
  return out;
}

bool Evaluator::HoldsBounds(const Term& term) {
  if (!term.scalar) return true;
  for (const Term::BoundAt& b : term.bounds) {
    if (Holds(b.bound, *term.scalar)) continue;
    Complain(term.at, "expected " + BoundText(b.bound) + ", found " + ScalarText(*term.scalar),
             b.at);
    return false;
  }
  return true;
}

bool Evaluator::UnifyStructs(const Term& a, const Term& b, Term& out) {
  out.closed = a.closed || b.closed;
  bool good = true;
  const auto check_closed = [&](const Term& closed, const Term& other) {
    if (!closed.closed) return;
    std::vector<std::string> known;
    for (const Term::Slot& slot : closed.fields) known.push_back(slot.name);
    for (const Term::Slot& slot : other.fields) {
      if (FindSlot(closed, slot.name) != nullptr) continue;
      Complain(slot.at, "unknown field " + slot.name + DidYouMean(slot.name, known), closed.at);
      good = false;
    }
  };
  check_closed(a, b);
  check_closed(b, a);
  for (const Term::Slot& slot : a.fields) {
    const Term::Slot* same = FindSlot(b, slot.name);
    if (same == nullptr) {
      out.fields.push_back(slot);
      continue;
    }
    ValuePtr value = Unify(*slot.value, *same->value);
    good &= value != nullptr;
    out.fields.push_back({slot.name, same->at, slot.optional && same->optional, std::move(value)});
  }
  for (const Term::Slot& slot : b.fields) {
    if (FindSlot(a, slot.name) == nullptr) out.fields.push_back(slot);
  }
  return good;
}

bool Evaluator::UnifyLists(const Term& a, const Term& b, Term& out) {
  const std::size_t count = std::max(a.items.size(), b.items.size());
  const auto too_short = [&](const Term& term) { return term.items.size() < count && !term.rest; };
  if (too_short(a) || too_short(b)) {
    Complain(b.at, "expected " + Describe(a) + ", found " + Describe(b), a.at);
    return false;
  }
  bool good = true;
  for (std::size_t i = 0; i < count; ++i) {
    const ValuePtr& x = i < a.items.size() ? a.items[i] : a.rest;
    const ValuePtr& y = i < b.items.size() ? b.items[i] : b.rest;
    ValuePtr value = Unify(*x, *y);
    good &= value != nullptr;
    out.items.push_back(std::move(value));
  }
  if (a.rest && b.rest) {
    // It is not a fault if the types of further items cannot be unified, since there may be no
    // further items.
    std::vector<Fault> before = faults_;
    out.rest = Unify(*a.rest, *b.rest);
    faults_ = std::move(before);
  }
  return good;
}

// ======== one value for each field ========

std::optional<Record> Evaluator::Finish(const Value& value, const std::string& name,
                                        const Place& owner) {
  const Value::Alternative* chosen = nullptr;
  bool one = true;
  for (const Value::Alternative& alternative : value.alternatives) {
    if (value.has_default && !alternative.preferred) continue;
    if (chosen == nullptr) {
      chosen = &alternative;
    } else if (!alternative.term.scalar || !chosen->term.scalar ||
               !Equal(*alternative.term.scalar, *chosen->term.scalar)) {
      one = false;
    }
  }
  const Term& term = chosen->term;
  const bool has_value = term.scalar || term.kind == Kind::kStruct || term.kind == Kind::kList;
  if (!one || !has_value) {
    Complain(owner.file ? owner : term.at, "no value for " + name + ": expected " + Describe(value),
             term.at);
    return std::nullopt;
  }
  if (term.scalar) {
    return std::visit([&](const auto& scalar) { return Record(term.at, scalar); }, *term.scalar);
  }
  return term.kind == Kind::kList ? FinishList(term, name) : FinishStruct(term);
}

std::optional<Record> Evaluator::FinishList(const Term& term, const std::string& name) {
  bool good = true;
  Record::List items;
  for (std::size_t i = 0; i < term.items.size(); ++i) {
    auto item = Finish(*term.items[i], name + "[" + std::to_string(i) + "]", term.at);
    good &= item.has_value();
    if (item) items.push_back(std::move(*item));
  }
  if (!good) return std::nullopt;
  return Record(term.at, std::move(items));
}

std::optional<Record> Evaluator::FinishStruct(const Term& term) {
  bool good = true;
  Record::Struct fields;
  for (const Term::Slot& slot : term.fields) {
    if (slot.optional) continue;  // declared but not given
    auto field = Finish(*slot.value, slot.name, term.at);
    good &= field.has_value();
    if (field) fields.emplace_back(slot.name, std::move(*field));
  }
  if (!good) return std::nullopt;
  return Record(term.at, std::move(fields));
}

// ======== descriptions for faults ========

std::string Describe(const Term& term) {
  if (term.scalar) return ScalarText(*term.scalar);
  std::string text = kKindNames[static_cast<std::size_t>(term.kind)];
  if (term.kind == Kind::kList) {
    const std::size_t n = term.items.size();
    const std::string count = std::to_string(n) + (n == 1 ? " item" : " items");
    return "a list of " + (term.rest ? (n == 0 ? "any length" : "at least " + count) : count);
  }
  for (const Term::BoundAt& b : term.bounds) text += " " + BoundText(b.bound);
  return text;
}

std::string Describe(const Value& value) {
  std::string text;
  for (const Value::Alternative& a : value.alternatives) {
    if (!text.empty()) text += " | ";
    text += Describe(a.term);
  }
  return text;
}

}  // namespace brassfront::records
