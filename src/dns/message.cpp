#include "dns/message.hpp"

#include <algorithm>
#include <array>
#include <map>

namespace brassfront::dns {
namespace {

constexpr std::size_t kHeaderBytes = 12;
constexpr std::size_t kMaxPointer = 0x3fff;

// Parses a complete message. After the first error good() is false and all further reads return
// zero or empty values.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}

  [[nodiscard]] bool good() const { return why_ == nullptr; }
  [[nodiscard]] const char* why() const { return why_; }
  [[nodiscard]] std::size_t at() const { return at_; }
  [[nodiscard]] bool at_end() const { return at_ == bytes_.size(); }
  void Fail(const char* why) {
    if (why_ == nullptr) why_ = why;
  }

  std::string_view Take(std::size_t length) {
    if (!good() || bytes_.size() - at_ < length) {
      Fail("the message ends too early");
      return {};
    }
    at_ += length;
    return bytes_.substr(at_ - length, length);
  }
  std::uint32_t Number16() {
    const auto bytes = Take(2);
    return good() ? Get16(bytes, 0) : 0;
  }
  std::uint32_t Number32() {
    const auto bytes = Take(4);
    return good() ? Get32(bytes, 0) : 0;
  }

  // Reads a name; compression (RFC 1035 §4.1.4) is accepted if `pointers` is true.
  Name TakeName(bool pointers) {
    std::string wire;
    NameCursor cursor{at_, at_, false};
    while (good()) {
      if (cursor.at >= bytes_.size()) {
        Fail("a name ends too early");
        break;
      }
      const auto length = static_cast<unsigned char>(bytes_[cursor.at]);
      if ((length & kPointerBits) == kPointerBits) {
        FollowPointer(cursor, pointers);
        continue;
      }
      TakeLabel(cursor, length, wire);
      if (!good() || length > 0) continue;
      if (!cursor.jumped) at_ = cursor.at;
      if (auto name = Name::FromWire(wire)) return *std::move(name);
      Fail("a name is not well-formed");
    }
    return {};
  }

 private:
  static constexpr unsigned char kPointerBits = 0xc0;

  struct NameCursor {
    std::size_t at;
    std::size_t start;  // start of the current run of labels; a pointer must point before it
    bool jumped;
  };

  void FollowPointer(NameCursor& cursor, bool allowed) {
    if (!allowed || cursor.at + 1 >= bytes_.size()) {
      return Fail("a compressed name where compression is not allowed");
    }
    const std::size_t target = Get16(bytes_, cursor.at) & kMaxPointer;
    if (!cursor.jumped) at_ = cursor.at + 2;
    // A name in the header would change when signing the message changes the record counts.
    if (target >= cursor.start || target < kHeaderBytes) {
      return Fail(target < cursor.start ? "a name points into the header"
                                        : "a name points forward or at itself");
    }
    cursor = {target, target, true};
  }

  void TakeLabel(NameCursor& cursor, unsigned char length, std::string& wire) {
    if (length > Name::kMaxLabelBytes || wire.size() + 1 + length > Name::kMaxBytes ||
        bytes_.size() - cursor.at < 1u + length) {
      return Fail("a label or a name is too long");
    }
    wire.append(bytes_.substr(cursor.at, 1u + length));
    cursor.at += 1u + length;
  }

