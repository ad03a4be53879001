// The endpoints that operators have excluded, in a file that is kept when the process ends. The
// file is replaced atomically, so that another process that shares the folder reads either the
// complete new file or the previous one.
#ifndef BRASSFRONT_EXCLUSIONS_EXCLUSION_FILE_HPP_
#define BRASSFRONT_EXCLUSIONS_EXCLUSION_FILE_HPP_

#include <cstddef>
#include <optional>
#include <set>
#include <string>

namespace brassfront {

class ExclusionFile {
 public:
  // Maximum size of the file together with the new file that replaces it. Write fails if the new
  // file would be larger than half of this.
  static constexpr std::size_t kMaxBytesOnDisk = std::size_t{64} * 1024;

  explicit ExclusionFile(const std::string& folder) : path_(folder + "/exclusions") {}

  // Returns nothing if the file cannot be read now, with the reason in errno. A missing file means
  // that no endpoint is excluded. A file that cannot be parsed is renamed to `exclusions.damaged`
  // and also means that no endpoint is excluded.
  [[nodiscard]] std::optional<std::set<std::string>> Read() const;
  // Returns true once the file is on the disk. Returns false if it cannot be written now, with the
  // reason in errno.
  [[nodiscard]] bool Write(const std::set<std::string>& endpoints) const;

 private:
  const std::string path_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_EXCLUSIONS_EXCLUSION_FILE_HPP_
