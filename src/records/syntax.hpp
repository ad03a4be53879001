// The syntax of operator files: typed records in a language close to a subset of CUE (cuelang.org,
// "The CUE Language Specification"). The parser turns text into a tree of expressions and evaluates
// nothing.
//
//   // a definition: closed, reusable
//   #Partner: {
//     name:  string
//     kind:  "big-retail" | *"small-shop"        // alternatives; * marks the default
//     pace:  duration & >=1ms & <=10s | *120ms   // a type, bounds, a default
//     note?: string                              // optional
//   }
//   partners: [...#Partner]                      // a list of any length
//   partners: [{name: "evergreen"}]              // the same field again: both apply
#ifndef BRASSFRONT_RECORDS_SYNTAX_HPP_
#define BRASSFRONT_RECORDS_SYNTAX_HPP_

#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "records/place.hpp"

namespace brassfront::records {

inline constexpr std::size_t kMaxBytes = 1 << 20;  // maximum size of a file
inline constexpr std::size_t kMaxDepth = 48;  // maximum nesting of braces, brackets and parentheses

// The quantity that a number measures; kNone is a number without a unit.
enum class Unit { kNone, kDuration, kSize, kRate };

struct Number {
  Unit unit = Unit::kNone;
  bool whole = true;       // written without a fraction and not as a percentage
  std::int64_t exact = 0;  // value of an int, ns of a duration, bytes of a size
  double value = 0;        // the same value as a double; events a second of a rate

  friend bool operator==(const Number&, const Number&) = default;
};

// Returns the shortest text that parses to the same value.
std::string ShortestText(double value);

enum class Relation { kLess, kAtMost, kMore, kAtLeast, kNot };

struct Expression;
using ExpressionPtr = std::shared_ptr<const Expression>;

struct Field {
  Place at;
  std::string name;  // that of a definition begins with #
  bool optional = false;
  ExpressionPtr value;
};

struct Expression {
  struct Name {  // name of a type, `true` or `false`
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
    ExpressionPtr rest;  // type of any further items; null: there are none
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

// Parses a file and returns its fields as one struct. Throws BadRecords with one fault.
ExpressionPtr ParseRecords(std::string_view text, const std::string& file);

// Returns the contents of a file. Throws BadRecords if the file cannot be read. Of a file that is
// too large it returns more than kMaxBytes bytes, which ParseRecords rejects.
std::string ReadRecordFile(const std::string& path);

}  // namespace brassfront::records

#endif  // BRASSFRONT_RECORDS_SYNTAX_HPP_