  std::string_view bytes_;
  std::size_t at_ = 0;
  const char* why_ = nullptr;
};

// Reads RDATA and returns it with its names uncompressed.
std::string TakeRdata(Reader& reader, std::uint16_t type, std::size_t length) {
  const TypeInfo* info = InfoOf(type);
  const std::size_t end = reader.at() + length;
  if (info == nullptr) return std::string(reader.Take(length));
  std::string out;
  for (const Field* field = info->fields.data(); *field != Field::kEnd && reader.good(); ++field) {
    const std::size_t left = end > reader.at() ? end - reader.at() : 0;
    switch (*field) {
      case Field::kName:
      case Field::kPlainName:
      case Field::kStrictName:
        out += reader.TakeName(*field != Field::kStrictName).wire();
        break;
      case Field::kU16:
        out += reader.Take(2);
        break;
      case Field::kU32:
      case Field::kSeconds:
      case Field::kIpv4:
        out += reader.Take(4);
        break;
      case Field::kIpv6:
        out += reader.Take(16);
        break;
      case Field::kStrings:
      case Field::kSvcParams:
        out += reader.Take(left);
        break;
      case Field::kEnd:
        break;
    }
  }
  if (reader.good() && (reader.at() != end || !IsRdata(type, out))) {
    reader.Fail("a record's data is not valid for its type");
  }
  return out;
}

Record TakeRecord(Reader& reader, bool update) {
  Record record;
  record.name = reader.TakeName(true);
  record.type = static_cast<std::uint16_t>(reader.Number16());
  record.klass = static_cast<std::uint16_t>(reader.Number16());
  record.ttl = reader.Number32();
  const std::size_t length = reader.Number16();
  // In an update, records without data stand for "all of this type" and similar (RFC 2136 §2.4,
  // §2.5).
  const bool empty = length == 0 && update && record.klass != klass::kIn;
  if (reader.good() && !empty) record.rdata = TakeRdata(reader, record.type, length);
  return record;
}

Edns EdnsFrom(const Record& opt) {
  return {opt.klass, static_cast<std::uint8_t>(opt.ttl >> 16), (opt.ttl & 0x8000) != 0, opt.rdata};
}

class Writer {
 public:
  std::string& bytes() { return bytes_; }

  void PutName(const Name& name, bool compress) {
    const std::string& wire = name.wire();
    std::size_t at = 0;
    while (wire[at] != 0) {
      const std::string rest = wire.substr(at);
      if (compress) {
        if (const auto known = name_offsets_.find(rest); known != name_offsets_.end()) {
          Put16(bytes_, 0xc000u | static_cast<std::uint32_t>(known->second));
          return;
        }
      }
      if (bytes_.size() <= kMaxPointer) name_offsets_.emplace(rest, bytes_.size());
      const auto length = 1u + static_cast<unsigned char>(wire[at]);
      bytes_.append(wire, at, length);
      at += length;
    }
    bytes_ += '\0';
  }

  void PutRecord(const Record& record) {
    PutName(record.name, true);
    Put16(bytes_, record.type);
    Put16(bytes_, record.klass);
    Put32(bytes_, record.ttl);
    const std::size_t length_at = bytes_.size();
    Put16(bytes_, 0);
    const TypeInfo* info = InfoOf(record.type);
    std::size_t n = 0;
    std::size_t done = 0;
    for (; info != nullptr && !record.rdata.empty() && info->fields[n] != Field::kEnd; ++n) {
      if (info->fields[n] != Field::kName) continue;
      const auto field = FieldOf(record.type, record.rdata, n);
      const auto name = Name::FromWire(field);
      if (!name) continue;
      const auto from = static_cast<std::size_t>(field.data() - record.rdata.data());
      bytes_.append(record.rdata, done, from - done);
      PutName(*name, true);
      done = from + field.size();
    }
    bytes_.append(record.rdata, done);
    const std::size_t length = bytes_.size() - length_at - 2;
    bytes_[length_at] = static_cast<char>(length >> 8);
    bytes_[length_at + 1] = static_cast<char>(length);
  }

  void TruncateTo(std::size_t size) {
    bytes_.resize(size);
    std::erase_if(name_offsets_, [size](const auto& place) { return place.second >= size; });
  }

