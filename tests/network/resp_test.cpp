#include "protocol/resp.hpp"

#include <doctest/doctest.h>

#include "cuts.hpp"
#include "protocol/delivery_request.hpp"

namespace brassfront {
namespace {

std::string Command(const std::vector<std::string>& words) {
  std::string out("*");
  out.append(std::to_string(words.size())).append("\r\n");
  for (const std::string& word : words) out += RespBulk(word);
  return out;
}

const std::vector<std::string> kPut = {"MSG.PUT", "0000", "9b1f03aa5c7e2d41",
                                       "c=notice,t=acme,d=8000,k=5c0f,dest=7,r=1",
                                       std::string("a\r\nb\0c", 6)};

TEST_CASE("commands are parsed from any chunks") {
  const std::string text = Command({"PING"}) + Command(kPut) + Command({"PING", ""});
  for (int seed = 0; seed < testing::kRounds; ++seed) {
    RespReader reader;
    testing::InCuts(text, seed, [&](std::string_view part) { reader.Feed(part); });
    REQUIRE(reader.commands().size() == 3);
    CHECK(reader.commands()[1].words == kPut);
    CHECK(reader.commands()[2].words == std::vector<std::string>{"PING", ""});
    CHECK(reader.between_commands());
  }
}

TEST_CASE("garbage never crashes the reader, and a broken reader stays broken") {
  const std::string text = Command(kPut) + Command({"PING"}) + Command(kPut);
  int broken = 0;
  for (int seed = 0; seed < testing::kRounds; ++seed) {
    RespReader reader;
    testing::InCuts(testing::Garbage(text, seed), seed,
                    [&](std::string_view part) { reader.Feed(part); });
    const std::size_t commands = reader.commands().size();
    if (!reader.broken()) continue;
    ++broken;
    reader.Feed(Command({"PING"}));
    CHECK(reader.broken());
    CHECK(reader.commands().size() == commands);
  }
  CHECK(broken > testing::kRounds / 2);
}

TEST_CASE("a word that is too long is skipped and the next command is parsed") {
  RespReader reader;
  reader.Feed(Command({"MSG.PUT", std::string(kMaxBodyBytes + 1, 'x')}) + Command({"PING"}));
  REQUIRE(reader.commands().size() == 2);
  CHECK(reader.commands()[0].oversize);
  CHECK_FALSE(reader.commands()[1].oversize);
  reader.Feed(Command({"MSG.PUT", std::string(kMaxBodyBytes, 'x')}));
  CHECK_FALSE(reader.commands()[2].oversize);
}

TEST_CASE("words whose total size is too large are skipped too") {
  RespReader reader;
  reader.Feed(Command(std::vector<std::string>(10, std::string(kMaxBodyBytes, 'x'))));
  REQUIRE(reader.commands().size() == 1);
  CHECK(reader.commands()[0].oversize);
  std::size_t kept = 0;
  for (const std::string& word : reader.commands()[0].words) kept += word.size();
  CHECK(kept <= 2 * kMaxBodyBytes);
}

TEST_CASE("a framing error breaks the stream") {
  for (const char* text : {"PING\r\n", "*x\r\n", "*-1\r\n", "*65\r\n", "*1\r\n+OK\r\n",
                           "*1\r\n$3\r\nabcd\r\n", "*1\r\n$99999999999\r\n"}) {
    RespReader reader;
    reader.Feed(text);
    CHECK_MESSAGE(reader.broken(), text);
  }
}

TEST_CASE("the fields of a delivery request are parsed") {
  const DeliveryRequest e = ParseDeliveryRequest(std::vector<std::string>(kPut));
  CHECK(e.id == "9b1f03aa5c7e2d41");
  CHECK(e.class_name == "notice");
  CHECK(e.tenant_name == "acme");
  CHECK(e.time_left == std::chrono::milliseconds(8000));
  CHECK(e.key == "5c0f");
  CHECK(e.destination == 7);
  CHECK(e.body.size() == 6);
}

TEST_CASE("invalid delivery requests are rejected") {
  const auto put = [](std::string id, std::string fields) {
    return ParseDeliveryRequest({"MSG.PUT", "0", std::move(id), std::move(fields), "body"});
  };
  CHECK_NOTHROW(put("i", "c=n,d=1,dest=1"));
  CHECK_THROWS_AS(ParseDeliveryRequest({"MSG.PUT", "0", "i"}), InvalidDeliveryRequest);
  CHECK_THROWS_AS(put("", "c=n,d=1,dest=1"), InvalidDeliveryRequest);
  CHECK_THROWS_AS(put("i\r\nX: y", "c=n,d=1,dest=1"),
                  InvalidDeliveryRequest);  // would inject a header
  CHECK_THROWS_AS(put("i", "c=n,d=1,dest=1,k=a b"), InvalidDeliveryRequest);
  CHECK_THROWS_AS(put("i", "c=n,d=-1,dest=1"), InvalidDeliveryRequest);
  CHECK_THROWS_AS(put("i", "c=n,d=99999999999999999999,dest=1"), InvalidDeliveryRequest);
  CHECK_THROWS_AS(put("i", "c=n,d=1"), InvalidDeliveryRequest);
  CHECK_THROWS_AS(put("i", "d=1,dest=1"), InvalidDeliveryRequest);
  CHECK_THROWS_AS(put("i", "c=n,dest=1"), InvalidDeliveryRequest);
  CHECK_THROWS_AS(put("i", "c=n,d=1,dest=1,colour=red"), InvalidDeliveryRequest);
  CHECK_THROWS_AS(put("i", "c=n,d=1,dest"), InvalidDeliveryRequest);
}

TEST_CASE("an error reply is a single line, with any text") {
  CHECK(RespError("ERR", "a\r\nb") == "-ERR a  b\r\n");
  CHECK(RespError("BUSY", "") == "-BUSY\r\n");
}

}  // namespace
}  // namespace brassfront
