#include "protocol/http.hpp"

#include <doctest/doctest.h>

#include "cuts.hpp"
#include "protocol/base64.hpp"

namespace brassfront {
namespace {

HttpReader Read(std::string_view text, std::uint32_t seed = 1) {
  HttpReader reader;
  testing::InCuts(text, seed, [&](std::string_view part) { reader.Feed(part); });
  return reader;
}

constexpr std::string_view kPlain =
    "HTTP/1.1 429 Too Many\r\nWait-Ms: 250\r\nX-Backend-Load:  x0=0.4,x1=25 \r\n"
    "Content-Length: 5\r\n\r\nhello";
constexpr std::string_view kChunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n"
    "5\r\nhello\r\nA;x=y\r\n, world !!\r\n0\r\nTrailer: x\r\n\r\n";

TEST_CASE("responses are parsed from any chunks") {
  for (int seed = 0; seed < testing::kRounds; ++seed) {
    const HttpReader plain = Read(kPlain, seed);
    REQUIRE(plain.done());
    CHECK(plain.status() == 429);
    CHECK(plain.body() == "hello");
    CHECK(plain.Header("wait-ms") == "250");
    CHECK(plain.Header("x-backend-load") == "x0=0.4,x1=25");
    CHECK(plain.keep_alive());
    const HttpReader chunked = Read(kChunked, seed);
    REQUIRE(chunked.done());
    CHECK(chunked.body() == "hello, world !!");
  }
}

TEST_CASE("garbage never crashes the reader or exceeds its maximum body size") {
  int broken = 0;
  for (int seed = 0; seed < testing::kRounds; ++seed) {
    for (const std::string_view text : {kPlain, kChunked}) {
      HttpReader reader(64);
      testing::InCuts(testing::Garbage(text, seed), seed,
                      [&](std::string_view part) { reader.Feed(part); });
      reader.FeedEnd();
      CHECK(reader.body().size() <= 64);
      broken += reader.broken();
    }
  }
  CHECK(broken > testing::kRounds / 2);
}

TEST_CASE("the end of a response is detected") {
  CHECK(Read("HTTP/1.1 204 No Content\r\n\r\n").done());
  CHECK(
      Read("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").status() ==
      200);
  CHECK_FALSE(
      Read("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n").keep_alive());
  HttpReader until_end = Read("HTTP/1.0 200 OK\r\n\r\nabc");
  CHECK_FALSE(until_end.done());
  until_end.FeedEnd();
  CHECK(until_end.done());
  CHECK_FALSE(until_end.keep_alive());
  HttpReader cut = Read("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
  cut.FeedEnd();
  CHECK(cut.broken());
  CHECK(cut.status() == 200);  // the status line remains valid
}

TEST_CASE("invalid responses break the reader") {
  for (const char* text :
       {"HTTP/2 200 OK\r\n", "HTTP/1.1 2x0 OK\r\n", "HTTP/1.1 2000 OK\r\n",
        "HTTP/1.1 200 OK\r\nno colon\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nB2D05E00\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n"}) {
    CHECK_MESSAGE(Read(text).broken(), text);
  }
  CHECK(Read("HTTP/1.1 200 OK\r\nA: " + std::string(20'000, 'x')).broken());
}

TEST_CASE("bytes after a complete response don't change it and end the use of the connection") {
  for (int seed = 0; seed < testing::kRounds; ++seed) {
    for (const std::string_view text : {kPlain, kChunked}) {
      const std::string surplus = testing::Garbage(text, seed) + "x";
      const HttpReader reader = Read(std::string(text) + surplus, seed);
      CHECK(reader.done());
      CHECK(reader.body() == Read(text).body());
      CHECK_FALSE(reader.keep_alive());
    }
  }
}

TEST_CASE("an interim response does not begin the final one") {
  HttpReader reader;
  CHECK_FALSE(reader.begun());
  reader.Feed("HTTP/1.1 102 Processing\r\n");
  CHECK_FALSE(reader.begun());
  reader.Feed("A: b\r\n\r\n");
  CHECK_FALSE(reader.begun());
  reader.Feed("H");
  CHECK(reader.begun());
  reader.Feed("TTP/1.1 200 OK\r\n");
  CHECK(reader.begun());
}

TEST_CASE("a stream that stays open is read in parts") {
  HttpReader reader;
  reader.Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab");
  CHECK(reader.head_done());
  CHECK(reader.TakeBody() == "ab");
  reader.Feed("c\r\n1\r\n\n\r\n");
  CHECK(reader.TakeBody() == "c\n");
  for (int i = 0; i < 10'000; ++i) reader.Feed("1\r\n\n\r\n");  // no limit on the whole stream
  CHECK(reader.TakeBody().size() == 10'000);
}

TEST_CASE("requests are formatted") {
  CHECK(HttpPost("/events", "h:1", {{"A", "b"}}, "xyz") ==
        "POST /events HTTP/1.1\r\nHost: h:1\r\nA: b\r\nContent-Length: 3\r\n\r\nxyz");
  CHECK(HttpGet("/x", "h:1") == "GET /x HTTP/1.1\r\nHost: h:1\r\n\r\n");
}

TEST_CASE("bytes are encoded as base64") {
  CHECK(EncodeBase64("") == "");
  CHECK(EncodeBase64("f") == "Zg==");
  CHECK(EncodeBase64("fo") == "Zm8=");
  CHECK(EncodeBase64("foo") == "Zm9v");
  CHECK(EncodeBase64("\xff\xfe\xfd\xfc") == "//79/A==");
}

}  // namespace
}  // namespace brassfront
