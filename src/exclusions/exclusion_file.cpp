#include "exclusions/exclusion_file.hpp"

#include <cerrno>
#include <cstdio>

#include "observe/log.hpp"
#include "protocol/json.hpp"
#include "spool/file.hpp"

namespace brassfront {
namespace {

constexpr const char* kExcludedKey = "excluded";

std::string Format(const std::set<std::string>& endpoints) {
  std::string text = std::string("{\"") + kExcludedKey + "\":[";
  for (const std::string& endpoint : endpoints) {
    if (text.back() != '[') text += ',';
    text += json::Quote(endpoint);
  }
  return text + "]}\n";
}

std::set<std::string> Parse(const std::string& text) {
  std::set<std::string> endpoints;
  const json::Value file = json::Parse(text);
  for (const json::Value& endpoint : file.At(kExcludedKey).Items()) {
    endpoints.insert(endpoint.Text());
  }
  return endpoints;
}

}  // namespace

std::optional<std::set<std::string>> ExclusionFile::Read() const {
  const File file = File::OpenToRead(path_);
  if (!file.is_open()) {
    if (errno == ENOENT) return std::set<std::string>();
    return std::nullopt;
  }
  const auto size = file.Size();
  const auto text = size ? file.Read(0, *size) : std::nullopt;
  if (!text) return std::nullopt;
  try {
    return Parse(*text);
  } catch (const json::Error& error) {
    observe::Log(observe::Concern::kService, observe::Level::kError, "exclusions damaged",
                 {{"file", path_}, {"error", error.what()}});
    std::rename(path_.c_str(), (path_ + ".damaged").c_str());
    return std::set<std::string>();
  }
}

bool ExclusionFile::Write(const std::set<std::string>& endpoints) const {
  const std::string text = Format(endpoints);
  if (text.size() > kMaxBytesOnDisk / 2) {
    errno = EFBIG;
    return false;
  }
  const std::string new_path = path_ + ".new";
  File file = File::OpenEmpty(new_path);
  const bool written = file.is_open() && file.Write(0, text) && file.Synchronize();
  if (written && std::rename(new_path.c_str(), path_.c_str()) == 0) return true;
  const int error = errno;
  std::remove(new_path.c_str());
  errno = error;
  return false;
}

}  // namespace brassfront
