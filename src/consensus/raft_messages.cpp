#include "consensus/raft_messages.hpp"

#include <algorithm>
#include <new>
#include <utility>
#include <vector>

#include "consensus/raft_configuration.hpp"
#include "consensus/store.hpp"
#include "peers/bytes.hpp"

namespace brassfront::consensus {
namespace {

// ---- the fields of each message, in their order on the wire ----
//
// A codec is a FieldEncoder or a FieldDecoder; both have the same methods.

template <typename Codec>
void VisitFields(Codec& codec, raft_request_vote& request) {
  codec.Number(request.term);
  codec.Number(request.candidate_id);
  codec.Number(request.last_log_index);
  codec.Number(request.last_log_term);
  codec.Flag(request.disrupt_leader);
  codec.Flag(request.pre_vote);
}

template <typename Codec>
void VisitFields(Codec& codec, raft_request_vote_result& result) {
  codec.Number(result.term);
  codec.Flag(result.vote_granted);
  codec.Tribool(result.pre_vote);
}

template <typename Codec>
void VisitFields(Codec& codec, raft_append_entries& request) {
  codec.Number(request.term);
  codec.Number(request.prev_log_index);
  codec.Number(request.prev_log_term);
  codec.Number(request.leader_commit);
  codec.Entries(request.entries, request.n_entries);
}

template <typename Codec>
void VisitFields(Codec& codec, raft_append_entries_result& result) {
  codec.Number(result.term);
  codec.Number(result.rejected);
  codec.Number(result.last_log_index);
}

template <typename Codec>
void VisitFields(Codec& codec, raft_install_snapshot& request) {
  codec.Number(request.term);
  codec.Number(request.last_index);
  codec.Number(request.last_term);
  codec.Number(request.conf_index);
  codec.Configuration(request.conf);
  codec.Data(request.data);
}

template <typename Codec>
void VisitFields(Codec& codec, raft_timeout_now& request) {
  codec.Number(request.term);
  codec.Number(request.last_log_index);
  codec.Number(request.last_log_term);
}

// Visits the fields of the message's type. Returns false if the type is unknown.
template <typename Codec>
bool VisitMessage(Codec& codec, raft_message& message) {
  switch (message.type) {
    case RAFT_IO_REQUEST_VOTE:
      VisitFields(codec, message.request_vote);
      return true;
    case RAFT_IO_REQUEST_VOTE_RESULT:
      VisitFields(codec, message.request_vote_result);
      return true;
    case RAFT_IO_APPEND_ENTRIES:
      VisitFields(codec, message.append_entries);
      return true;
    case RAFT_IO_APPEND_ENTRIES_RESULT:
      VisitFields(codec, message.append_entries_result);
      return true;
    case RAFT_IO_INSTALL_SNAPSHOT:
      VisitFields(codec, message.install_snapshot);
      return true;
    case RAFT_IO_TIMEOUT_NOW:
      VisitFields(codec, message.timeout_now);
      return true;
    default:
      return false;
  }
}

// ---- codecs ----

class FieldEncoder {
 public:
  explicit FieldEncoder(peers::Writer& out) : out_(out) {}

  void Number(std::uint64_t value) { out_.U64(value); }
  void Flag(bool value) { out_.U8(value ? 1 : 0); }
  void Tribool(raft_tribool value) { out_.U8(value); }
  void Entries(const raft_entry* entries, unsigned count) {
    out_.U16(count);
    for (unsigned i = 0; i < count; ++i) {
      out_.U64(entries[i].term).U16(entries[i].type).Text(ViewBytes(entries[i].buf));
    }
  }
  void Configuration(const raft_configuration& configuration) {
    EncodeServers(out_, ReadConfiguration(configuration));
  }
  void Data(const raft_buffer& data) { out_.Text(ViewBytes(data)); }

 private:
  peers::Writer& out_;
};

// Checks every field before it allocates anything for libraft. Fields of variable length are kept
// here until Allocate is called.
class FieldDecoder {
 public:
  explicit FieldDecoder(peers::Reader& in) : in_(in) {}

  template <typename T>
  void Number(T& value) {
    value = in_.U64();
  }
  void Flag(bool& value) { value = in_.U8() != 0; }
  void Tribool(raft_tribool& value) {
    value = static_cast<raft_tribool>(in_.U8());
    valid_ &= value <= std::max(raft_tribool_true, raft_tribool_false);
  }
  void Entries(raft_entry*& entries, unsigned& count) {
    entries = nullptr;
    count = in_.U16();
    for (unsigned i = 0; i < count && !in_.broken(); ++i) {
      LogEntry entry;
      entry.term = in_.U64();
      entry.type = in_.U16();
      entry.data = in_.Text();
      valid_ &= entry.type >= RAFT_COMMAND && entry.type <= RAFT_CHANGE;
      entries_.push_back(std::move(entry));
    }
  }
  void Configuration(raft_configuration&) { servers_ = DecodeServers(in_); }
  void Data(raft_buffer&) { data_ = in_.Text(); }

  // Whether all bytes were read, no field was missing and every value is in its range.
  [[nodiscard]] bool complete() const { return valid_ && in_.done(); }

  // Allocates the entries, or the configuration and the data, of a complete message. Returns false,
  // with nothing left allocated, if libraft rejects the configuration.
  bool Allocate(raft_message& message) const {
    if (message.type == RAFT_IO_APPEND_ENTRIES) AllocateEntries(message.append_entries);
    if (message.type != RAFT_IO_INSTALL_SNAPSHOT) return true;
    raft_install_snapshot& request = message.install_snapshot;
    if (!FillConfiguration(request.conf, servers_)) {
      raft_configuration_close(&request.conf);
      return false;
    }
    request.data = AllocateBuffer(data_);
    return true;
  }

 private:
  void AllocateEntries(raft_append_entries& request) const {
    if (entries_.empty()) return;
    request.entries = static_cast<raft_entry*>(raft_calloc(entries_.size(), sizeof(raft_entry)));
    if (request.entries == nullptr) throw std::bad_alloc();
    // All entries share one batch buffer: libraft copies the entries that it keeps and frees their
    // batch, but it would not free the bytes of an entry without a batch.
    std::string all;
    for (const LogEntry& entry : entries_) all += entry.data;
    void* const batch = AllocateBuffer(all).base;
    char* next = static_cast<char*>(batch);
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      const LogEntry& entry = entries_[i];
      request.entries[i] = {entry.term, entry.type, {next, entry.data.size()}, batch};
      next += entry.data.size();
    }
  }

  peers::Reader& in_;
  bool valid_ = true;
  std::vector<LogEntry> entries_;
  std::vector<Server> servers_;
  std::string data_;
};

}  // namespace

std::string EncodeRaftMessage(const raft_message& message) {
  peers::Writer out;
  out.U64(message.server_id).U8(message.type);
  FieldEncoder encoder(out);
  raft_message fields = message;  // shallow copy; the caller keeps owning what it points to
  VisitMessage(encoder, fields);
  return out.Take();
}

bool DecodeRaftMessage(std::string_view bytes, std::uint64_t own_id, raft_message& message) {
  peers::Reader in(bytes);
  if (in.U64() != own_id) return false;
  message.type = in.U8();
  FieldDecoder decoder(in);
  return VisitMessage(decoder, message) && decoder.complete() && decoder.Allocate(message);
}

}  // namespace brassfront::consensus
