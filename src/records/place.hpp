// Where something stands in an operator file, and what is wrong with it.
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
  std::shared_ptr<const std::string> file;  // as it was named; none: nowhere
  std::size_t line = 0;                     // from 1
  std::size_t column = 0;                   // from 1, in bytes

  [[nodiscard]] std::string Text() const;  // file:line:column
};

struct Fault {
  Place at;
  std::string message;  // what was expected and what was found
  Place declared;       // what says so, where that is another place

  [[nodiscard]] std::string Text() const;  // file:line:column: message (declared at ...)
};

// An operator file that cannot be used, with everything that is wrong with it; never empty.
class BadRecords : public std::runtime_error {
 public:
  explicit BadRecords(std::vector<Fault> faults);
  [[nodiscard]] const std::vector<Fault>& faults() const { return faults_; }

 private:
  std::vector<Fault> faults_;
};

// Throws BadRecords with this fault. A function, for GCC 12 destroys the parts of a braced fault
// twice where one of them throws.
[[noreturn]] void ThrowFault(Place at, std::string message);

// The name of the list that is most like this one, for `did you mean`; empty if none is like it.
std::string Nearest(std::string_view name, const std::vector<std::string>& known);

// In double quotes, with escapes, as it would stand in a file.
std::string Quote(std::string_view text);

}  // namespace brassfront::records

#endif  // BRASSFRONT_RECORDS_PLACE_HPP_
