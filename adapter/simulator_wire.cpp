#include "simulator_wire.hpp"

#include <charconv>
#include <cmath>
#include <limits>

namespace dispatch_policy::simulator {
namespace {

std::string Quoted(std::string_view text) { return "'" + std::string(text) + "'"; }

template <typename T>
T ParseEntireText(std::string_view text, const char* what) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error == std::errc::result_out_of_range) {
    throw WireError(std::string(what) + " out of range: " + Quoted(text));
  }
  if (error != std::errc() || end != text.data() + text.size()) {
    throw WireError("not " + std::string(what) + ": " + Quoted(text));
  }
  return value;
}

}  // namespace

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  for (std::size_t from = 0;;) {
    const std::size_t to = text.find(separator, from);
    parts.push_back(text.substr(from, to == std::string_view::npos ? to : to - from));
    if (to == std::string_view::npos) return parts;
    from = to + 1;
  }
}

std::uint64_t ParseUnsigned(std::string_view text) {
  return ParseEntireText<std::uint64_t>(text, "a whole number");
}

double ParseNumber(std::string_view text) {
  const auto value = ParseEntireText<double>(text, "a number");
  if (!std::isfinite(value)) throw WireError("a number out of range: " + Quoted(text));
  return value;
}

bool ParseFlag(std::string_view text) {
  if (text == "1" || text == "true") return true;
  if (text == "0" || text == "false") return false;
  throw WireError("not a flag: " + Quoted(text));
}

Line::Line(std::string_view text) {
  const std::vector<std::string_view> parts = Split(text, '\t');
  name_ = parts.front();
  fields_.reserve(parts.size() - 1);
  for (std::size_t i = 1; i < parts.size(); ++i) {
    const std::size_t equals = parts[i].find('=');
    if (equals == std::string_view::npos || equals == 0) {
      throw WireError("no name=value: " + Quoted(parts[i]));
    }
    fields_.push_back({parts[i].substr(0, equals), parts[i].substr(equals + 1)});
  }
}

bool Line::Has(std::string_view field) const {
  for (const Field& candidate : fields_) {
    if (candidate.name == field) return true;
  }
  return false;
}

std::string_view Line::Text(std::string_view field) const {
  for (const Field& candidate : fields_) {
    if (candidate.name == field) return candidate.value;
  }
  throw WireError("no " + std::string(field));
}

std::string_view Line::TextOr(std::string_view field, std::string_view default_value) const {
  return Has(field) ? Text(field) : default_value;
}

std::uint64_t Line::Unsigned(std::string_view field) const { return ParseUnsigned(Text(field)); }

std::uint64_t Line::UnsignedOr(std::string_view field, std::uint64_t default_value) const {
  return Has(field) ? Unsigned(field) : default_value;
}

double Line::NumberOr(std::string_view field, double default_value) const {
  return Has(field) ? ParseNumber(Text(field)) : default_value;
}

bool Line::FlagOr(std::string_view field, bool default_value) const {
  return Has(field) ? ParseFlag(Text(field)) : default_value;
}

std::chrono::nanoseconds Line::Time(std::string_view field) const {
  const auto value = ParseEntireText<std::int64_t>(Text(field), "a time");
  return std::chrono::nanoseconds(value);
}

std::chrono::nanoseconds Line::TimeOr(std::string_view field,
                                      std::chrono::nanoseconds default_value) const {
  return Has(field) ? Time(field) : default_value;
}

}  // namespace dispatch_policy::simulator
