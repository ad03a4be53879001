// The lasting spool: one append-only file of records in the folder that outlasts the process.
//
// A record is its length, its checksum and its bytes. Whatever follows the first record that does
// not check is cut off. Nothing is synced: what was written outlasts the process, SIGKILL as well.
// Used by one thread. Times here are Unix times, for no other clock outlasts a restart.
#ifndef BRASSFRONT_SPOOL_SPOOL_HPP_
#define BRASSFRONT_SPOOL_SPOOL_HPP_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "spool/file.hpp"

namespace brassfront {

using UnixMs = std::chrono::milliseconds;  // since 1970
using SpoolId = std::uint64_t;             // of a message; not used again in the file's life

struct SpooledMessage {
  std::string id;
  std::string key;
  std::string class_name;
  std::string tenant_name;
  std::uint64_t destination = 0;
  UnixMs deadline{};
  std::string body;
};

struct SpooledAttempt {
  std::string endpoint;
  UnixMs started_at{};
  bool known_not_run = false;  // its outcome showed that
};

struct RecoveredMessage {
  SpoolId number = 0;
  SpooledMessage message;
  std::vector<SpooledAttempt> attempts;
};

class Spool {
 public:
  using Report = std::function<void(const std::string&)>;

  // Opens the folder's file, cuts off a torn tail and keeps what is recovered. A folder that cannot
  // be used is reported, and nothing is accepted.
  Spool(std::string folder, std::size_t disk_bytes, Report report);

  // To look at what is owed: the file is left as it is, and nothing is accepted.
  static Spool OpenToRead(std::string folder, Report report);

  // What was owed at the opening, in order of acceptance; bodies are read from the file here.
  std::vector<RecoveredMessage> Recover();

  // False if the message cannot be kept: nothing is owed then.
  bool Accept(SpoolId number, const SpooledMessage& message);
  // Before the first byte of the attempt; false if that could not be noted.
  bool BeginAttempt(SpoolId number, const std::string& endpoint, UnixMs at);
  void MarkNotRun(SpoolId number, std::size_t attempt);
  void Finish(SpoolId number);

  [[nodiscard]] SpoolId next_number() const { return next_number_; }
  [[nodiscard]] std::size_t open_messages() const { return open_messages_.size(); }
  [[nodiscard]] std::size_t file_bytes() const { return size_; }

 private:
  struct OpenMessage {
    std::size_t offset = 0;  // of the record of its acceptance
    std::size_t length = 0;  // with the frame
    std::vector<SpooledAttempt> attempts;
  };

  Spool(std::string folder, Report report);
  void Load();
  bool Apply(std::string_view payload, std::size_t offset, std::size_t length);
  bool Append(const std::string& payload, bool use_reserve);
  [[nodiscard]] bool Fits(std::size_t file, std::size_t open) const;
  bool Compact();

  const std::string folder_;
  const std::size_t disk_bytes_;  // 0: only to be looked at
  const Report report_;
  File file_;
  std::size_t size_ = 0;
  std::size_t compacted_bytes_ = 0;       // of the file after a compaction
  std::size_t next_compaction_size_ = 0;  // the size from which another compaction is tried
  SpoolId next_number_ = 1;
  std::map<SpoolId, OpenMessage> open_messages_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_SPOOL_SPOOL_HPP_
