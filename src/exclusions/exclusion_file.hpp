// The endpoints that operators have taken out, in a file that outlasts the process. It is replaced
// as a whole, so that another process that shares the folder reads all of it or the one before.
#ifndef BRASSFRONT_EXCLUSIONS_EXCLUSION_FILE_HPP_
#define BRASSFRONT_EXCLUSIONS_EXCLUSION_FILE_HPP_

#include <cstddef>
#include <optional>
#include <set>
#include <string>

namespace brassfront {

class ExclusionFile {
 public:
  // With the file that replaces it for a moment, the two stay within these bytes: one that would be
  // larger is not written.
  static constexpr std::size_t kMaxBytesOnDisk = std::size_t{64} * 1024;

  explicit ExclusionFile(const std::string& folder) : path_(folder + "/exclusions") {}

  // None if it can't be read now; errno tells why. A file that is not there stands for no endpoint.
  // One that can't be understood is put aside as `exclusions.damaged` and stands for none as well.
  [[nodiscard]] std::optional<std::set<std::string>> Read() const;
  // Returns once it is on the disk. False if it can't be written now; errno tells why.
  [[nodiscard]] bool Write(const std::set<std::string>& endpoints) const;

 private:
  const std::string path_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_EXCLUSIONS_EXCLUSION_FILE_HPP_
