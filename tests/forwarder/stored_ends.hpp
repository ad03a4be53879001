// Counts how often the spool of a folder records the end of each message that it has accepted.
#ifndef BRASSFRONT_TESTS_FORWARDER_STORED_ENDS_HPP_
#define BRASSFRONT_TESTS_FORWARDER_STORED_ENDS_HPP_

#include <map>
#include <string>
#include <variant>

#include "spool/spool.hpp"
#include "spool/spool_reader.hpp"

namespace brassfront::exploration {

[[nodiscard]] inline std::map<SpoolId, int> CountStoredEnds(const std::string& folder) {
  std::map<SpoolId, int> ends;
  const File file = File::OpenToRead(folder + "/spool");
  const std::size_t size = file.Size().value_or(0);
  spool::Reader reader(file, spool::kFileHeader.size(), size);
  for (auto item = reader.Next(); item.outcome == spool::Reader::Outcome::kRecord;
       item = reader.Next()) {
    if (const auto* accepted = std::get_if<spool::MessageAccepted>(&item.record)) {
      ends.emplace(accepted->number, 0);
    } else if (const auto* finished = std::get_if<spool::MessageFinished>(&item.record)) {
      ++ends[finished->number];
    }
  }
  return ends;
}

}  // namespace brassfront::exploration

#endif  // BRASSFRONT_TESTS_FORWARDER_STORED_ENDS_HPP_
