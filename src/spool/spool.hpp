// The durable spool: one append-only file of records (spool_record.hpp) in a folder that outlasts
// the process. It holds each accepted message with its attempts, until the message is finished.
//
// Nothing is synced: what was written survives the end of the process, by SIGKILL as well, not that
// of the machine. A damaged place costs the records in it alone: reading goes on behind it, its
// offset is reported, and its first bytes are kept in a file beside the spool. An attempt may have
// been among what was lost, so a message that was open before the place counts as one that may have
// run. For one thread. Times are of the clock of spool_clock.hpp.
//
// The folder may fail for a while. A read that fails says nothing about the file: the spool is not
// in use then until Retry could read it. A write that fails is rejected where nothing depends on
// it, and otherwise made again by Retry and before the next write.
#ifndef BRASSFRONT_SPOOL_SPOOL_HPP_
#define BRASSFRONT_SPOOL_SPOOL_HPP_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "spool/file.hpp"
#include "spool/folder_owner.hpp"
#include "spool/spool_clock.hpp"
#include "spool/spool_reader.hpp"
#include "spool/spool_record.hpp"

namespace brassfront {

struct SpooledAttempt {
  std::string endpoint;
  UnixMs started_at{};
  bool known_not_run = false;  // its outcome showed that
};

// A message that is still owed, and what was tried for it.
struct RecoveredMessage {
  SpoolId spool_id = 0;
  SpooledMessage message;
  std::vector<SpooledAttempt> attempts;
  std::optional<SpooledGiveUp> give_up{};  // it must not be tried again then
};

class Spool {
 public:
  // Called with one line for people, in the calling thread.
  using Report = std::function<void(const std::string&)>;

  // Opens the folder's file or makes it, and removes damaged places. The file and its compaction
  // stay within `disk_bytes` together. A folder that can't be used, or is owned by another process,
  // is reported, and then no message is accepted until Retry finds it well. The owner outlives the
  // spool.
  Spool(FolderOwner& owner, std::size_t disk_bytes, Report report);

  // For inspection: the file stays as it is, and no message is accepted.
  static Spool OpenToRead(std::string folder, Report report);

  // Tries again what has failed: to open and read the file, to record ends of messages and
  // outcomes of attempts, to compact. To be called every second or so.
  void Retry();
  // The file was read, and records can be written unless the folder fails.
  [[nodiscard]] bool is_available() const { return file_.is_open(); }

  // The messages that are not finished and were not returned before, in the order of acceptance.
  // Their bodies are read from the file here; one whose read fails is left for the next call. One
  // whose record is no longer what it was is reported and returned with its client's id alone: it
  // has no class, and its time is over. For inspection it is left out.
  [[nodiscard]] std::vector<RecoveredMessage> Recover();

  // False if the message can't be stored: it must be rejected then. `number` must be new.
  [[nodiscard]] bool Accept(SpoolId number, const SpooledMessage& message);
  // To be called before the attempt's first byte is sent; false if it could not be stored: the
  // attempt must not be made then.
  [[nodiscard]] bool BeginAttempt(SpoolId number, const std::string& endpoint, UnixMs at);
  // `attempt`: index among the message's attempts. One that can't be stored counts as possibly run.
  void MarkNotRun(SpoolId number, std::size_t attempt);
  // To be called before anybody is told that the message will not be delivered. One that can't be
  // stored now is stored later: a process that ends before leaves the message as one to be tried.
  // Harmless for an unknown message, and for one that was given up before.
  void GiveUp(SpoolId number, const SpooledGiveUp& give_up);
  // The message needs no further attempt or recovery. Harmless for an unknown one.
  void Finish(SpoolId number);

  // The time for what follows, and of all times above. Real time passes between two of its values,
  // across processes too, however the wall clock is stepped.
  [[nodiscard]] UnixMs Now() const;

  // Above all numbers in the file.
  [[nodiscard]] SpoolId next_number() const { return next_number_; }
  [[nodiscard]] std::size_t open_messages() const { return open_messages_.size(); }
  [[nodiscard]] std::size_t file_bytes() const { return file_bytes_; }
  // Reads the folder's file anew and counts the open messages in it, but for those whose end is
  // still to be recorded and those that Recover has not returned. None if it can't be read now.
  [[nodiscard]] std::optional<std::size_t> CountStoredOpenMessages() const;

