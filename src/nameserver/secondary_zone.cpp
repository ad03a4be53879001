#include "nameserver/secondary_zone.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "dns/serial.hpp"
#include "observe/log.hpp"

namespace brassfront::nameserver {
namespace {

using observe::Concern;
using observe::Level;

}  // namespace

SecondaryZone::SecondaryZone(SecondaryZoneCopy& zone, std::mutex& mutex, RequestOptions options,
                             double age, ZoneWatcher watcher)
    : zone_(zone),
      zones_mutex_(mutex),
      options_(std::move(options)),
      watcher_(std::move(watcher)),
      session_(SteadySeconds()) {
  if (zone_.zone().has_soa()) {
    const dns::Record soa = zone_.zone().Soa();
    session_.Restore(zone_.zone().serial(), dns::SoaTimers::Of(soa.rdata), age, SteadySeconds());
  }
  thread_ = Thread::Require("dns-follow", [this] { Run(); });
}

SecondaryZone::~SecondaryZone() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  thread_.Join();
}

void SecondaryZone::OnNotify(std::optional<std::uint32_t> serial) {
  const std::lock_guard lock(mutex_);
  session_.OnNotify(serial, SteadySeconds());
  wake_requested_ = true;
  wake_.notify_all();
}

void SecondaryZone::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const auto step = session_.NextStep(SteadySeconds());
    if (step == dns::ZoneTransferSession::Step::kNothing) {
      // At most an hour, since a time far in the future overflows the arithmetic of the clock.
      const double wait = std::clamp(session_.NextStepTime() - SteadySeconds(), 0.001, 3600.0);
      wake_.wait_for(lock, std::chrono::duration<double>(wait),
                     [this] { return stopping_ || std::exchange(wake_requested_, false); });
      continue;
    }
    lock.unlock();
    switch (step) {
      case dns::ZoneTransferSession::Step::kQuerySerial:
        QuerySerial();
        break;
      case dns::ZoneTransferSession::Step::kTransfer:
        TransferNow(true);
        break;
      default: {
        const std::lock_guard zones(zones_mutex_);
        observe::Log(Concern::kZones, Level::kWarning, "zone expired",
                     {{"zone", zone_.zone().origin().ToText()}, {"primary", options_.server}});
        zone_.set_expired(true);
        if (watcher_.expired) watcher_.expired(zone_.zone());
      }
    }
    lock.lock();
  }
}

void SecondaryZone::ReportFailure(const std::string& why) {
  observe::LogRateLimited(
      Concern::kZones, Level::kWarning, "zone not renewed",
      {{"zone", zone_.zone().origin().ToText()}, {"primary", options_.server}, {"why", why}});
  if (watcher_.failed) watcher_.failed(zone_.zone(), why);
}

void SecondaryZone::Fail(const std::string& why) {
  {
    const std::lock_guard zones(zones_mutex_);
    ReportFailure(why);
  }
  const std::lock_guard lock(mutex_);
  session_.OnFailure(SteadySeconds());
}

void SecondaryZone::QuerySerial() {
  dns::Message message;
  message.question = {{zone_.zone().origin(), dns::type::kSoa, dns::klass::kIn}};
  const RequestResult asked = SendRequest(options_, std::move(message));
  const auto* answer = asked.answer ? &*asked.answer : nullptr;
  const bool good = answer != nullptr && answer->rcode == dns::Rcode::kNoError &&
                    answer->authoritative && answer->answer.size() == 1 &&
                    answer->answer[0].type == dns::type::kSoa;
  if (!good) {
    return Fail(answer == nullptr
                    ? asked.why
                    : "the primary answers " + RcodeText(answer->rcode) + " to a SOA query");
  }
  const auto serial = dns::SerialOf(answer->answer[0].rdata);
  const std::lock_guard zones(zones_mutex_);
  const std::lock_guard lock(mutex_);
  session_.OnSerial(serial, SteadySeconds());
  if (serial == zone_.zone().serial()) {
    zone_.set_expired(false);
    if (watcher_.confirmed) watcher_.confirmed(zone_.zone());
  } else if (!dns::IsNewer(serial, zone_.zone().serial())) {
    ReportFailure("the primary's serial is " + std::to_string(serial) + ", not newer than " +
                  std::to_string(zone_.zone().serial()));
  }
}

bool SecondaryZone::ApplyFullZone(const dns::Zone& fetched, std::string& why) {
  std::optional<dns::Change> change;
  if (zone_.zone().has_soa()) {
    if (dns::IsNewer(zone_.zone().serial(), fetched.serial())) {
      why =
          "the primary sent a full zone with the older serial " + std::to_string(fetched.serial());
      return false;
    }
    change = dns::Difference(zone_.zone(), fetched);
  }
  if (!zone_.Replace(fetched, why)) return false;
  zone_.set_expired(false);
  if (watcher_.changed) watcher_.changed(zone_.zone(), change ? &*change : nullptr);
  return true;
}

SecondaryZone::AppliedChanges SecondaryZone::ApplyChanges(const std::vector<dns::Change>& changes,
                                                          std::string& why) {
  AppliedChanges applied;
  for (const dns::Change& change : changes) {
    if (!zone_.Commit(change, nullptr, why)) {
      applied.all_applied = false;
      return applied;
    }
    ++applied.count;
    zone_.set_expired(false);
    if (watcher_.changed) watcher_.changed(zone_.zone(), &change);
  }
  return applied;
}

void SecondaryZone::RecordTransfer(bool changed) {
  const std::lock_guard lock(mutex_);
  if (!changed) return session_.OnUpToDate(SteadySeconds());
  session_.OnTransferred(zone_.zone().serial(), dns::SoaTimers::Of(zone_.zone().Soa().rdata),
                         SteadySeconds());
}

void SecondaryZone::TransferNow(bool incremental) {
  std::optional<dns::Record> have;
  if (incremental && zone_.zone().has_soa()) have = zone_.zone().Soa();
  const dns::TransferResult result = Transfer(options_, zone_.zone().origin(), have);
  std::string why;
  bool again = false;
  {
    const std::lock_guard zones(zones_mutex_);
    const std::uint32_t before = zone_.zone().serial();
    bool changed = false;
    if (const auto* whole = std::get_if<dns::FullZone>(&result)) {
      changed = ApplyFullZone(whole->zone, why);
    } else if (const auto* changes = std::get_if<dns::Changes>(&result)) {
      const AppliedChanges applied = ApplyChanges(changes->changes, why);
      changed = applied.count > 0;
      again =
          !applied
               .all_applied;  // the changes do not apply to the local data: request the full zone
    } else if (std::holds_alternative<dns::UpToDate>(result)) {
      zone_.set_expired(false);
      if (watcher_.confirmed) watcher_.confirmed(zone_.zone());
    } else {
      why = std::get<dns::ValidationError>(result).why;
    }
    if (changed) {
      observe::Log(Concern::kZones, Level::kInfo, "zone renewed",
                   {{"zone", zone_.zone().origin().ToText()},
                    {"from", before},
                    {"to", zone_.zone().serial()}});
    }
    if (why.empty()) RecordTransfer(changed);
  }
  if (why.empty()) return;
  if (again && incremental) return TransferNow(false);
  Fail(why);
}

}  // namespace brassfront::nameserver
