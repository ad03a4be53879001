#include "consensus/log_records.hpp"

#include <xxhash.h>

#include <utility>

#include "peers/bytes.hpp"

namespace brassfront::consensus {
namespace {

using peers::Reader;
using peers::Writer;

enum class Tag : std::uint8_t { kBase = 1, kTerm, kVote, kEntry, kTruncate };

constexpr std::size_t kHeaderBytes = 16;  // length u32, hash of the length u32, payload hash u64
constexpr std::size_t kHashBytes = 8;
// Upper bound of a valid record: an entry has at most 512 bytes and a configuration change a few
// hundred, so a longer record was never written.
constexpr std::size_t kMaxRecordBytes = 1 << 20;
// The seeds differ, so that a record cannot pass as a length or a snapshot.
constexpr XXH64_hash_t kPayloadSeed = 0;
constexpr XXH64_hash_t kSnapshotSeed = 1;
constexpr XXH64_hash_t kLengthSeed = 0x6C656E67;

std::uint64_t Hash(std::string_view bytes, XXH64_hash_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

// Hashes the length in host byte order, for compatibility with all earlier versions.
std::uint32_t HashLength(std::uint32_t length) {
  return static_cast<std::uint32_t>(XXH64(&length, sizeof length, kLengthSeed));
}

std::string EncodeRecord(const Writer& payload) {
  const auto length = static_cast<std::uint32_t>(payload.size());
  Writer out;
  out.U32(length).U32(HashLength(length)).U64(Hash(payload.bytes(), kPayloadSeed));
  return out.Raw(payload.bytes()).Take();
}

Writer BeginPayload(Tag tag) {
  Writer payload;
  payload.U8(static_cast<std::uint64_t>(tag));
  return payload;
}

// Applies a record's payload to `state`. Returns false if the payload is invalid.
bool ReplayRecord(std::string_view payload, PersistentState& state) {
  Reader in(payload);
  switch (static_cast<Tag>(in.U8())) {
    case Tag::kBase:
      state.term = in.U64();
      state.vote = in.U64();
      state.first = in.U64();
      state.entries.clear();
      break;
    case Tag::kTerm:
      state.term = in.U64();
      state.vote = 0;
      break;
    case Tag::kVote:
      state.vote = in.U64();
      break;
    case Tag::kEntry: {
      LogEntry entry;
      entry.term = in.U64();
      entry.type = in.U16();
      entry.data = in.Text();
      state.entries.push_back(std::move(entry));
      break;
    }
    case Tag::kTruncate: {
      const std::uint64_t from = in.U64();
      if (from < state.first) return false;
      state.Truncate(from);
      break;
    }
    default:
      return false;
  }
  return in.done();
}

}  // namespace

std::string EncodeTermRecord(std::uint64_t term) {
  return EncodeRecord(BeginPayload(Tag::kTerm).U64(term));
}

std::string EncodeVoteRecord(std::uint64_t id) {
  return EncodeRecord(BeginPayload(Tag::kVote).U64(id));
}

std::string EncodeEntryRecord(const LogEntry& entry) {
  return EncodeRecord(BeginPayload(Tag::kEntry).U64(entry.term).U16(entry.type).Text(entry.data));
}

std::string EncodeTruncateRecord(std::uint64_t from) {
  return EncodeRecord(BeginPayload(Tag::kTruncate).U64(from));
}

std::string EncodeLog(const PersistentState& state) {
  std::string log =
      EncodeRecord(BeginPayload(Tag::kBase).U64(state.term).U64(state.vote).U64(state.first));
  for (const LogEntry& entry : state.entries) log += EncodeEntryRecord(entry);
  return log;
}

ReplayedLog ReplayLog(std::string_view log) {
  ReplayedLog replayed;
  while (replayed.valid_bytes + kHeaderBytes <= log.size()) {
    const std::string_view rest = log.substr(replayed.valid_bytes);
    Reader header(rest.substr(0, kHeaderBytes));
    const std::uint32_t length = header.U32();
    const std::uint32_t length_hash = header.U32();
    const std::uint64_t payload_hash = header.U64();
    if (length_hash != HashLength(length) || length > kMaxRecordBytes) {
      replayed.damaged = true;
      break;
    }
    if (kHeaderBytes + length > rest.size()) break;  // incomplete last record
    const std::string_view payload = rest.substr(kHeaderBytes, length);
    if (Hash(payload, kPayloadSeed) != payload_hash || !ReplayRecord(payload, replayed.state)) {
      replayed.damaged = true;
      break;
    }
    replayed.valid_bytes += kHeaderBytes + length;
  }
  return replayed;
}

std::string EncodeSnapshot(const Snapshot& snapshot) {
  Writer payload;
  payload.U64(snapshot.index).U64(snapshot.term).U64(snapshot.servers_index);
  payload.U8(snapshot.servers.size());
  for (const Server& server : snapshot.servers) {
    payload.U64(server.id).Name(server.name).U8(static_cast<std::uint64_t>(server.role));
  }
  payload.Text(snapshot.state);
  Writer out;
  return out.U64(Hash(payload.bytes(), kSnapshotSeed)).Raw(payload.bytes()).Take();
}

std::optional<Snapshot> DecodeSnapshot(std::string_view bytes) {
  Reader in(bytes);
  const std::uint64_t hash = in.U64();
  if (in.broken() || Hash(bytes.substr(kHashBytes), kSnapshotSeed) != hash) return std::nullopt;
  Snapshot snapshot;
  snapshot.index = in.U64();
  snapshot.term = in.U64();
  snapshot.servers_index = in.U64();
  snapshot.servers.resize(in.U8());
  for (Server& server : snapshot.servers) {
    server.id = in.U64();
    server.name = in.Name();
    server.role = in.U8();
  }
  snapshot.state = in.Text();
  if (!in.done()) return std::nullopt;
  return snapshot;
}

}  // namespace brassfront::consensus
