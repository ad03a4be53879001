// Tests the stored format of the spool's records. The bytes are those of the first version: files
// with such records must stay readable.
#include "spool/spool_record.hpp"

#include <doctest/doctest.h>

#include <string>

namespace brassfront::spool {
namespace {

// Returns a string literal, which may contain zero bytes, as a string.
template <std::size_t size>
std::string Bytes(const char (&literal)[size]) {
  return std::string(literal, size - 1);
}

const SpooledMessage kMessage{.id = "m",
                              .key = "kk",
                              .class_name = "c",
                              .tenant_name = "",
                              .destination = 7,
                              .deadline = UnixMs(258),
                              .body = "b"};

std::string PayloadOf(const std::string& record) { return record.substr(kFrameBytes); }

template <typename Kind>
Kind RoundTrip(const Kind& record) {
  const auto decoded = DecodePayload(PayloadOf(Encode(record)));
  REQUIRE(decoded.has_value());
  REQUIRE(std::holds_alternative<Kind>(*decoded));
  return std::get<Kind>(*decoded);
}

TEST_CASE("an accepted message is stored with its tag, number and fields in order") {
  CHECK(PayloadOf(Encode(MessageAccepted{1, kMessage})) == Bytes("A\1\0\0\0\0\0\0\0"
                                                                 "\1\0\0\0m"
                                                                 "\2\0\0\0kk"
                                                                 "\1\0\0\0c"
                                                                 "\0\0\0\0"
                                                                 "\7\0\0\0\0\0\0\0"
                                                                 "\2\1\0\0\0\0\0\0"
                                                                 "\1\0\0\0b"));
}

TEST_CASE("the records of attempts and ends are stored with their tags") {
  CHECK(PayloadOf(Encode(AttemptStarted{2, "e", UnixMs(3)})) ==
        Bytes("B\2\0\0\0\0\0\0\0\1\0\0\0e\3\0\0\0\0\0\0\0"));
  CHECK(PayloadOf(Encode(AttemptNotRun{2, 1})) == Bytes("N\2\0\0\0\0\0\0\0\1\0\0\0\0\0\0\0"));
  CHECK(PayloadOf(Encode(MessageFinished{2})) == Bytes("E\2\0\0\0\0\0\0\0"));
}

// Guards against earlier versions mistaking a give-up for damage or for the outcome of an attempt.
TEST_CASE("a give-up is stored as the outcome of an attempt that does not exist") {
  CHECK(PayloadOf(Encode(MessageGivenUp{2, {}})) == Bytes("N\2\0\0\0\0\0\0\0\0\0\0\0\0\0\0\x80"));
  const SpooledGiveUp deferral{.retry_allowed = true, .retry_after = UnixMs(258)};
  CHECK(PayloadOf(Encode(MessageGivenUp{2, deferral})) ==
        Bytes("N\2\0\0\0\0\0\0\0\2\1\0\0\0\0\0\xc0"));
}

TEST_CASE("the frame has the payload's length and its CRC-32, low byte first") {
  const std::string record = Encode(MessageFinished{2});
  const FrameHeader header = DecodeFrameHeader(record.substr(0, kFrameBytes));
  CHECK(header.payload_bytes == 9);
  CHECK(record.size() == kFrameBytes + 9);
  CHECK(record.substr(0, 4) == Bytes("\x09\0\0\0"));
  CHECK(record.substr(4, 4) == Bytes("\x9b\x55\x29\x30"));
  CHECK(IsIntact(header, PayloadOf(record)));
}

TEST_CASE("each kind of record is decoded to what was encoded") {
  const auto accepted = RoundTrip(MessageAccepted{1, kMessage});
  CHECK(accepted.number == 1);
  CHECK(accepted.message.id == "m");
  CHECK(accepted.message.key == "kk");
  CHECK(accepted.message.class_name == "c");
  CHECK(accepted.message.tenant_name.empty());
  CHECK(accepted.message.destination == 7);
  CHECK(accepted.message.deadline == UnixMs(258));
  CHECK(accepted.message.body == "b");
  const auto started = RoundTrip(AttemptStarted{2, "endpoint", UnixMs(-1)});
  CHECK(started.number == 2);
  CHECK(started.endpoint == "endpoint");
  CHECK(started.started_at == UnixMs(-1));
  const auto not_run = RoundTrip(AttemptNotRun{3, 4});
  CHECK(not_run.number == 3);
  CHECK(not_run.attempt == 4);
  CHECK(RoundTrip(MessageFinished{5}).number == 5);
  const auto undeliverable = RoundTrip(MessageGivenUp{6, {}});
  CHECK(undeliverable.number == 6);
  CHECK_FALSE(undeliverable.give_up.retry_allowed);
  constexpr UnixMs kLongestStored{0xFFFF'FFFF};
  for (const UnixMs retry_after : {UnixMs(0), UnixMs(258), kLongestStored}) {
    const auto deferred = RoundTrip(MessageGivenUp{7, {true, retry_after}});
    CHECK(deferred.give_up.retry_allowed);
    CHECK(deferred.give_up.retry_after == retry_after);
  }
  const auto longer = RoundTrip(MessageGivenUp{8, {true, kLongestStored + UnixMs(1)}});
  CHECK(longer.give_up.retry_after == kLongestStored);
}

TEST_CASE("a payload with a changed byte is not intact") {
  const std::string record = Encode(AttemptStarted{2, "endpoint", UnixMs(3)});
  const FrameHeader header = DecodeFrameHeader(record.substr(0, kFrameBytes));
  std::string payload = PayloadOf(record);
  for (char& byte : payload) {
    byte = static_cast<char>(byte ^ 1);
    CHECK_FALSE(IsIntact(header, payload));
    byte = static_cast<char>(byte ^ 1);
  }
  CHECK_FALSE(IsIntact(header, payload.substr(1)));
}

TEST_CASE("a payload that is cut off anywhere or has an extra byte is not decoded") {
  for (const std::string& record :
       {Encode(MessageAccepted{1, kMessage}), Encode(AttemptStarted{2, "e", UnixMs(3)}),
        Encode(AttemptNotRun{2, 1}), Encode(MessageGivenUp{2, {}}), Encode(MessageFinished{2})}) {
    const std::string payload = PayloadOf(record);
    for (std::size_t length = 0; length < payload.size(); ++length) {
      CHECK_FALSE(DecodePayload(payload.substr(0, length)).has_value());
    }
    CHECK_FALSE(DecodePayload(payload + "x").has_value());
  }
}

TEST_CASE("a payload with an unknown tag is not decoded") {
  CHECK_FALSE(DecodePayload(Bytes("X\2\0\0\0\0\0\0\0")).has_value());
}

}  // namespace
}  // namespace brassfront::spool
