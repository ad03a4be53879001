#include "protocol/delivery_request.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace brassfront {
namespace {

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::uint64_t kMaxTimeLeft = 24ULL * 3600 * 1000;  // milliseconds; one day

// Ids and keys are written into HTTP headers: the check prevents a line break from injecting a
// header.
std::string ParseName(std::string_view text, const char* what) {
  const bool valid =
      !text.empty() && text.size() <= kMaxNameBytes &&
      std::all_of(text.begin(), text.end(), [](char c) { return c > 32 && c < 127; });
  if (!valid) throw InvalidDeliveryRequest(std::string("bad ") + what);
  return std::string(text);
}

std::uint64_t ParseInteger(std::string_view text, const char* what, std::uint64_t max) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc() || end != text.data() + text.size() || value > max) {
    throw InvalidDeliveryRequest(std::string("bad ") + what);
  }
  return value;
}

}  // namespace

DeliveryRequest ParseDeliveryRequest(std::vector<std::string>&& words) {
  if (words.size() != 5) throw InvalidDeliveryRequest("wrong number of arguments for MSG.PUT");
  DeliveryRequest request;
  request.id = ParseName(words[2], "id");
  bool has_time = false, has_destination = false;
  for (std::string_view rest = words[3]; !rest.empty();) {
    const std::string_view field = rest.substr(0, rest.find(','));
    rest.remove_prefix(std::min(rest.size(), field.size() + 1));
    const std::size_t equals = field.find('=');
    if (equals == std::string_view::npos) throw InvalidDeliveryRequest("a field without a value");
    const std::string_view name = field.substr(0, equals), value = field.substr(equals + 1);
    if (name == "c") {
      request.class_name = ParseName(value, "class");
    } else if (name == "t") {
      request.tenant_name = ParseName(value, "tenant");
    } else if (name == "d") {
      request.time_left = std::chrono::milliseconds(ParseInteger(value, "time left", kMaxTimeLeft));
      has_time = true;
    } else if (name == "dest") {
      request.destination = ParseInteger(value, "destination", UINT32_MAX);
      has_destination = true;
    } else if (name == "k") {
      request.key = ParseName(value, "key");
    } else if (name != "r" && name != "again") {  // repeat markers, which are not needed here
      throw InvalidDeliveryRequest("unknown field");
    }
  }
  if (request.class_name.empty()) throw InvalidDeliveryRequest("no class");
  if (!has_time) throw InvalidDeliveryRequest("no time left");
  if (!has_destination) throw InvalidDeliveryRequest("no destination");
  request.body = std::move(words[4]);
  return request;
}

}  // namespace brassfront
