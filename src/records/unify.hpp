// Evaluation and unification of record expressions; records.hpp explains their purpose.
#ifndef BRASSFRONT_RECORDS_UNIFY_HPP_
#define BRASSFRONT_RECORDS_UNIFY_HPP_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "records/records.hpp"
#include "records/syntax.hpp"

namespace brassfront::records {

enum class Kind { kAny, kBool, kInt, kNumber, kString, kDuration, kSize, kRate, kList, kStruct };

struct Value;
using ValuePtr = std::shared_ptr<const Value>;

// The constraints on one alternative of a value, with the value itself if it is known.
struct Term {
  using Scalar = std::variant<bool, Number, std::string>;
  struct BoundAt {
    Expression::Bound bound;
    Place at;
  };
  struct Slot {
    std::string name;
    Place at;
    bool optional = false;
    ValuePtr value;
  };

  Kind kind = Kind::kAny;
  Place at;
  std::optional<Scalar> scalar;
  std::vector<BoundAt> bounds;
  std::vector<Slot> fields;  // if it is a struct
  bool closed = false;
  std::vector<ValuePtr> items;  // if it is a list
  ValuePtr rest;                // type of any further items; null: there are none
};

struct Value {
  struct Alternative {
    Term term;
    bool preferred = false;
  };
  std::vector<Alternative> alternatives;  // never empty
  bool has_default = false;
};

// The definitions that a reference may name: those of a struct, then those of the enclosing scopes.
struct Scope {
  const Expression::Struct* definitions = nullptr;
  const Scope* outer = nullptr;
};

class Evaluator {
 public:
  // Thrown if a file needs too many evaluation steps. All other faults are collected, up to
  // kMaxFaults.
  struct StepLimitExceeded {
    Fault fault;
  };

  // Returns nullptr and adds faults if the expression is invalid. `closing`: whether structs reject
  // undeclared fields, as in definitions.
  ValuePtr Evaluate(const Expression& expression, const Scope& scope, bool closing);
  // Returns the value that satisfies both; nullptr, with faults, if there is none. Faults describe
  // `declared` as what was expected. A default in `found` overrides one in `declared`.
  ValuePtr Unify(const Value& declared, const Value& found);
  // Returns the value of a field; `name` and `owner` are used in faults.
  std::optional<Record> Finish(const Value& value, const std::string& name, const Place& owner);

  std::vector<Fault>& faults() { return faults_; }

 private:
  using OptionalTerm = std::optional<Term>;

  ValuePtr EvaluateName(const Expression& expression, const std::string& name);
  ValuePtr EvaluateReference(const Expression& expression, const std::string& name,
                             const Scope& scope);
  ValuePtr EvaluateDefinition(const Expression& reference, const Field& definition,
                              const Scope& scope);
  ValuePtr EvaluateList(const Expression& expression, const Expression::List& form,
                        const Scope& scope, bool closing);
  ValuePtr EvaluateAnd(const Expression::And& form, const Scope& scope, bool closing);
  ValuePtr EvaluateOr(const Expression::Or& form, const Scope& scope, bool closing);
  std::optional<Record> FinishList(const Term& term, const std::string& name);
  std::optional<Record> FinishStruct(const Term& term);
  ValuePtr EvaluateStruct(const Expression& expression, const Expression::Struct& form,
                          const Scope& scope, bool closing);

  OptionalTerm UnifyTerms(const Term& a, const Term& b);
  bool UnifyStructs(const Term& a, const Term& b, Term& out);
  bool UnifyLists(const Term& a, const Term& b, Term& out);
  bool HoldsBounds(const Term& term);
  ValuePtr ReportNoMatch(const Value& declared, const Value& found,
                         std::vector<std::vector<Fault>> all_faults);
  void CountStep(const Place& at);
  void Complain(Place at, std::string message, Place declared = {});

  std::vector<Fault> faults_;
  std::map<const Expression*, ValuePtr> evaluated_definitions_;
  std::vector<const Expression*> evaluating_;  // to detect cycles of definitions
  std::size_t steps_ = 0;
};

// Returns a readable description, such as `duration >=1ms`, `"a" | "b"` or `a list of 2 items`.
std::string Describe(const Value& value);
std::string Describe(const Term& term);

}  // namespace brassfront::records

#endif  // BRASSFRONT_RECORDS_UNIFY_HPP_