 private:
  struct OpenMessage {
    std::size_t offset = 0;        // of its MessageAccepted record
    std::size_t record_bytes = 0;  // of that record, the frame included
    std::string client_id;
    std::vector<SpooledAttempt> attempts;
    std::optional<SpooledGiveUp> give_up{};
    bool attempt_may_be_lost = false;  // in a damaged place, and that is not recorded yet
    std::string replacement;  // of that record, for the next compaction; empty: it is intact
  };
  using Extent = spool::Extent;
  // An outcome of an attempt that could not be recorded yet.
  struct PendingNotRun {
    SpoolId number = 0;
    std::size_t attempt = 0;
  };
  // Whether a record may use the space that is reserved for the records of accepted messages.
  enum class Space { kUnreserved, kReserved };

  Spool(std::string folder, Report report);

  // The records of a message behind its first one, as a compaction writes them.
  [[nodiscard]] static std::string EncodeProgress(SpoolId number, const OpenMessage& open);

  // ---- reading ----
  [[nodiscard]] bool OwnsFolder();
  void Open();
  [[nodiscard]] bool Load();
  [[nodiscard]] bool LoadRecords(std::size_t begin);
  void NoteDamage(const Extent& extent);
  void NoteTornTail(const Extent& extent);
  [[nodiscard]] SpooledMessage ReplaceRecord(SpoolId number, OpenMessage& open);

  // ---- what a record changes; false if it contradicts the records before it ----
  bool Apply(const spool::MessageAccepted& record, const Extent& extent);
  bool Apply(const spool::AttemptStarted& record, const Extent& extent);
  bool Apply(const spool::AttemptNotRun& record, const Extent& extent);
  bool Apply(const spool::MessageGivenUp& record, const Extent& extent);
  bool Apply(const spool::MessageFinished& record, const Extent& extent);
  bool Apply(const spool::ClockAnchor& record, const Extent& extent);

  // ---- writing ----
  [[nodiscard]] bool Prepare();
  [[nodiscard]] bool RemoveDamage();
  [[nodiscard]] bool KeepDamaged();
  [[nodiscard]] bool RecordLostAttempts();
  [[nodiscard]] bool FlushPending();
  template <typename Record>
  bool Append(const Record& record, Space space);
  template <typename Record>
  bool Write(const Record& record, Space space);
  void ReportOnce(const std::string& text);
  [[nodiscard]] bool Fits(std::size_t additional_bytes) const;
  [[nodiscard]] bool IsCompactionDue(std::size_t additional_bytes) const;
  bool Compact();

  FolderOwner* const owner_;  // nullptr: only for inspection
  const std::string folder_;
  const std::size_t disk_bytes_;  // 0: only for inspection
  const Report report_;
  bool reported_ = false;  // why the spool is not in use
  File file_;
  std::size_t file_bytes_ = 0;      // up to the end of the last intact record
  std::size_t stored_bytes_ = 0;    // as it was read; what is behind file_bytes_ is to be cut off
  std::vector<Extent> damaged_;     // not kept beside the spool yet
  bool compaction_is_due_ = false;  // to remove damaged places between the records
  std::size_t kept_bytes_ = 0;      // of the file beside the spool
  bool has_kept_ = false;           // that file is of this process
  bool header_is_due_ = false;
  bool anchor_is_due_ = false;
  SpoolClock clock_;
  std::optional<spool::ClockAnchor> stored_anchor_;
  UnixMs latest_time_{};  // of any record
  std::map<SpoolId, SpooledGiveUp> pending_give_ups_;
  std::set<SpoolId> pending_ends_;
  std::vector<PendingNotRun> pending_not_run_;
  std::set<SpoolId> unrecovered_;          // not returned by Recover yet
  std::size_t compacted_bytes_ = 0;        // of the file if it were compacted now
  std::size_t next_compaction_bytes_ = 0;  // after a failed one: not before the file is this large
  SpoolId next_number_ = 1;
  std::map<SpoolId, OpenMessage> open_messages_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_SPOOL_SPOOL_HPP_
