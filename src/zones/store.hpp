// A zone that outlives its process: a snapshot of its records and a journal of the changes since.
//
// A change is in the journal, and the disk has confirmed it, before Commit returns true; nothing
// is applied in memory before. What a kill or a full disk leaves half written is the journal's last
// entry at most, and is cut off at the next start. A journal that is damaged before its end is
// refused with the place: to leave out changes silently would bring back what was removed.
//
// The folder has `snapshot` and `journal`; new ones are written beside them, synchronised and
// renamed. Entries are numbered, and a snapshot says up to which one it holds, so that a kill
// between the two renames repeats nothing. One process at a time holds the folder (a lock on
// `lock`).
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

// The system calls that write, so that tests can make each fail in turn.
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
    // The journal is folded into a new snapshot when it is longer than this and than the snapshot.
    std::size_t compact_bytes = 4 << 20;
    Disk* disk = nullptr;  // the system's own if null
  };

  // Reads what the folder has, and makes it if it is not there. Throws StoreError.
  ZoneStore(std::string folder, const dns::Name& origin, Options options);
  ~ZoneStore();
  ZoneStore(const ZoneStore&) = delete;
  ZoneStore& operator=(const ZoneStore&) = delete;

  // Without a SOA if nothing was stored yet.
  [[nodiscard]] const dns::Zone& zone() const { return zone_; }
  // At the start, of a last entry that was half written.
  [[nodiscard]] std::size_t truncated_bytes() const { return cut_bytes_; }

  // Makes the change durable, with what it was signed with if it was, and then applies it. False,
  // with nothing changed, if it does not fit the zone or cannot be written: why() tells.
  bool Commit(const dns::Change& change, const dns::UpdateSignature* signature = nullptr);
  // Of the changes so far, those that may be sent again (within twice the window of time).
  [[nodiscard]] const std::deque<dns::UpdateSignature>& signatures() const { return signatures_; }
  // Puts another zone's data in the place of all, as one change, or as a snapshot if there was no
  // data yet or nothing leads from one to the other.
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
  std::uint64_t entries_ = 0;  // written so far, over all journals
  std::deque<dns::UpdateSignature> signatures_;
  std::size_t cut_bytes_ = 0;
  bool write_failed_ =
      false;  // what the disk holds cannot be told, so that nothing more may go there
  std::string why_;
};

}  // namespace brassfront::zones

#endif  // BRASSFRONT_ZONES_STORE_HPP_