 private:
  std::string bytes_;
  std::map<std::string, std::size_t> name_offsets_;
};

std::string OptBytes(const Edns& edns, Rcode rcode) {
  std::string out(1, '\0');  // the root
  Put16(out, type::kOpt);
  Put16(out, edns.udp_bytes);
  out += static_cast<char>(static_cast<std::uint16_t>(rcode) >> 4);
  out += static_cast<char>(edns.version);
  Put16(out, edns.dnssec_ok ? 0x8000 : 0);
  Put16(out, static_cast<std::uint32_t>(edns.options.size()));
  return out + edns.options;
}

// Numbers of questions, answer, authority and additional records, in the order of the header.
using SectionCounts = std::array<std::uint32_t, 4>;
constexpr std::size_t kRecordSections = 3;

// Reads the ID and the flags into the message; returns the raw flags as well.
std::uint32_t TakeHeader(Reader& reader, Message& message) {
  message.id = static_cast<std::uint16_t>(reader.Number16());
  const std::uint32_t flags = reader.Number16();
  message.response = (flags & 0x8000) != 0;
  message.opcode = static_cast<Opcode>(flags >> 11 & 15);
  message.authoritative = (flags & 0x0400) != 0;
  message.truncated = (flags & 0x0200) != 0;
  message.recursion_desired = (flags & 0x0100) != 0;
  message.recursion_available = (flags & 0x0080) != 0;
  message.rcode = static_cast<Rcode>(flags & 15);
  return flags;
}

void TakeQuestions(Reader& reader, std::uint32_t count, Message& message) {
  for (std::uint32_t n = 0; n < count && reader.good(); ++n) {
    Question question;
    question.name = reader.TakeName(true);
    question.type = static_cast<std::uint16_t>(reader.Number16());
    question.klass = static_cast<std::uint16_t>(reader.Number16());
    message.question.push_back(std::move(question));
  }
}

// RFC 6891 §6.1.1: at most one OPT, owned by the root, in the additional section.
void TakeOpt(Reader& reader, const Record& opt, bool additional, std::uint32_t flags,
             Message& message) {
  if (!additional || message.edns || !opt.name.IsRoot()) {
    reader.Fail("an OPT record that is duplicated, misplaced or not owned by the root");
  }
  message.edns = EdnsFrom(opt);
  message.rcode = static_cast<Rcode>((flags & 15) | (opt.ttl >> 24) << 4);
}

void TakeRecords(Reader& reader, std::uint32_t flags, const SectionCounts& counts,
                 Message& message) {
  const bool update = message.opcode == Opcode::kUpdate;
  const std::array<std::vector<Record>*, kRecordSections> sections = {
      &message.answer, &message.authority, &message.additional};
  for (std::size_t section = 0; section < kRecordSections; ++section) {
    const bool additional = section == kRecordSections - 1;
    for (std::uint32_t n = 0; n < counts[section + 1] && reader.good(); ++n) {
      const std::size_t start = reader.at();
      Record record = TakeRecord(reader, update);
      if (!reader.good()) break;
      if (record.type == type::kOpt) {
        TakeOpt(reader, record, additional, flags, message);
      } else if (record.type == type::kTsig) {
        const bool is_last = additional && n + 1 == counts[section + 1];
        if (!is_last) reader.Fail("TSIG that is not the last record");
        message.tsig_at = start;
        message.tsig = std::move(record);
      } else {
        sections[section]->push_back(std::move(record));
      }
    }
  }
}

}  // namespace

std::string RcodeText(std::uint16_t rcode) {
  static constexpr std::array kTexts = {"NOERROR", "FORMERR", "SERVFAIL", "NXDOMAIN",
                                        "NOTIMP",  "REFUSED", "YXDOMAIN", "YXRRSET",
                                        "NXRRSET", "NOTAUTH", "NOTZONE"};
  if (rcode < kTexts.size()) return kTexts[rcode];
  switch (rcode) {
    case 16:
      return "BADVERS/BADSIG";  // BADVERS in an OPT, BADSIG in a TSIG
    case 17:
      return "BADKEY";
    case 18:
      return "BADTIME";
    case 22:
      return "BADTRUNC";
    default:
      return "RCODE" + std::to_string(rcode);
  }
}

std::string Record::ToText() const {
  return name.ToText() + " " + std::to_string(ttl) + " " + ClassText(klass) + " " + TypeText(type) +
         (rdata.empty() && klass != klass::kIn ? "" : " " + RdataText(type, rdata));
}

