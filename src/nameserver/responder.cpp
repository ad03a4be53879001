#include "nameserver/responder.hpp"

#include <algorithm>

#include "dns/transfer.hpp"

namespace brassfront::nameserver {
namespace {

Responder::Reply NoReply(std::string event) {
  Responder::Reply reply;
  reply.event = std::move(event);
  return reply;
}

Responder::Reply ReplyOf(std::string message, std::string event) {
  Responder::Reply reply = NoReply(std::move(event));
  reply.messages.push_back(std::move(message));
  return reply;
}

}  // namespace

using dns::Message;
using dns::Name;
using dns::Opcode;
using dns::Rcode;
using dns::TsigError;
using dns::TsigSession;

std::optional<Rcode> UpdateSignatureCache::Find(const std::string& mac) const {
  const auto found = seen_.find(mac);
  return found == seen_.end() ? std::nullopt : std::optional(found->second.rcode);
}

void UpdateSignatureCache::Add(const std::string& mac, std::uint64_t signed_at, std::uint64_t until,
                               Rcode rcode) {
  if (!seen_.emplace(mac, Seen{signed_at, rcode}).second) return;
  by_expiry_.emplace(until, mac);
  while (seen_.size() > kMaxEntries) {
    const auto first = by_expiry_.begin();
    newest_evicted_ = std::max(newest_evicted_, seen_.at(first->second).signed_at);
    seen_.erase(first->second);
    by_expiry_.erase(first);
  }
}

void UpdateSignatureCache::RemoveExpired(std::uint64_t now) {
  while (!by_expiry_.empty() && by_expiry_.begin()->first < now) {
    seen_.erase(by_expiry_.begin()->second);
    by_expiry_.erase(by_expiry_.begin());
  }
}

std::optional<Name> Responder::Request::key() const {
  return session != nullptr ? std::optional(session->key().name) : std::nullopt;
}

void Responder::AddZone(ZoneManager* manager) {
  zones_[manager->zone().origin().Key()] = manager;
  for (const dns::UpdateSignature& signature : manager->signatures()) {
    signatures_.Add(signature.mac, signature.signed_at, signature.signed_at + dns::kFudgeSeconds,
                    Rcode::kNoError);
  }
}

void Responder::SetKeys(dns::KeyRing keys, std::vector<dns::Grant> grants) {
  keys_ = std::move(keys);
  grants_ = std::move(grants);
}

ZoneManager* Responder::ZoneWithApex(const Name& name) const {
  const auto zone = zones_.find(name.Key());
  return zone == zones_.end() ? nullptr : zone->second;
}

ZoneManager* Responder::ZoneContaining(const Name& name) const {
  for (Name at = name;; at = at.Parent()) {
    if (ZoneManager* manager = ZoneWithApex(at)) return manager;
    if (at.IsRoot()) return nullptr;
  }
}

Responder::Reply Responder::Answer(std::string_view bytes, bool stream, std::uint64_t seconds) {
  const dns::Decoded decoded = dns::Decode(bytes);
  if (!decoded.message) {
    if (!decoded.refusal) return NoReply("dropped: " + decoded.why);
    return ReplyOf(Encode(*decoded.refusal), "refused: " + decoded.why);
  }
  const Message& message = *decoded.message;
  if (message.response) return NoReply("dropped: an unsolicited response");

  Request request{message, bytes, stream, seconds};
  if (!stream) {
    request.limit = message.edns ? std::clamp<std::size_t>(message.edns->udp_bytes,
                                                           dns::kPlainUdpBytes, dns::kUdpBytes)
                                 : dns::kPlainUdpBytes;
  }
  std::optional<TsigSession> session;
  if (message.tsig) {
    TsigError error = TsigError::kNone;
    const auto key = KeyOf(message, keys_, error);
    if (key) {
      session.emplace(*key);
      error = session->Check(bytes, message, seconds);
    }
    if (error != TsigError::kNone) {
      const Message refusal = ReplyTo(message, Rcode::kNotAuth);
      std::string event = "refused: " + dns::RcodeText(static_cast<std::uint16_t>(error)) +
                          " with key " + message.tsig->name.ToText();
      if (error == TsigError::kBadTime) {
        return ReplyOf(session->SignBadTime(Encode(refusal), session->signed_at(), seconds),
                       std::move(event));
      }
      return ReplyOf(WithTsigError(Encode(refusal), message, error), std::move(event));
    }
    request.session = &*session;
  }
  if (message.edns && message.edns->version != 0) {
    return Refuse(request, Rcode::kBadVers, "unsupported EDNS version");
  }
  switch (message.opcode) {
    case Opcode::kUpdate:
      return Update(request);
    case Opcode::kNotify:
      return Notify(request);
    case Opcode::kQuery:
      break;
    default:
      return Refuse(request, Rcode::kNotImp, "an opcode that is not supported");
  }
  if (message.question.size() != 1) {
    return Refuse(request, Rcode::kFormErr, "a query that does not have exactly one question");
  }
  const auto type = message.question[0].type;
  return type == dns::type::kAxfr || type == dns::type::kIxfr ? Transfer(request) : Query(request);
}

Responder::Reply Responder::Signed(const Request& request, const Message& answer,
                                   std::string event) const {
  if (request.session == nullptr) return ReplyOf(Encode(answer, request.limit), std::move(event));
  const std::size_t room = request.limit - std::min(request.limit, request.session->MaxTsigBytes());
  return ReplyOf(request.session->Sign(Encode(answer, room), request.now), std::move(event));
}

Responder::Reply Responder::Refuse(const Request& request, Rcode rcode, std::string why) const {
  return Signed(request, ReplyTo(request.message, rcode),
                "refused: " + RcodeText(rcode) + ": " + std::move(why));
}

Responder::Reply Responder::Query(const Request& request) const {
  const dns::Question& question = request.message.question[0];
  if (question.klass != dns::klass::kIn && question.klass != dns::klass::kAny) {
    return Refuse(request, Rcode::kRefused, "class " + dns::ClassText(question.klass));
  }
  const ZoneManager* manager = ZoneContaining(question.name);
  if (manager == nullptr) {
    return Refuse(request, Rcode::kRefused,
                  question.name.ToText() + " is in no zone of this server");
  }
  if (!manager->answers()) {
    return Refuse(request, Rcode::kServFail,
                  manager->zone().origin().ToText() + " cannot be answered for now");
  }
  dns::Lookup lookup = manager->zone().Query(question.name, question.type);
  for (dns::Record& record : lookup.answer) {
    if (record.type != dns::type::kSoa || !claimed_serial_) continue;
    record.rdata = dns::WithSerial(record.rdata, *claimed_serial_);
  }
  Message answer = ReplyTo(request.message, lookup.rcode);
  answer.authoritative = lookup.authoritative;
  answer.answer = std::move(lookup.answer);
  answer.authority = std::move(lookup.authority);
  answer.additional = std::move(lookup.additional);
  return Signed(request, answer,
                "answered " + question.name.ToText() + " " + dns::TypeText(question.type) + ": " +
                    RcodeText(lookup.rcode));
}

Responder::Reply Responder::Transfer(const Request& request) const {
  const dns::Question& question = request.message.question[0];
  const ZoneManager* manager = ZoneWithApex(question.name);
  const std::string what = dns::TypeText(question.type) + " of " + question.name.ToText();
  if (manager == nullptr || question.klass != dns::klass::kIn) {
    return Refuse(request, Rcode::kNotAuth, what + ": no such zone");
  }
  if (!MayTransfer(grants_, question.name, request.key())) {
    return Refuse(request, Rcode::kRefused, what + ": no grant");
  }
  if (question.type == dns::type::kIxfr && !ClientSerial(request.message)) {
    return Refuse(request, Rcode::kFormErr, what + ": without the client's SOA");
  }
  if (question.type == dns::type::kAxfr && !request.stream) {
    return Refuse(request, Rcode::kFormErr, what + ": by UDP");
  }
  if (!manager->answers()) {
    return Refuse(request, Rcode::kServFail, what + ": the zone is not available");
  }
  Reply reply;
  reply.messages = TransferAnswer(manager->zone(), request.message, request.stream, request.limit,
                                  request.session, request.now);
  reply.event = "sent " + what + ": serial " + std::to_string(manager->zone().serial()) + " in " +
                std::to_string(reply.messages.size()) + " messages";
  return reply;
}

Responder::Reply Responder::Update(const Request& request) {
  const Message& message = request.message;
  ZoneManager* manager =
      message.question.size() == 1 ? ZoneWithApex(message.question[0].name) : nullptr;
  if (message.question.size() != 1) {
    return Refuse(request, Rcode::kFormErr, "an update that does not name exactly one zone");
  }
  if (manager == nullptr) {
    return Refuse(request, Rcode::kNotAuth,
                  "an update of " + message.question[0].name.ToText() + ": no such zone");
  }
  if (!manager->takes_updates()) {
    return Refuse(request, Rcode::kRefused, "an update of a zone that follows a primary");
  }
  if (!manager->answers()) {
    return Refuse(request, Rcode::kServFail, "an update: the zone is not available");
  }
  const std::string mac = request.session != nullptr ? request.session->mac() : std::string();
  signatures_.RemoveExpired(request.now);
  if (!mac.empty()) {
    if (const auto before = signatures_.Find(mac)) {
      return Signed(request, ReplyTo(message, *before), "an update that was answered before");
    }
    if (signatures_.IsTooOld(request.session->signed_at())) {
      return Refuse(request, Rcode::kRefused, "an update signed too long ago");
    }
  }
  dns::UpdateOutcome outcome = EvaluateUpdate(manager->zone(), message, request.key(), grants_);
  if (outcome.rcode != Rcode::kNoError) return Refuse(request, outcome.rcode, outcome.why);
  Reply reply;
  std::string event = "updated " + manager->zone().origin().ToText() + ": nothing to change";
  if (outcome.change) {
    std::string why;
    dns::UpdateSignature signature;
    if (!mac.empty()) signature = {mac, request.session->signed_at()};
    if (!manager->Commit(*outcome.change, mac.empty() ? nullptr : &signature, why)) {
      return Refuse(request, Rcode::kServFail, "an update that cannot be stored: " + why);
    }
    event = "updated " + manager->zone().origin().ToText() + " to serial " +
            std::to_string(manager->zone().serial());
  }
  if (!mac.empty()) {
    signatures_.Add(mac, request.session->signed_at(),
                    request.session->signed_at() + dns::kFudgeSeconds, Rcode::kNoError);
  }
  reply = Signed(request, ReplyTo(message, Rcode::kNoError), std::move(event));
  if (outcome.change) reply.changed = &manager->zone();
  reply.change = std::move(outcome.change);
  return reply;
}

Responder::Reply Responder::Notify(const Request& request) const {
  const Message& message = request.message;
  const ZoneManager* manager =
      message.question.size() == 1 ? ZoneWithApex(message.question[0].name) : nullptr;
  if (manager == nullptr || manager->takes_updates()) {
    return Refuse(request, Rcode::kNotAuth, "a notice about a zone that is not followed");
  }
  Message answer = ReplyTo(message, Rcode::kNoError);
  answer.authoritative = true;
  Reply reply = Signed(request, answer, "notified of " + manager->zone().origin().ToText());
  reply.notified = &manager->zone().origin();
  for (const dns::Record& record : message.answer) {
    if (record.type == dns::type::kSoa) reply.notified_serial = dns::SerialOf(record.rdata);
  }
  return reply;
}

}  // namespace brassfront::nameserver
