#include "consensus/empty_logs.hpp"

namespace brassfront::consensus {
namespace {

// An announcement is valid for ten announcement intervals (300 ms each, bootstrap.hpp), so that
// packet loss on a link does not hide an empty log.
constexpr EmptyLogs::Time kAnnouncementLifetime = std::chrono::seconds(3);
// Consecutive announcements after which the voter's former folder counts as replaced.
constexpr std::size_t kRepeatsBeforeReplacement = 3;

}  // namespace

void EmptyLogs::Record(const std::string& voter, std::uint64_t identity, Time now) {
  Announcement& last = announcements_[voter];
  const bool repeated = last.identity == identity && now - last.received <= kAnnouncementLifetime;
  last = {identity, now, repeated ? last.repeats + 1 : 1};
}

std::optional<std::uint64_t> EmptyLogs::Find(const std::string& voter, Time now) const {
  const Announcement* const announcement = FindUnexpired(voter, now);
  if (announcement == nullptr) return std::nullopt;
  return announcement->identity;
}

bool EmptyLogs::HasReplaced(const Server& server, Time now) const {
  const Announcement* const announcement = FindUnexpired(server.name, now);
  return announcement != nullptr && announcement->identity != server.id &&
         announcement->repeats >= kRepeatsBeforeReplacement;
}

const EmptyLogs::Announcement* EmptyLogs::FindUnexpired(const std::string& voter, Time now) const {
  const auto it = announcements_.find(voter);
  if (it == announcements_.end() || now - it->second.received > kAnnouncementLifetime) {
    return nullptr;
  }
  return &it->second;
}

}  // namespace brassfront::consensus