bool SameData(const Record& a, const Record& b) {
  return a.type == b.type && a.name == b.name &&
         CanonicalRdata(a.type, a.rdata) == CanonicalRdata(b.type, b.rdata);
}

Decoded Decode(std::string_view bytes) {
  Reader reader(bytes);
  Message message;
  const std::uint32_t flags = TakeHeader(reader, message);
  SectionCounts counts{};
  for (auto& count : counts) count = reader.Number16();
  if (!reader.good()) return {{}, {}, "the message is shorter than its header"};
  const Message header = message;
  TakeQuestions(reader, counts[0], message);
  TakeRecords(reader, flags, counts, message);
  if (reader.good() && !reader.at_end()) reader.Fail("bytes follow the last record");
  if (reader.good()) return {std::move(message), {}, {}};
  if (header.response) return {{}, {}, reader.why()};
  return {{}, ReplyTo(header, Rcode::kFormErr), reader.why()};
}

std::string Encode(const Message& message, std::size_t limit) {
  Writer writer;
  Put16(writer.bytes(), message.id);
  writer.bytes().append(kHeaderBytes - 2, '\0');
  SectionCounts counts{static_cast<std::uint32_t>(message.question.size())};
  for (const Question& question : message.question) {
    writer.PutName(question.name, true);
    Put16(writer.bytes(), question.type);
    Put16(writer.bytes(), question.klass);
  }
  const std::string opt = message.edns ? OptBytes(*message.edns, message.rcode) : std::string();
  bool truncated = message.truncated;
  const std::array<const std::vector<Record>*, kRecordSections> sections = {
      &message.answer, &message.authority, &message.additional};
  for (std::size_t section = 0; section < kRecordSections && !truncated; ++section) {
    const auto& records = *sections[section];
    for (const auto& record : records) {
      const std::size_t before = writer.bytes().size();
      writer.PutRecord(record);
      if (writer.bytes().size() + opt.size() <= limit) {
        ++counts[section + 1];
        continue;
      }
      writer.TruncateTo(before);
      truncated = section != 2;
      break;
    }
  }
  if (!opt.empty()) {
    writer.bytes() += opt;
    ++counts[3];
  }
  std::string& bytes = writer.bytes();
  std::string header;
  Put16(header, (message.response ? 0x8000u : 0) |
                    static_cast<std::uint32_t>(message.opcode) << 11 |
                    (message.authoritative ? 0x0400u : 0) | (truncated ? 0x0200u : 0) |
                    (message.recursion_desired ? 0x0100u : 0) |
                    (message.recursion_available ? 0x0080u : 0) |
                    (static_cast<std::uint32_t>(message.rcode) & 15));
  for (const auto count : counts) Put16(header, count);
  bytes.replace(2, header.size(), header);
  return std::move(bytes);
}

Message ReplyTo(const Message& request, Rcode rcode) {
  Message reply;
  reply.id = request.id;
  reply.response = true;
  reply.opcode = request.opcode;
  reply.recursion_desired = request.recursion_desired;
  reply.rcode = rcode;
  reply.question = request.question;
  if (request.edns) reply.edns.emplace();
  return reply;
}

void StreamReader::Feed(std::string_view bytes) {
  while (!bytes.empty()) {
    const std::size_t due = pending_.size() < 2 ? 2 : 2 + Get16(pending_, 0);
    const std::size_t part = std::min(due - pending_.size(), bytes.size());
    pending_.append(bytes.substr(0, part));
    bytes.remove_prefix(part);
    if (pending_.size() >= 2 && pending_.size() == 2 + Get16(pending_, 0)) {
      messages_.push_back(pending_.substr(2));
      pending_.clear();
    }
  }
}

std::string WithLengthPrefix(std::string_view message) {
  std::string out;
  Put16(out, static_cast<std::uint32_t>(message.size()));
  return out.append(message);
}

}  // namespace brassfront::dns
