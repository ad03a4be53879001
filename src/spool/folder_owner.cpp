#include "spool/folder_owner.hpp"

#include <unistd.h>

#include <algorithm>
#include <sstream>

#include "spool/file.hpp"

namespace brassfront {
namespace {

constexpr const char* kProcessKey = "pid";
constexpr const char* kOpenKey = "open";

std::string Format(const OwnerNote& note) {
  std::string text = std::string(kProcessKey) + " " + std::to_string(note.process_id) + "\n";
  if (note.open_messages) {
    text += std::string(kOpenKey) + " " + std::to_string(*note.open_messages) + "\n";
  }
  return text;
}

// Each line has a key and a number. Incomplete lines and unknown keys are ignored.
OwnerNote Parse(const std::string& text) {
  OwnerNote note;
  std::istringstream lines(text);
  std::string key;
  std::uint64_t number = 0;
  while (lines >> key >> number) {
    if (key == kProcessKey) note.process_id = static_cast<std::int64_t>(number);
    if (key == kOpenKey) note.open_messages = number;
  }
  return note;
}

OwnerNote ReadNote(const std::string& path) {
  const File file = File::OpenToRead(path);
  const auto size = file.is_open() ? file.Size() : std::nullopt;
  if (!size) return {};
  const auto text = file.Read(0, std::min(*size, FolderOwner::kMaxBytesOnDisk));
  return text ? Parse(*text) : OwnerNote{};
}

}  // namespace

FileLock::Outcome FolderOwner::Lock() {
  const std::lock_guard lock(mutex_);
  return LockOnce();
}

FileLock::Outcome FolderOwner::Acquire() {
  const std::lock_guard lock(mutex_);
  const FileLock::Outcome outcome = LockOnce();
  if (!IsOwned(outcome) || has_note_) return outcome;
  has_note_ = true;
  predecessor_ = ReadNote(path());
  Write({.process_id = getpid(), .open_messages = std::nullopt});
  return outcome;
}

FileLock::Outcome FolderOwner::LockOnce() {
  if (locked_as_) return *locked_as_;
  const FileLock::Outcome outcome = lock_.TryLock(path());
  if (IsOwned(outcome)) locked_as_ = outcome;
  return outcome;
}

OwnerNote FolderOwner::predecessor() const {
  const std::lock_guard lock(mutex_);
  return predecessor_;
}

OwnerNote FolderOwner::ReadHolder() const { return ReadNote(path()); }

void FolderOwner::RecordGracefulEnd(std::size_t open_messages) {
  const std::lock_guard lock(mutex_);
  if (has_note_) Write({.process_id = getpid(), .open_messages = open_messages});
}

// A failed write leaves the note empty or incomplete; readers then treat its fields as unknown.
void FolderOwner::Write(const OwnerNote& note) {
  File file = File::OpenEmpty(path());
  if (file.is_open()) static_cast<void>(file.Write(0, Format(note)));
}

}  // namespace brassfront
