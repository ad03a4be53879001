// Reads the records of a spool file sequentially. After a damaged record, reading continues at the
// next intact record, and the bytes in between are returned as a damaged extent.
#ifndef BRASSFRONT_SPOOL_SPOOL_READER_HPP_
#define BRASSFRONT_SPOOL_SPOOL_READER_HPP_

#include <cstddef>
#include <optional>
#include <string>

#include "spool/file.hpp"
#include "spool/spool_record.hpp"

namespace brassfront::spool {

// A range of bytes in the file. The extent of a record includes its frame.
struct Extent {
  std::size_t offset = 0;
  std::size_t bytes = 0;

  [[nodiscard]] std::size_t end() const { return offset + bytes; }
};

class Reader {
 public:
  enum class Outcome {
    kRecord,
    kDamage,    // bytes that are not a valid record; they may contain lost records
    kTornTail,  // the file ends within its last record, which was never completely written
    kEnd,
    kFailed  // a read failed and set errno; the rest of the file is unknown
  };
  struct Item {
    Outcome outcome = Outcome::kEnd;
    Extent extent{};
    Record record{};  // valid for kRecord
  };

  // Reads from offset `begin` to offset `end`. The file must outlive the reader.
  Reader(const File& file, std::size_t begin, std::size_t end)
      : file_(file), next_(begin), end_(end) {}

  // Must not be called again after kEnd or kFailed.
  [[nodiscard]] Item Next();

 private:
  // The result of trying to read a record at an offset.
  struct Probe {
    bool failed = false;  // a read failed
    std::optional<Record> record{};
    Extent extent{};
  };

  [[nodiscard]] Probe ProbeAt(std::size_t offset) const;
  [[nodiscard]] Item ReadDamage();
  [[nodiscard]] std::optional<std::size_t> FindNextRecord();
  [[nodiscard]] std::optional<FrameHeader> ReadFrame(std::size_t offset) const;
  [[nodiscard]] bool IsTorn();

  const File& file_;
  std::size_t next_;
  const std::size_t end_;
  bool failed_ = false;
};

}  // namespace brassfront::spool

#endif  // BRASSFRONT_SPOOL_SPOOL_READER_HPP_
