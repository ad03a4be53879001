#include "nameserver/settings.hpp"

#include <filesystem>
#include <map>
#include <utility>

#include "net/socket.hpp"
#include "records/syntax.hpp"

namespace brassfront::nameserver {
namespace {

using records::Fault;
using records::Record;

class Reader {
 public:
  explicit Reader(std::string folder) : folder_(std::move(folder)) {}

  HostSettings Read(const Record& root) {
    HostSettings settings;
    settings.server.address = root.At("listen").Text();
    CheckAddress(root.At("listen"));
    for (const Record& to : root.At("notify").Items()) {
      CheckAddress(to);
      settings.server.notify.push_back(to.Text());
    }
    settings.server.max_connections = static_cast<std::size_t>(root.At("connections").Int());
    for (const Record& key : root.At("keys").Items()) {
      auto read = KeyOf(key);
      const std::string id = read.name.Key();
      if (!settings.keys.emplace(id, std::move(read)).second) {
        faults_.push_back(key.At("name").Complain("a key of this name was given before"));
      }
    }
    for (const Record& zone : root.At("zones").Items()) ReadZone(zone, settings);
    for (const Record& grant : root.At("grants").Items()) ReadGrant(grant, settings);
    for (const Record& fault : root.At("faults").Items()) {
      ScheduledFault& scheduled = settings.faults.emplace_back();
      scheduled.at = SecondsIn(fault.At("at"));
      scheduled.length = SecondsIn(fault.At("for"));
      scheduled.faults.quiet = fault.At("quiet").Bool();
      scheduled.faults.delay =
          std::chrono::duration_cast<std::chrono::milliseconds>(fault.At("delay").Duration());
      scheduled.faults.refuse = fault.At("refuse").Bool();
      scheduled.faults.truncate = fault.At("truncate").Bool();
      scheduled.faults.half_transfers = fault.At("half_transfers").Bool();
      scheduled.faults.garbage = fault.At("garbage").Bool();
      scheduled.faults.notices = fault.At("notices").Bool();
      if (const Record* serial = fault.Find("serial")) {
        scheduled.faults.claimed_serial = static_cast<std::uint32_t>(serial->Int());
      }
    }
    Throw();
    return settings;
  }

  dns::Key KeyOf(const Record& record) {
    dns::Key key;
    key.name = NameOf(record.At("name"));
    key.algorithm =
        dns::AlgorithmFromText(record.At("algorithm").Text()).value_or(dns::Algorithm::kHmacSha256);
    if (auto secret = dns::FromBase64(record.At("secret").Text())) {
      key.secret = *std::move(secret);
    } else {
      faults_.push_back(record.At("secret").Complain("a secret must be Base64 without spaces"));
    }
    return key;
  }

  void Throw() {
    if (!faults_.empty()) throw records::BadRecords(std::move(faults_));
  }

 private:
  dns::Name NameOf(const Record& text) {
    std::string why;
    const auto name = dns::Name::FromText(text.Text(), dns::Name(), why);
    if (name) return *name;
    faults_.push_back(text.Complain(why));
    return {};
  }

  void CheckAddress(const Record& text) {
    if (IsAddress(text.Text())) return;
    faults_.push_back(text.Complain("expected an address such as 127.0.0.1:5300"));
  }

  std::string PathOf(const Record* text) const {
    if (text == nullptr || text->Text().empty()) return {};
    return (std::filesystem::path(folder_) / text->Text()).lexically_normal().string();
  }

  void ReadZone(const Record& record, HostSettings& settings) {
    ZoneSettings zone;
    zone.name = NameOf(record.At("name"));
    zone.file = PathOf(record.Find("file"));
    zone.folder = PathOf(record.Find("folder"));
    const Record* primary = record.Find("primary");
    if (primary != nullptr) {
      CheckAddress(*primary);
      zone.primary = primary->Text();
    }
    if (const Record* key = record.Find("key")) {
      const auto found = settings.keys.find(NameOf(*key).Key());
      if (found == settings.keys.end()) {
        faults_.push_back(key->Complain("no key of this name is given"));
      } else {
        zone.key = found->second;
      }
    }
    if (zone.file.empty() == zone.primary.empty() && (zone.folder.empty() || primary != nullptr)) {
      faults_.push_back(record.Complain("a zone has a file, a folder or both, or else a primary"));
    }
    if (!names_.emplace(zone.name.Key(), true).second) {
      faults_.push_back(record.At("name").Complain("a zone of this name was given before"));
    }
    settings.zones.push_back(std::move(zone));
  }

  void ReadGrant(const Record& record, HostSettings& settings) {
    dns::Grant grant;
    grant.key = NameOf(record.At("key"));
    if (!settings.keys.contains(grant.key.Key())) {
      faults_.push_back(record.At("key").Complain("no key of this name is given"));
    }
    grant.top = NameOf(record.At("top"));
    for (const Record& type : record.At("types").Items()) {
      const auto number = dns::TypeFromText(type.Text());
      if (number && dns::IsDataType(*number)) {
        grant.types.insert(*number);
      } else {
        faults_.push_back(type.Complain("no type of a record in a zone"));
      }
    }
    grant.update = record.At("update").Bool();
    grant.transfer = record.At("transfer").Bool();
    settings.grants.push_back(std::move(grant));
  }

  const std::string folder_;
  std::map<std::string, bool> names_;
  std::vector<Fault> faults_;
};

}  // namespace

double SecondsIn(const Record& duration) {
  return std::chrono::duration<double>(duration.Duration()).count();
}

std::string_view NameserverSchema() {
  return R"(
#Key: {
  name:      string & !=""
  algorithm: "hmac-sha512" | *"hmac-sha256"
  secret:    string & !=""                  // Base64
}

#Grant: {
  key:      string & !=""
  top:      string & !=""                   // for this name and all names below it
  types:    [...string] | *[]               // types that may be updated; all if empty
  update:   bool | *false
  transfer: bool | *false
}

#Zone: {
  name:     string & !=""
  file?:    string                          // paths are relative to the folder of this file
  folder?:  string
  primary?: string                          // IPv4:PORT
  key?:     string                          // for requests to the primary
}

#Fault: {
  at:             duration & >=0s
  for:            duration & >0s
  quiet:          bool | *false
  delay:          duration & >=0s & <=1m | *0s
  refuse:         bool | *false
  truncate:       bool | *false
  half_transfers: bool | *false
  garbage:        bool | *false
  notices:        bool | *true
  serial?:        int & >=0 & <=4294967295  // serial in SOA answers instead of the real one
}

#Nameserver: {
  listen:      string | *"127.0.0.1:0"
  connections: int & >=1 & <=10000 | *100
  notify:      [...string] | *[]
  keys:        [...#Key] | *[]
  grants:      [...#Grant] | *[]
  zones:       [#Zone, ...#Zone]
  faults:      [...#Fault] | *[]
}

#KeyFile: {
  key: #Key
}
)";
}

HostSettings ReadHostSettings(const Record& record, const std::string& folder) {
  return Reader(folder).Read(record);
}

dns::Key ReadKey(const Record& record) {
  Reader reader("");
  dns::Key key = reader.KeyOf(record);
  reader.Throw();
  return key;
}

dns::Key LoadKey(const std::string& path) {
  const std::string text = records::ReadRecordFile(path);
  return ReadKey(
      records::Load({text, path}, {NameserverSchema(), "nameserver schema"}, "#KeyFile").At("key"));
}

}  // namespace brassfront::nameserver
