// The durable spool: one append-only file of records (spool_record.hpp) in a folder that outlives
// the process. It stores each accepted message with its attempts until the message is finished.
//
// Nothing is synced: written records survive the end of the process, including SIGKILL, but not a
// crash of the machine. Damage loses only the records that it covers: reading continues after it,
// its offset is reported, and its first bytes are saved to a file next to the spool. An attempt may
// be among the lost records, so a message that was open before the damage counts as possibly run.
// Not thread-safe. Times are those of spool_clock.hpp.
//
// The folder may fail temporarily. After a failed read the file's content is unknown, and the spool
// is unavailable until Retry has read it. A failed write is returned as an error where the caller
// can still reject the operation; other writes are repeated by Retry and before the next write.
#ifndef BRASSFRONT_SPOOL_SPOOL_HPP_
#define BRASSFRONT_SPOOL_SPOOL_HPP_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
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
  bool known_not_run = false;  // the attempt's outcome showed that it did not run
};

// An unfinished message and its attempts.
struct RecoveredMessage {
  SpoolId spool_id = 0;
  SpooledMessage message;
  std::vector<SpooledAttempt> attempts;
  std::optional<SpooledGiveUp> give_up{};  // if present, the message must not be attempted again
};

class Spool {
 public:
  // Called with one human-readable line, in the thread that calls the spool.
  using Report = std::function<void(const std::string&)>;

  // Opens or creates the folder's file, and removes damage. The file and its compacted copy
  // together stay within `disk_bytes`. A folder that can't be used or is owned by another process
  // is reported, and no message is accepted until Retry succeeds. The owner must outlive the spool.
  Spool(FolderOwner& owner, std::size_t disk_bytes, Report report);

  // Opens the file for inspection: it is not changed, and no message is accepted.
  static Spool OpenToRead(std::string folder, Report report);

  // Retries failed operations: opening and reading the file, recording ends of messages and
  // outcomes of attempts, and compaction. To be called about once a second.
  void Retry();
  // Returns whether the file has been read. Records can then be written unless the folder fails.
  [[nodiscard]] bool is_available() const { return file_.is_open(); }

  // Returns the unfinished messages that no earlier call has returned, in order of acceptance.
  // Reads their bodies from the file; a message whose read fails is returned by a later call. A
  // message whose record has been damaged since it was first read is reported and returned with
  // only its client-assigned id: it has no class, and its deadline has passed. A spool that was
  // opened for inspection omits such a message.
  [[nodiscard]] std::vector<RecoveredMessage> Recover();

  // Returns false if the message can't be stored; the caller must then reject it. `number` must be
  // new.
  [[nodiscard]] bool Accept(SpoolId number, const SpooledMessage& message);
  // Must be called before the attempt's first byte is sent. Returns false if the record could not
  // be stored; the attempt must then not be made.
  [[nodiscard]] bool BeginAttempt(SpoolId number, const std::string& endpoint, UnixMs at);
  // `attempt` is the index among the message's attempts. If the record can't be stored before the
  // process ends, the attempt counts as possibly run.
  void MarkNotRun(SpoolId number, std::size_t attempt);
  // Must be called before any notification that the message will not be delivered. A record that
  // can't be stored now is stored later; if the process ends before that, the next process attempts
  // the message again. Does nothing for an unknown message or one that was already given up.
  void GiveUp(SpoolId number, const SpooledGiveUp& give_up);
  // The message needs no further attempt or recovery. Does nothing for an unknown message.
  void Finish(SpoolId number);
  // Does the same for several messages with a single write. Returns false if that is not possible
  // now: nothing is recorded then, and Finish is to be called for each of them.
  bool FinishTogether(std::span<const SpoolId> numbers);

  // Returns the current time on the clock of all times above. The difference between two values is
  // elapsed real time, also between processes and when the wall clock is stepped.
  [[nodiscard]] UnixMs Now() const;

