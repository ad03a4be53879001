// Tests of typed records: unification, the texts of faults, and invalid input.
#include "records/records.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>

namespace brassfront::records {
namespace {

constexpr const char* kSchema = R"(
#Wait: false | duration & >0s
#Partner: {
  name:   string & !=""
  kind:   "big-retail" | *"small-shop"
  pace:   duration & >=1ms & <=10s | *120ms
  limit?: rate
  wait:   #Wait | *false
  share:  number & >=0 & <=1 | *50%
}
#File: {
  partners: [#Partner, ...#Partner]
  room:     size | *64KiB
  count:    int & >0 | *3
  labels: {...}
}
)";

Record Read(const std::string& text) { return Load({text, "f"}, {kSchema, "schema"}, "#File"); }

// Returns all faults, one per line.
std::string FaultsOf(const std::string& text) {
  try {
    Read(text);
  } catch (const BadRecords& bad) {
    return bad.what();
  }
  return "";
}

std::string AloneFaults(const std::string& text) {
  try {
    LoadAlone({text, "f"});
  } catch (const BadRecords& bad) {
    return bad.what();
  }
  return "";
}

std::string Alone(const std::string& text) { return LoadAlone({text, "f"}).Canonical(); }

TEST_CASE("a file gets the schema's defaults and keeps its own values") {
  const Record file = Read(R"(
partners: [
  {name: "evergreen", kind: "big-retail", pace: 1.5s, limit: 30/m, wait: 250ms},  // the large one
  #Partner & {name: "s\u00e9b \"x\"\n", share: 0.25},
]
labels: any_name: "x"
)");
  const Record& first = file.At("partners").Items()[0];
  CHECK(first.At("kind").Text() == "big-retail");
  CHECK(first.At("pace").Duration() == std::chrono::milliseconds(1500));
  CHECK(first.At("limit").PerSecond() == doctest::Approx(0.5));
  CHECK(first.At("wait").Duration() == std::chrono::milliseconds(250));
  CHECK(first.At("share").Double() == 0.5);
  const Record& second = file.At("partners").Items()[1];
  CHECK(second.At("name").Text() ==
        "s\xc3\xa9"
        "b \"x\"\n");
  CHECK(second.At("kind").Text() == "small-shop");
  CHECK(second.At("pace").Duration() == std::chrono::milliseconds(120));
  CHECK_FALSE(second.At("wait").Bool());
  CHECK(second.Find("limit") == nullptr);
  CHECK(file.At("room").Bytes() == 65536);
  CHECK(file.At("count").Int() == 3);
  CHECK(file.At("labels").At("any_name").Text() == "x");
  CHECK(second.At("share").at().Text() == "f:4:48");
  CHECK_THROWS_AS(static_cast<void>(file.At("count").Duration()), std::logic_error);
  CHECK_THROWS_AS(static_cast<void>(file.At("nothing")), std::logic_error);
}

