// Reads the records of a spool's file one after another. Where one is damaged, reading goes on at
// the next intact one, and what lies between is returned as a place of its own.
#ifndef BRASSFRONT_SPOOL_SPOOL_READER_HPP_
#define BRASSFRONT_SPOOL_SPOOL_READER_HPP_

#include <cstddef>
#include <optional>
#include <string>

#include "spool/file.hpp"
#include "spool/spool_record.hpp"

namespace brassfront::spool {

// A place in the file; of a record the frame is included.
struct Extent {
  std::size_t offset = 0;
  std::size_t bytes = 0;

  [[nodiscard]] std::size_t end() const { return offset + bytes; }
};

class Reader {
 public:
  enum class Outcome {
    kRecord,
    kDamage,    // bytes that are no record; records may have been lost in them
    kTornTail,  // the file ends within its last record: that one was never completely written
    kEnd,
    kFailed  // a read failed, errno tells why; nothing is known of what follows
  };
  struct Item {
    Outcome outcome = Outcome::kEnd;
    Extent extent{};
    Record record{};  // of kRecord
  };

  // Reads from `begin` to `end`. The file outlives the reader.
  Reader(const File& file, std::size_t begin, std::size_t end)
      : file_(file), next_(begin), end_(end) {}

  // After kEnd and kFailed it is not to be called again.
  [[nodiscard]] Item Next();

 private:
  // Of looking for a record at an offset.
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
