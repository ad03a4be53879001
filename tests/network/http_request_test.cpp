#include "protocol/http_request.hpp"

#include <doctest/doctest.h>

#include "cuts.hpp"

namespace brassfront {
namespace {

HttpRequestReader Read(std::string_view bytes) {
  HttpRequestReader reader;
  reader.Feed(bytes);
  return reader;
}

TEST_CASE("a request is parsed from any chunks, and bytes after it are ignored") {
  const std::string text =
      "POST /maintenance/enter?id=a&x=1 HTTP/1.1\r\nHost: h\r\ncontent-length:  3 \r\n\r\nabcGET /";
  for (int seed = 0; seed < testing::kRounds; ++seed) {
    HttpRequestReader reader;
    testing::InCuts(text, seed, [&](std::string_view part) { reader.Feed(part); });
    REQUIRE(reader.done());
    CHECK_FALSE(reader.error());
    CHECK(reader.request().method == "POST");
    CHECK(reader.request().path == "/maintenance/enter");
    CHECK(reader.request().query == "id=a&x=1");
  }
}

TEST_CASE("a request is not done before its head and body are complete") {
  CHECK_FALSE(Read("GET / HTTP/1.1\r\n").done());
  CHECK_FALSE(Read("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\na").done());
  CHECK(Read("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab").done());
}

TEST_CASE("each kind of invalid request has its status") {
  const std::string long_head = "GET /" + std::string(HttpRequestReader::kMaxHeadBytes, 'x');
  CHECK(Read("GET /\r\n\r\n").error() == 400);
  CHECK(Read("GET / HTTP/2.0\r\n\r\n").error() == 400);
  CHECK(Read("GET /\x01 HTTP/1.1\r\n\r\n").error() == 400);
  CHECK(Read("GET / HTTP/1.1\r\n: empty\r\n\r\n").error() == 400);
  CHECK(Read("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n").error() == 400);
  CHECK(Read("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n").error() == 400);
  CHECK(Read("POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n").error() == 413);
  CHECK(Read(long_head).error() == 431);
}

TEST_CASE("a query parameter is percent-decoded") {
  CHECK(QueryParameter("x=1&id=a%2Fb", "id") == "a/b");
  CHECK(QueryParameter("id=", "id") == "");
  CHECK(QueryParameter("idx=1", "id") == std::nullopt);
  CHECK(QueryParameter("id=%2", "id") == std::nullopt);
  CHECK(QueryParameter("id=%zz", "id") == std::nullopt);
}

TEST_CASE("a garbled request is parsed or rejected") {
  for (int seed = 0; seed < testing::kRounds; ++seed) {
    HttpRequestReader reader;
    reader.Feed(testing::Garbage("GET /status?id=a HTTP/1.1\r\nHost: h\r\n\r\n", seed));
    CHECK((reader.done() || !reader.error()));
  }
}

}  // namespace
}  // namespace brassfront