TEST_CASE("each fault contains its place, what was expected and what was found") {
  const auto has = [](const std::string& text, const std::string& words) {
    const std::string faults = FaultsOf(text);
    CHECK_MESSAGE(faults.find(words) != std::string::npos, faults);
  };
  has("partners: [{name: \"a\", pace: 5}]",
      "f:1:30: expected duration >=1ms <=10s | 120ms, found 5");
  has("partners: [{name: \"a\", pace: 500us}]", "f:1:30: expected >=1ms, found 500us");
  has("partners: [{name: \"a\", pace: 500us}]", "(declared at schema:6:22)");
  has("partners: [{name: \"\"}]", "f:1:19: expected !=\"\", found \"\"");
  has("partners: [{name: \"a\", kind: \"big-retial\"}]",
      "f:1:30: expected \"big-retail\" | \"small-shop\", found \"big-retial\", did you mean "
      "\"big-retail\"?");
  has("partners: [{name: \"a\", pcae: 5ms}]", "f:1:24: unknown field pcae, did you mean pace?");
  has("partners: [{kind: \"big-retail\"}]", "f:1:12: no value for name: expected string !=\"\"");
  has("partners: []", "f:1:11: expected a list of at least 1 item, found a list of 0 items");
  has("count: 1.5\npartners: [{name: \"a\"}]", "f:1:8: expected int >0, found 1.5");
  has("count: \"x\"\npartners: [{name: \"a\"}]", "f:1:8: expected int >0 | 3, found \"x\"");
  has("count: 2\ncount: 3\npartners: [{name: \"a\"}]", "f:2:8: expected 2, found 3");
  has("partners: [{name: strng}]",
      "f:1:19: expected a type, a value or #Name, found strng, did "
      "you mean string?");
  has("partners: [#Partnr]", "f:1:12: no definition #Partnr, did you mean #Partner?");
  has("labels: 4\npartners: [{name: \"a\"}]", "f:1:9: expected a struct, found 4");
  // Several faults are reported together, each on its own line.
  const std::string faults =
      FaultsOf("partners: [{name: 1, pace: \"x\"}, {nmae: \"b\"}]\ncount: true\nroom: 5ms\n");
  CHECK(std::count(faults.begin(), faults.end(), '\n') >= 3);
}

TEST_CASE("a syntax error contains its place and what was expected") {
  const auto has = [](const std::string& text, const std::string& words) {
    const std::string faults = AloneFaults(text);
    CHECK_MESSAGE(faults.find(words) != std::string::npos, faults);
  };
  has("a: ", "f:1:4: expected a value");
  has("a: 5 b: 6", "f:1:6: expected the end of the line or a comma, found \"b:\"");
  has("a: \"x", "f:1:6: expected the string's closing quote");
  has("a: \"\\q\"", "f:1:6: expected one of");
  has("a: \"\\ud800\"", "f:1:4: half of a surrogate pair");
  has("a: [1, 2", "f:1:9: expected a value, a comma or ]");
  has("a: {b: 1", "f:1:9: expected a field `name: value` or }");
  has("a: 5 &", "f:1:7: expected a value after &");
  has("a: 5 | ]", "f:1:8: expected a value after |");
  has("a: (5", "f:1:6: expected )");
  has("a: 5parsecs", "f:1:5: unknown unit parsecs; units are ns us ms s m h d B KiB");
  has("a: >= true", "f:1:7: expected a number or a string after the bound");
  has("a: 99999999999999999999", "does not fit into 64 bits");
  has("a: 99999999999d", "the quantity is too large");
  has("a: [..., 1]", "nothing may follow ...");
  has("}", "f:1:1: expected a field `name: value`");
  has("#A: #B\n#B: #A\na: #A", "refers to itself");
  has("a: " + std::string(60, '[') + std::string(60, ']'), "nested deeper than 48 levels");
  std::string colons;
  for (int i = 0; i < 60; ++i) colons += "a: ";
  has(colons + "1", "nested deeper than 48 levels");
  has(std::string(kMaxBytes + 1, ' '), "larger than 1 MiB");
  has("a: duration", "no value for a: expected duration");
  has("a: 1 | 2", "no value for a: expected 1 | 2");
}

