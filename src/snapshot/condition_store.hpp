// What the forwarder has observed of endpoints and destinations, over all its processes: the file
// `conditions` in the state folder, mapped into memory (mapped_file.hpp). It holds a header and
// slots of equal size, one for each endpoint or destination of which something binds.
//
// A condition outlasts the process from the moment at which Put returns. Where the folder can't be
// used it is kept in memory, and stored once the folder is well. Records of an earlier start of the
// machine are not read: its clock is not this one's. Earlier versions pass over the file.
#ifndef BRASSFRONT_SNAPSHOT_CONDITION_STORE_HPP_
#define BRASSFRONT_SNAPSHOT_CONDITION_STORE_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "dispatch_policy/settings.hpp"
#include "snapshot/condition_record.hpp"
#include "snapshot/mapped_file.hpp"
#include "spool/folder_owner.hpp"

namespace brassfront {

// For one thread at a time. Times are of the machine's monotonic clock.
class ConditionStore {
 public:
  using Time = dispatch_policy::Time;

  // What the file may take of so much space on the disk: an eighth of it, but 64 slots at least.
  [[nodiscard]] static std::size_t MaxBytes(std::size_t disk_bytes);

  // Opens the file, if the folder is this process's. The file stays within `max_bytes`, or 64 slots
  // if that is more. The owner outlives the store.
  ConditionStore(FolderOwner& owner, std::size_t max_bytes, Time now);

  // Tries again to open the file, and to store what could not be stored. True if the file could be
  // opened now for the first time, and may hold what Find did not find before.
  bool Retry(Time now);

  // None if nothing is known.
  [[nodiscard]] std::optional<ConditionRecord> Find(const ConditionKey& key) const;
  // All destinations of which something is known.
  [[nodiscard]] std::vector<ConditionRecord> Destinations() const;
  // Replaces what is known. Writes nothing if it says the same.
  void Put(const ConditionRecord& record);
  // Nothing of it binds any more.
  void Erase(const ConditionKey& key);

  // Whether all that the predecessor observed is known here; true where there was none.
  [[nodiscard]] bool is_complete() const { return is_complete_; }
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    ConditionRecord record;
    std::optional<std::size_t> slot;  // none while it is in memory alone
  };

  void EvictOldest(Time now);
  void NoteMissing();
  void Open(Time now);
  [[nodiscard]] std::optional<std::uint64_t> ReadSlots(Time now);
  [[nodiscard]] std::optional<std::uint64_t> TakeOverHeader();
  void WriteHeader();
  void Store(Entry& entry);
  [[nodiscard]] std::optional<std::size_t> TakeFreeSlot();
  void AddFreeSlots(std::size_t first);
  [[nodiscard]] std::size_t slots() const;
  [[nodiscard]] std::span<char> SlotBytes(std::size_t slot) const;

  FolderOwner& owner_;
  const std::size_t max_bytes_;
  MappedFile file_;
  ConditionHeader header_;
  std::map<ConditionKey, Entry> entries_;
  std::vector<std::size_t> free_slots_;
  std::size_t unstored_ = 0;  // entries without a slot
  bool is_complete_ = false;
};

}  // namespace brassfront

#endif  // BRASSFRONT_SNAPSHOT_CONDITION_STORE_HPP_
