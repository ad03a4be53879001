// Positions in operator files, and faults found there.
#ifndef BRASSFRONT_RECORDS_PLACE_HPP_
#define BRASSFRONT_RECORDS_PLACE_HPP_

#include <cstddef>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace brassfront::records {

struct Place {
  std::shared_ptr<const std::string> file;  // the name as it was given; null: no position
  std::size_t line = 0;                     // counted from 1
  std::size_t column = 0;                   // in bytes, counted from 1

  [[nodiscard]] std::string Text() const;  // file:line:column
};

struct Fault {
  Place at;
  std::string message;  // what was expected and what was found
  Place declared;       // the declaration that is violated, if it is at another place

  [[nodiscard]] std::string Text() const;  // file:line:column: message (declared at ...)
};

// Thrown for an operator file that cannot be used. Contains all faults found, at least one.
class BadRecords : public std::runtime_error {
 public:
  explicit BadRecords(std::vector<Fault> faults);
  [[nodiscard]] const std::vector<Fault>& faults() const { return faults_; }

 private:
  std::vector<Fault> faults_;
};

// Throws BadRecords with this fault. This is a function because GCC 12 destroys the parts of a
// brace-initialized fault twice if one of them throws.
[[noreturn]] void ThrowFault(Place at, std::string message);

// Returns the known name that is most similar to `name`, for `did you mean`; empty if none is
// similar.
std::string Nearest(std::string_view name, const std::vector<std::string>& known);

// Returns the text as a string literal of an operator file: in double quotes and with escapes.
std::string Quote(std::string_view text);

}  // namespace brassfront::records

#endif  // BRASSFRONT_RECORDS_PLACE_HPP_