TEST_CASE("values unify as in CUE") {
  CHECK(Alone("a: int & 5") == "{\"a\": 5}");
  CHECK(Alone("a: number & 5") == "{\"a\": 5}");
  CHECK(Alone("a: *1 | 2") == "{\"a\": 1}");
  CHECK(Alone("a: (*1 | 2) & (2 | 3)") == "{\"a\": 2}");
  CHECK(Alone("a: (1 | *2) & (*2 | 3)") == "{\"a\": 2}");
  CHECK(Alone("a: (int | *1) & (int | *2)") == "{\"a\": 2}");
  CHECK(Alone("a: {b: 1} & {c: 2}") == "{\"a\": {\"b\": 1, \"c\": 2}}");
  CHECK(Alone("a: b: 1\na: c: 2") == "{\"a\": {\"b\": 1, \"c\": 2}}");
  CHECK(Alone("a: [...int] & [1, 2]") == "{\"a\": [1, 2]}");
  CHECK(Alone("a: [1, ...] & [int, 2]") == "{\"a\": [1, 2]}");
  CHECK(Alone("#D: {x: int | *4, ...}\na: #D & {y: 1}") == "{\"a\": {\"x\": 4, \"y\": 1}}");
  CHECK(AloneFaults("#D: x: 1\n#D: y: 2\na: #D").find("#D is defined twice") != std::string::npos);
  CHECK(Alone("a: {#D: 7, b: #D}") == "{\"a\": {\"b\": 7}}");
  CHECK(Alone("a: 1500us\nb: 90m\nc: 2KiB\nd: 60/m\ne: 5%") ==
        "{\"a\": 1500000ns, \"b\": 5400000000000ns, \"c\": 2048B, \"d\": 1/s, \"e\": 0.05}");
  CHECK(Alone("a?: int") == "{}");
  CHECK(Alone("a: 1_000_000, b: -3") == "{\"a\": 1000000, \"b\": -3}");
  CHECK(AloneFaults("a: int & 1.5") != "");
  CHECK(AloneFaults("a: 5ms & 5") != "");
  CHECK(AloneFaults("a: >=3 & 2") != "");
  CHECK(AloneFaults("#D: {x: 1}\na: #D & {y: 1}") != "");
  CHECK(AloneFaults("a: [int] & [1, 2]") != "");
  CHECK(LoadAlone({"a: 5ms, b: [true]", "f"}).Json() == "{\"a\": 5000000, \"b\": [true]}");
}

TEST_CASE("the work of evaluating a short file is limited") {
  std::string text;
  for (int i = 0; i < 30; ++i) {
    text += "#D" + std::to_string(i + 1) + ": #D" + std::to_string(i) + " & (#D" +
            std::to_string(i) + " | {x" + std::to_string(i) + ": 1, ...})\n";
  }
  CHECK(AloneFaults("#D0: {a: int | *1, ...}\n" + text + "a: #D30").find("too much to evaluate") !=
        std::string::npos);
}

TEST_CASE("truncated, modified and random files are read or rejected with a fault") {
  const std::string good = R"(
#Base: {pace: duration & >=1ms | *5ms, tags: [...string]}
partners: [{name: "a", kind: "big-retail", wait: 5ms}, {name: "b \u0041", share: 10%}]
labels: {x: #Base & {tags: ["q", "r"]}, y: (1 | 2) & 2, z: >=3 & 4} // end
room: 4KiB
)";
  Read(good);
  std::mt19937 random(7);
  const std::string bytes = "{}[]()\"\\:,|&*?.#<>=!/-%0123456789abcmsKiB \n\t\x00\xff";
  for (int round = 0; round < 20000; ++round) {
    std::string text = good;
    if (round % 4 == 0) {
      text.resize(random() % text.size());
    } else if (round % 4 == 1) {
      text.clear();
      for (std::size_t i = random() % 60; i > 0; --i) text += bytes[random() % bytes.size()];
    } else {
      for (std::size_t i = 1 + random() % 4; i > 0; --i) {
        const std::size_t at = random() % text.size();
        if (random() % 2 == 0) {
          text[at] = bytes[random() % bytes.size()];
        } else {
          text.erase(at, 1 + random() % 6);
        }
        if (text.empty()) text = "x";
      }
    }
    try {
      Read(text);
    } catch (const BadRecords& bad) {
      REQUIRE_FALSE(bad.faults().empty());
      REQUIRE(bad.faults().size() <= kMaxFaults);
      for (const Fault& fault : bad.faults()) {
        REQUIRE_FALSE(fault.message.empty());
      }
    }
  }
}

}  // namespace
}  // namespace brassfront::records
