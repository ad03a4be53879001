#include "consensus/store.hpp"

namespace brassfront::consensus {

// ---- PersistentState ----

void PersistentState::Truncate(std::uint64_t from) {
  const std::uint64_t remaining = from - first;
  if (remaining < entries.size()) entries.resize(remaining);
}

void PersistentState::Compact(const Snapshot& taken, std::uint64_t trailing) {
  snapshot = taken;
  if (trailing == 0 || taken.index > last()) {
    entries.clear();
    first = taken.index + 1;
    return;
  }
  const std::uint64_t keep_from = taken.index + 1 > trailing ? taken.index + 1 - trailing : 1;
  if (keep_from <= first) return;
  entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(keep_from - first));
  first = keep_from;
}

// ---- MemoryStore ----

PersistentState MemoryStore::Load(bool& damaged) {
  damaged = false;
  return persistent_;
}

bool MemoryStore::SetTerm(std::uint64_t term) {
  persistent_.term = term;
  persistent_.vote = 0;
  return works;
}

bool MemoryStore::SetVote(std::uint64_t id) {
  persistent_.vote = id;
  return works;
}

bool MemoryStore::Append(const std::vector<LogEntry>& entries) {
  if (works) persistent_.entries.insert(persistent_.entries.end(), entries.begin(), entries.end());
  return works;
}

bool MemoryStore::Truncate(std::uint64_t from) {
  if (from < persistent_.first) return false;
  persistent_.Truncate(from);
  return works;
}

bool MemoryStore::PutSnapshot(const Snapshot& snapshot, std::uint64_t trailing) {
  if (!works) return false;
  persistent_.Compact(snapshot, trailing);
  return true;
}

bool MemoryStore::Clear() {
  persistent_ = {};
  return true;
}

}  // namespace brassfront::consensus