  // Greater than all numbers in the file.
  [[nodiscard]] SpoolId next_number() const { return next_number_; }
  [[nodiscard]] std::size_t open_messages() const { return open_messages_.size(); }
  [[nodiscard]] std::size_t file_bytes() const { return file_bytes_; }
  // Reads the folder's file again and counts its open messages, except those whose end is still to
  // be recorded and those that Recover has not returned. Returns nullopt if the file can't be read.
  [[nodiscard]] std::optional<std::size_t> CountStoredOpenMessages() const;

 private:
  struct OpenMessage {
    std::size_t offset = 0;        // of its MessageAccepted record
    std::size_t record_bytes = 0;  // of that record, including its frame
    std::string client_id;
    std::vector<SpooledAttempt> attempts;
    std::optional<SpooledGiveUp> give_up{};
    bool attempt_may_be_lost = false;  // due to damage; no substitute attempt is recorded yet
    // Replaces the MessageAccepted record in the next compaction; empty: the record is intact.
    std::string replacement;
  };
  using Extent = spool::Extent;
  // The outcome of an attempt that could not be recorded yet.
  struct PendingNotRun {
    SpoolId number = 0;
    std::size_t attempt = 0;
  };
  // Whether a record may use the space that is reserved for the records of accepted messages.
  enum class Space { kUnreserved, kReserved };

  Spool(std::string folder, Report report);

  // Encodes all records of a message except the first, as a compaction writes them.
  [[nodiscard]] static std::string EncodeProgress(SpoolId number, const OpenMessage& open);

  // ---- reading ----
  [[nodiscard]] bool AcquireFolder();
  void Open();
  [[nodiscard]] bool Load();
  [[nodiscard]] bool LoadRecords(std::size_t begin);
  void NoteDamage(const Extent& extent);
  void NoteTornTail(const Extent& extent);
  [[nodiscard]] SpooledMessage ReplaceRecord(SpoolId number, OpenMessage& open);

  // ---- applying records; returns false if the record contradicts earlier ones ----
  bool Apply(const spool::MessageAccepted& record, const Extent& extent);
  bool Apply(const spool::AttemptStarted& record, const Extent& extent);
  bool Apply(const spool::AttemptNotRun& record, const Extent& extent);
  bool Apply(const spool::MessageGivenUp& record, const Extent& extent);
  bool Apply(const spool::MessageFinished& record, const Extent& extent);
  bool Apply(const spool::ClockAnchor& record, const Extent& extent);

  // ---- writing ----
  [[nodiscard]] bool Prepare();
  [[nodiscard]] bool RemoveDamage();
  [[nodiscard]] bool SaveDamagedBytes();
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

  FolderOwner* const owner_;  // nullptr: opened for inspection
  const std::string folder_;
  const std::size_t disk_bytes_;  // 0: opened for inspection
  const Report report_;
  bool reported_ = false;  // the reason why the spool is unavailable has been reported
  File file_;
  std::size_t file_bytes_ = 0;          // up to the end of the last intact record
  std::size_t stored_bytes_ = 0;        // file size when read; the file is truncated to file_bytes_
  std::vector<Extent> damaged_;         // not yet saved to the separate file
  bool compaction_is_due_ = false;      // to remove damage between records
  std::size_t saved_damage_bytes_ = 0;  // size of the separate file with damaged bytes
  bool has_saved_damage_ = false;       // this process has written that file
  bool header_is_due_ = false;
  bool anchor_is_due_ = false;
  SpoolClock clock_;
  std::optional<spool::ClockAnchor> stored_anchor_;
  UnixMs latest_time_{};  // latest time in any record
  std::map<SpoolId, SpooledGiveUp> pending_give_ups_;
  std::set<SpoolId> pending_finishes_;
  std::vector<PendingNotRun> pending_not_run_;
  std::set<SpoolId> unrecovered_;          // not yet returned by Recover
  std::size_t compacted_bytes_ = 0;        // size of the file if it were compacted now
  std::size_t next_compaction_bytes_ = 0;  // no compaction before the file reaches this size
  SpoolId next_number_ = 1;
  std::map<SpoolId, OpenMessage> open_messages_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_SPOOL_SPOOL_HPP_
