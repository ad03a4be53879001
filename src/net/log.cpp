#include "net/log.hpp"

#include <unistd.h>

#include <string>

namespace brassfront {

void LogLine(std::string_view line) {
  std::string text(line);
  text += '\n';
  [[maybe_unused]] const ssize_t written = write(STDERR_FILENO, text.data(), text.size());
}

}  // namespace brassfront
