// Durable storage of a zone: a snapshot of its records and a journal of the changes since then.
//
// Commit returns true only after the change has been written to the journal and synchronised; the
// change is applied in memory only after that. If the process is killed or the disk is full, at
// most the last entry of the journal is incomplete; it is cut off at the next start. A journal that
// is damaged before its end is refused with the position of the damage, since skipping changes
// silently would restore removed records.
//
// The folder contains `snapshot` and `journal`. New versions are written to temporary files,
// synchronised and renamed. Entries are numbered, and a snapshot contains the number of the last
// entry it includes, so that no change is repeated if the process is killed between the two
// renames. Only one process at a time uses the folder (a lock on `lock`).
#ifndef BRASSFRONT_ZONES_STORE_HPP_
#define BRASSFRONT_ZONES_STORE_HPP_

#include <sys/types.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "dns/tsig.hpp"
#include "dns/zone.hpp"
#include "system/file_lock.hpp"

namespace brassfront::zones {

class StoreError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The system calls that write. Tests replace them to make each one fail in turn.
class Disk {
 public:
  virtual ~Disk() = default;
  virtual ssize_t Write(int fd, const char* bytes, std::size_t length);  // as write(2)
  virtual int Synchronise(int fd);                                       // as fdatasync(2)
  virtual int Truncate(int fd, std::size_t size);                        // as ftruncate(2)
  virtual int Rename(const char* from, const char* to);                  // as rename(2)
};

class ZoneStore {
 public:
  struct Options {
    // The journal is compacted into a new snapshot when it is longer than this and longer than the
    // snapshot.
    std::size_t compact_bytes = 4 << 20;
    Disk* disk = nullptr;  // null for the system calls themselves
  };

  // Loads the zone from the folder; creates the folder if it does not exist. Throws StoreError.
  ZoneStore(std::string folder, const dns::Name& origin, Options options);
  ~ZoneStore();
  ZoneStore(const ZoneStore&) = delete;
  ZoneStore& operator=(const ZoneStore&) = delete;

  // The zone; it has no SOA if nothing has been stored yet.
  [[nodiscard]] const dns::Zone& zone() const { return zone_; }
  // Size of the incomplete last journal entry that was cut off at the start.
  [[nodiscard]] std::size_t truncated_bytes() const { return cut_bytes_; }

  // Makes the change durable, with its signature if it is signed, and then applies it. Returns
  // false and changes nothing if the change does not apply to the zone or cannot be written; why()
  // returns the reason.
  bool Commit(const dns::Change& change, const dns::UpdateSignature* signature = nullptr);
  // Signatures of the changes that could be replayed (within twice the time window).
  [[nodiscard]] const std::deque<dns::UpdateSignature>& signatures() const { return signatures_; }
  // Replaces all data with that of another zone: as one change, or as a snapshot if there was no
  // data yet or both zones have the same serial.
  bool Replace(const dns::Zone& zone);
  [[nodiscard]] const std::string& why() const { return why_; }

 private:
  void Read();
  void ReadSnapshot();
  void ReplayJournal(std::string_view bytes);
  bool MayWrite();
  bool WriteSnapshot(const dns::Zone& zone);
  bool StartJournal();
  void Remember(const dns::UpdateSignature& signature);
  bool Append(std::string_view entry);
  bool WriteAll(int fd, std::string_view bytes);
  bool Fail(const std::string& what);
  bool WriteNew(const std::string& name, const std::function<bool(int fd)>& fill);

  const std::string folder_;
  Options options_;
  Disk system_;
  Disk& disk_;
  dns::Zone zone_;
  FileLock lock_;
  int journal_ = -1;
  std::size_t journal_bytes_ = 0;
  std::size_t snapshot_bytes_ = 0;
  std::uint64_t entries_ = 0;  // number of entries written so far, over all journals
  std::deque<dns::UpdateSignature> signatures_;
  std::size_t cut_bytes_ = 0;
  bool write_failed_ = false;  // the state of the disk is unknown, so nothing more is written
  std::string why_;
};

}  // namespace brassfront::zones

#endif  // BRASSFRONT_ZONES_STORE_HPP_
