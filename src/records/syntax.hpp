// The form of operator files: typed records, much like CUE's (cuelang.org, "The CUE Language
// Specification"), in a subset. Text in, a tree of expressions out; nothing is evaluated here.
//
//   // a definition: closed, reusable
//   #Partner: {
//     name:  string
//     kind:  "big-retail" | *"small-shop"        // one of; * marks the default
//     pace:  duration & >=1ms & <=10s | *120ms   // a type, bounds, a default
//     note?: string                              // may be left out
//   }
//   partners: [...#Partner]                      // a list of any length
//   partners: [{name: "evergreen"}]              // the same field again: both must hold
#ifndef BRASSFRONT_RECORDS_SYNTAX_HPP_
#define BRASSFRONT_RECORDS_SYNTAX_HPP_

#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "records/place.hpp"

namespace brassfront::records {

inline constexpr std::size_t kMaxBytes = 1 << 20;  // of a file
inline constexpr std::size_t kMaxDepth = 48;       // of braces, brackets and parentheses

// What a number without a unit, or with one, measures.
enum class Unit { kNone, kDuration, kSize, kRate };

struct Number {
  Unit unit = Unit::kNone;
  bool whole = true;       // written without a fraction and not as a percentage
  std::int64_t exact = 0;  // with kNone and whole; ns of a duration; bytes of a size
  double value = 0;        // the same as a fraction; a rate's events a second

  friend bool operator==(const Number&, const Number&) = default;
};

// The shortest that reads back as the same value.
std::string ShortestText(double value);

enum class Relation { kLess, kAtMost, kMore, kAtLeast, kNot };

struct Expression;
using ExpressionPtr = std::shared_ptr<const Expression>;

struct Field {
  Place at;
  std::string name;  // a definition's has its # in front
  bool optional = false;
  ExpressionPtr value;
};

struct Expression {
  struct Name {  // of a type, `true`, `false`
    std::string text;
  };
  struct Reference {  // to a definition
    std::string text;
  };
  struct Bound {
    Relation relation;
    std::variant<Number, std::string> limit;
  };
  struct Struct {
    std::vector<Field> fields;
    bool open = false;  // has `...`
  };
  struct List {
    std::vector<ExpressionPtr> items;
    ExpressionPtr rest;  // of any further ones; none: there are none
  };
  struct And {
    std::vector<ExpressionPtr> parts;
  };
  struct Or {
    struct Choice {
      bool preferred = false;
      ExpressionPtr value;
    };
    std::vector<Choice> choices;
  };

  Place at;
  std::variant<Name, Reference, Number, std::string, Bound, Struct, List, And, Or> form;
};

// The file's fields as one struct. Throws BadRecords with one fault.
ExpressionPtr ParseRecords(std::string_view text, const std::string& file);

// Throws BadRecords where the file cannot be read or is too large.
std::string ReadRecordFile(const std::string& path);

}  // namespace brassfront::records

#endif  // BRASSFRONT_RECORDS_SYNTAX_HPP_
