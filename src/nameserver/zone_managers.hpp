// Storage of zones: on disk, in memory, or as a copy of a primary's zone.
#ifndef BRASSFRONT_NAMESERVER_ZONE_MANAGERS_HPP_
#define BRASSFRONT_NAMESERVER_ZONE_MANAGERS_HPP_

#include <optional>
#include <string>
#include <utility>

#include "nameserver/responder.hpp"
#include "zones/store.hpp"

namespace brassfront::nameserver {

// A primary zone that is stored in a folder; committed changes survive the process.
class StoredZone : public ZoneManager {
 public:
  StoredZone(std::string folder, const dns::Name& origin, zones::ZoneStore::Options options)
      : store_(std::move(folder), origin, options) {}

  zones::ZoneStore& store() { return store_; }
  [[nodiscard]] const dns::Zone& zone() const override { return store_.zone(); }
  [[nodiscard]] bool answers() const override { return store_.zone().has_soa(); }
  bool Commit(const dns::Change& change, const dns::UpdateSignature* signature,
              std::string& why) override {
    if (store_.Commit(change, signature)) return true;
    why = store_.why();
    return false;
  }

  [[nodiscard]] std::vector<dns::UpdateSignature> signatures() const override {
    return {store_.signatures().begin(), store_.signatures().end()};
  }

 private:
  zones::ZoneStore store_;
};

// A zone in memory; its changes are lost when the process ends.
class MemoryZone : public ZoneManager {
 public:
  explicit MemoryZone(dns::Zone zone) : zone_(std::move(zone)) {}

  [[nodiscard]] const dns::Zone& zone() const override { return zone_; }
  [[nodiscard]] bool answers() const override { return zone_.has_soa(); }
  bool Commit(const dns::Change& change, const dns::UpdateSignature*, std::string& why) override {
    if (zone_.Apply(change)) return true;
    why = "the change does not start from what the zone holds";
    return false;
  }

 protected:
  dns::Zone zone_;
};

// A zone that changes only when its file is read again.
class FileZone : public MemoryZone {
 public:
  using MemoryZone::MemoryZone;
  [[nodiscard]] bool takes_updates() const override { return false; }
  void Start(dns::Zone zone) { zone_ = std::move(zone); }
};

// A copy of a primary's zone. SecondaryZone writes to it and marks it as expired.
class SecondaryZoneCopy : public ZoneManager {
 public:
  // If a folder is given, the copy survives the process. Throws zones::StoreError.
  SecondaryZoneCopy(const dns::Name& origin, const std::string& folder) : zone_(origin) {
    if (!folder.empty()) store_.emplace(folder, origin, zones::ZoneStore::Options{});
  }
  explicit SecondaryZoneCopy(const dns::Name& origin) : SecondaryZoneCopy(origin, "") {}

  [[nodiscard]] const dns::Zone& zone() const override { return store_ ? store_->zone() : zone_; }
  [[nodiscard]] bool answers() const override { return zone().has_soa() && !expired_; }
  [[nodiscard]] bool takes_updates() const override { return false; }
  bool Commit(const dns::Change& change, const dns::UpdateSignature*, std::string& why) override {
    if (store_ ? store_->Commit(change) : zone_.Apply(change)) return true;
    why = store_ ? store_->why() : "the change does not start from what the zone holds";
    return false;
  }
  bool Replace(const dns::Zone& zone, std::string& why) {
    if (store_ && !store_->Replace(zone)) {
      why = store_->why();
      return false;
    }
    if (!store_) zone_ = zone;
    return true;
  }
  void set_expired(bool expired) { expired_ = expired; }

 private:
  dns::Zone zone_;
  std::optional<zones::ZoneStore> store_;
  bool expired_ = false;
};

}  // namespace brassfront::nameserver

#endif  // BRASSFRONT_NAMESERVER_ZONE_MANAGERS_HPP_
