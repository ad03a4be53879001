// Persistent conditions: what this forwarder and its earlier processes have observed of endpoints
// and destinations. They are stored in the file `conditions` in the state folder, which is mapped
// into memory (mapped_file.hpp). The file has a header and slots of equal size, one for each
// endpoint or destination with a condition that is still in force.
//
// A condition survives the end of the process once Put has returned. While the folder can't be
// used, conditions stay in memory and are stored when it is usable again. Records of an earlier
// boot of the machine are not read, because its monotonic clock was a different one. Earlier
// versions of the program ignore the file.
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

// Not thread-safe. Times are readings of the machine's monotonic clock.
class ConditionStore {
 public:
  using Time = dispatch_policy::Time;

  // Returns the maximum size of the file for a disk limit: an eighth of it, but at least 64 slots.
  [[nodiscard]] static std::size_t MaxBytes(std::size_t disk_bytes);

  // Opens the file if this process owns the folder. The file takes at most `max_bytes`, or 64 slots
  // if that is more. The owner must outlive the store.
  ConditionStore(FolderOwner& owner, std::size_t max_bytes, Time now);

  // Retries to open the file and to store conditions that could not be stored. Returns true if this
  // call opened the file; Find may then return conditions that it did not find before.
  bool Retry(Time now);

  // Returns nullopt if there is no condition for the key.
  [[nodiscard]] std::optional<ConditionRecord> Find(const ConditionKey& key) const;
  // Returns the conditions of all destinations.
  [[nodiscard]] std::vector<ConditionRecord> Destinations() const;
  // Adds or replaces a condition. Writes nothing if only its record time has changed.
  void Put(const ConditionRecord& record);
  // Removes a condition that is no longer in force.
  void Erase(const ConditionKey& key);

  // Returns whether the store has everything that the predecessor observed; true if there was no
  // predecessor.
  [[nodiscard]] bool is_complete() const { return is_complete_; }
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    ConditionRecord record;
    std::optional<std::size_t> slot;  // nullopt while the entry is only in memory
  };

  void EvictOldest(Time now);
  void MarkIncomplete();
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
