// The durable spool: one append-only file of records (spool_record.hpp) in a folder that outlasts
// the process. It holds each accepted message with its attempts, until the message is finished.
//
// Nothing is synced: what was written survives the end of the process, by SIGKILL as well, not that
// of the machine. Whatever follows the first damaged record is cut off at the next start. For one
// thread. Times are Unix times, as no other clock survives a restart.
#ifndef BRASSFRONT_SPOOL_SPOOL_HPP_
#define BRASSFRONT_SPOOL_SPOOL_HPP_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "spool/file.hpp"
#include "spool/spool_record.hpp"

namespace brassfront {

struct SpooledAttempt {
  std::string endpoint;
  UnixMs started_at{};
  bool known_not_run = false;  // its outcome showed that
};

// A message that is still owed, and what was tried for it.
struct RecoveredMessage {
  SpoolId number = 0;
  SpooledMessage message;
  std::vector<SpooledAttempt> attempts;
};

class Spool {
 public:
  // Called with one line for people, in the calling thread.
  using Report = std::function<void(const std::string&)>;

  // Opens the folder's file or makes it, and cuts off a damaged tail. The file and its compaction
  // stay within `disk_bytes` together. A folder that can't be used is reported, and then no message
  // is accepted.
  Spool(std::string folder, std::size_t disk_bytes, Report report);

  // For inspection: the file stays as it is, and no message is accepted.
  static Spool OpenToRead(std::string folder, Report report);

  // The messages that are not finished, in the order of acceptance. Their bodies are read from the
  // file here; a message that can't be read is reported and left out.
  [[nodiscard]] std::vector<RecoveredMessage> Recover();

  // False if the message can't be stored: it must be rejected then. `number` must be new.
  [[nodiscard]] bool Accept(SpoolId number, const SpooledMessage& message);
  // To be called before the attempt's first byte is sent; false if it could not be stored: the
  // attempt must not be made then.
  [[nodiscard]] bool BeginAttempt(SpoolId number, const std::string& endpoint, UnixMs at);
  // `attempt`: index among the message's attempts. One that can't be stored counts as possibly run.
  void MarkNotRun(SpoolId number, std::size_t attempt);
  // The message needs no further attempt or recovery. Harmless for an unknown one.
  void Finish(SpoolId number);

  // Above all numbers in the file.
  [[nodiscard]] SpoolId next_number() const { return next_number_; }
  [[nodiscard]] std::size_t open_messages() const { return open_messages_.size(); }
  [[nodiscard]] std::size_t file_bytes() const { return file_bytes_; }

 private:
  struct OpenMessage {
    std::size_t offset = 0;        // of its MessageAccepted record
    std::size_t record_bytes = 0;  // of that record, the frame included
    std::vector<SpooledAttempt> attempts;
  };
  // A record's place in the file, the frame included.
  struct Extent {
    std::size_t offset = 0;
    std::size_t bytes = 0;
  };
  struct StoredRecord {
    spool::Record record;
    Extent extent;
  };
  // Whether a record may use the space that is reserved for the records of accepted messages.
  enum class Space { kUnreserved, kReserved };

  Spool(std::string folder, Report report);

  // ---- reading ----
  void Load();
  [[nodiscard]] std::optional<StoredRecord> ReadRecord(std::size_t offset,
                                                       std::size_t stored_bytes) const;

  // ---- what a record changes; false if it contradicts the records before it ----
  bool Apply(const spool::MessageAccepted& record, const Extent& extent);
  bool Apply(const spool::AttemptStarted& record, const Extent& extent);
  bool Apply(const spool::AttemptNotRun& record, const Extent& extent);
  bool Apply(const spool::MessageFinished& record, const Extent& extent);

  // ---- writing ----
  template <typename Record>
  bool Append(const Record& record, Space space);
  [[nodiscard]] bool Fits(std::size_t additional_bytes) const;
  [[nodiscard]] bool IsCompactionDue(std::size_t additional_bytes) const;
  bool Compact();

  const std::string folder_;
  const std::size_t disk_bytes_;  // 0: only for inspection
  const Report report_;
  File file_;
  std::size_t file_bytes_ = 0;
  std::size_t compacted_bytes_ = 0;        // of the file if it were compacted now
  std::size_t next_compaction_bytes_ = 0;  // after a failed one: not before the file is this large
  SpoolId next_number_ = 1;
  std::map<SpoolId, OpenMessage> open_messages_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_SPOOL_SPOOL_HPP_
