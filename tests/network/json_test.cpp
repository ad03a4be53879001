#include "protocol/json.hpp"

#include <doctest/doctest.h>

#include "cuts.hpp"
#include "protocol/discovery.hpp"

namespace brassfront {
namespace {

constexpr std::string_view kList =
    R"({"revision":43,"complete":false,"members":[{"id":"s-5be2","host_port":"127.0.0.1:6379",)"
    R"("locality":"a","flavor":"m2","cell":3,"phase":"Terminating","size":1.5,"up_since_ms":0}]})";

TEST_CASE("values are parsed") {
  const json::Value v =
      json::Parse(R"( {"a":[1,-2.5e1,true,null,"x\n\u00e9\ud83d\ude00"],"b":{}} )");
  const auto& items = v.At("a").Items();
  CHECK(items[0].UnsignedInteger() == 1);
  CHECK(items[1].Number() == -25);
  CHECK(items[2].Boolean());
  CHECK(items[3].IsNull());
  CHECK(items[4].Text() == "x\n\xc3\xa9\xf0\x9f\x98\x80");
  CHECK(v.Find("c") == nullptr);
  CHECK_THROWS_AS(static_cast<void>(v.At("c")), json::Error);
  CHECK_THROWS_AS(static_cast<void>(items[1].UnsignedInteger()), json::Error);
  CHECK_THROWS_AS(static_cast<void>(items[0].Text()), json::Error);
}

TEST_CASE("text that is not JSON is rejected") {
  for (const char* text : {"", "{", "[1,]", "{\"a\":1,}", "01", "1.", "+1", "nul", "\"a", "\"\\x\"",
                           "\"\\ud800\"", "\"\\udc00\"", "\"\t\"", "[1] 2", "{a:1}", "1e999"}) {
    CHECK_THROWS_AS_MESSAGE(json::Parse(text), json::Error, text);
  }
}

TEST_CASE("limits on size and depth are enforced") {
  CHECK_THROWS_AS(json::Parse(std::string(33, '[') + std::string(33, ']')), json::Error);
  CHECK_NOTHROW(json::Parse(std::string(32, '[') + std::string(32, ']')));
  CHECK_THROWS_AS(json::Parse("[1,2,3]", {.bytes = 6, .depth = 1}), json::Error);
}

TEST_CASE("quoted text is parsed back") {
  const std::string text = "a\"b\\c\n\x01";
  CHECK(json::Parse(json::Quote(text)).Text() == text);
}

TEST_CASE("a list of members is parsed") {
  const MemberList list = ReadMemberList(json::Parse(kList));
  CHECK(list.revision == 43);
  CHECK_FALSE(list.complete);
  REQUIRE(list.members.size() == 1);
  CHECK(list.members[0].phase == Phase::kTerminating);
  CHECK(list.members[0].destination == 3);
  CHECK(list.members[0].weight == 1.5);
}

TEST_CASE("objects in any layout are split from any chunks, as are empty and other lines") {
  const std::string indented = "{\n  \"a\": [\n    \"}\\\"]{\\\\\"\n  ],\n\n  \"b\": {}\n}";
  const std::string text =
      "\n" + std::string(kList) + "\r\n\nlast\n" + indented + indented + "  \r\n \n";
  for (int seed = 0; seed < testing::kRounds; ++seed) {
    JsonObjectSplitter splitter;
    std::vector<std::string> pieces;
    testing::InCuts(text, seed, [&](std::string_view part) {
      for (std::string& piece : splitter.Feed(part)) pieces.push_back(std::move(piece));
    });
    CHECK(pieces ==
          std::vector<std::string>{"", std::string(kList), "", "last", indented, indented, ""});
    CHECK(splitter.partial().empty());
  }
  JsonObjectSplitter small(4);
  small.Feed("12345");
  CHECK(small.broken());
  JsonObjectSplitter nested(4);
  nested.Feed("{{{{{");
  CHECK(nested.broken());
}

TEST_CASE("garbled JSON is parsed or rejected") {
  int refused = 0;
  for (int seed = 0; seed < testing::kRounds; ++seed) {
    try {
      ReadMemberList(json::Parse(testing::Garbage(kList, seed)));
    } catch (const json::Error&) {
      ++refused;
    }
  }
  CHECK(refused > testing::kRounds / 2);
}

}  // namespace
}  // namespace brassfront
