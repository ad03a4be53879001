#include "spool/message_history.hpp"

#include <set>

#include "spool/spool_reader.hpp"

namespace brassfront::spool {
namespace {

class HistoryFilter {
 public:
  explicit HistoryFilter(const std::string& client_id) : client_id_(client_id) {}

  void Add(std::size_t offset, const MessageAccepted& record) {
    if (record.message.id != client_id_) return;
    numbers_.insert(record.number);
    steps_.push_back({offset, record});
  }
  void Add(std::size_t, const ClockAnchor&) {}
  template <typename RecordOfMessage>
  void Add(std::size_t offset, const RecordOfMessage& record) {
    if (numbers_.contains(record.number)) steps_.push_back({offset, record});
  }
  void AddDamage(const Extent& extent) {
    if (!numbers_.empty()) steps_.push_back({extent.offset, DamagedPlace{extent.bytes}});
  }
  [[nodiscard]] std::vector<HistoryStep> TakeSteps() { return std::move(steps_); }

 private:
  const std::string& client_id_;
  std::set<SpoolId> numbers_;
  std::vector<HistoryStep> steps_;
};

std::string DescribeRecord(const MessageAccepted& record) {
  return "accepted number=" + std::to_string(record.number) +
         " class=" + record.message.class_name +
         " dest=" + std::to_string(record.message.destination) +
         " deadline_unix_ms=" + std::to_string(record.message.deadline.count()) +
         " bytes=" + std::to_string(record.message.body.size());
}

std::string DescribeRecord(const AttemptStarted& record) {
  const std::string endpoint = record.endpoint.empty() ? "unknown" : record.endpoint;
  return "attempt-started endpoint=" + endpoint +
         " started_unix_ms=" + std::to_string(record.started_at.count());
}

std::string DescribeRecord(const AttemptNotRun& record) {
  return "attempt-not-run attempt=" + std::to_string(record.attempt);
}

std::string DescribeRecord(const MessageGivenUp& record) {
  if (!record.give_up.retry_allowed) return "given-up notification=undeliverable";
  return "given-up notification=deferred retry_after_ms=" +
         std::to_string(record.give_up.retry_after.count());
}

std::string DescribeRecord(const MessageFinished&) { return "finished"; }

std::string DescribeRecord(const DamagedPlace& place) {
  return "damaged bytes=" + std::to_string(place.bytes);
}

}  // namespace

std::vector<HistoryStep> ReadHistory(const File& file, const std::string& client_id) {
  HistoryFilter filter(client_id);
  const auto size = file.Size();
  if (!size) return {};
  Reader reader(file, kFileHeader.size(), *size);
  while (true) {
    const Reader::Item item = reader.Next();
    switch (item.outcome) {
      case Reader::Outcome::kRecord:
        std::visit([&](const auto& record) { filter.Add(item.extent.offset, record); },
                   item.record);
        break;
      case Reader::Outcome::kDamage:
        filter.AddDamage(item.extent);
        break;
      case Reader::Outcome::kTornTail:
        break;
      case Reader::Outcome::kEnd:
      case Reader::Outcome::kFailed:
        return filter.TakeSteps();
    }
  }
}

std::string Describe(const HistoryStep& step) {
  const auto describe = [](const auto& what) { return DescribeRecord(what); };
  return "offset=" + std::to_string(step.offset) + " " + std::visit(describe, step.what);
}

}  // namespace brassfront::spool
