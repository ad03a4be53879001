#include "zones/zone_source.hpp"

#include <sys/stat.h>

#include <cerrno>
#include <cstring>
#include <filesystem>

#include "spool/file.hpp"

namespace brassfront::zones {
namespace {

namespace fs = std::filesystem;

constexpr std::size_t kMaxFileBytes = std::size_t{1} << 30;

std::optional<dns::ZoneText> ReadText(const std::string& path, const std::string& shown,
                                      std::string& why) {
  std::error_code error;
  if (!fs::is_regular_file(path, error)) {
    why = shown + " is no file that can be read" + (error ? ": " + error.message() : "");
    return std::nullopt;
  }
  const auto before = StampOf(path);
  const File file = File::OpenToRead(path);
  const auto size = file.is_open() ? file.Size() : std::nullopt;
  if (!before || !size) {
    why = shown + " cannot be read: " + std::strerror(errno);
    return std::nullopt;
  }
  if (*size > kMaxFileBytes) {
    why = shown + " is larger than 1 GiB";
    return std::nullopt;
  }
  auto text = file.Read(0, *size);
  if (!text || StampOf(path) != before) {
    why = shown + " was changed while it was read";
    return std::nullopt;
  }
  return dns::ZoneText{shown, *std::move(text), path};
}

bool IsInside(const fs::path& path, const fs::path& folder) {
  const auto relative = path.lexically_relative(folder);
  return !relative.empty() && *relative.begin() != "..";
}

}  // namespace

std::optional<FileStamp> StampOf(const std::string& path) {
  struct stat state {};
  if (stat(path.c_str(), &state) != 0) return std::nullopt;
  return FileStamp(state.st_dev, state.st_ino, state.st_size, state.st_mtim.tv_sec,
                   state.st_mtim.tv_nsec);
}

dns::Zone LoadZone(const std::string& path, const dns::Name& origin) {
  std::error_code error;
  const fs::path real = fs::canonical(path, error);
  std::string why;
  const auto text = error ? std::nullopt : ReadText(real.string(), path, why);
  if (!text) {
    throw dns::InvalidZone({{path, 0, 0, error ? "cannot be read: " + error.message() : why}});
  }
  const fs::path folder = real.parent_path();
  const auto resolve_include = [&folder](const dns::ZoneText& from, const std::string& named,
                                         std::string& fault) -> std::optional<dns::ZoneText> {
    std::error_code missing;
    const fs::path wanted = fs::path(from.identity).parent_path() / named;
    const fs::path found = fs::canonical(wanted, missing);
    if (!IsInside(missing ? wanted.lexically_normal() : found, folder)) {
      fault = named + " is outside the folder of the zone's file";
      return std::nullopt;
    }
    if (missing) {
      fault = named + " cannot be read: " + missing.message();
      return std::nullopt;
    }
    return ReadText(found.string(), found.lexically_relative(folder).string(), fault);
  };
  return dns::ReadZone(*text, origin, resolve_include);
}

}  // namespace brassfront::zones
