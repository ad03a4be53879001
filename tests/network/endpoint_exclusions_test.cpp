#include "exclusions/endpoint_exclusions.hpp"

#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <vector>

#include "exclusions/exclusion_file.hpp"

namespace brassfront {
namespace {

Member Ready(const std::string& id) {
  Member member;
  member.id = id;
  return member;
}

MemberList Complete(std::uint64_t revision, std::vector<Member> members) {
  return {revision, true, std::move(members)};
}

class Fixture {
 public:
  void Exclude(ExclusionSource source, std::set<std::string> endpoints) {
    delivered = {};
    exclusions.SetExcluded(source, std::move(endpoints),
                           [this](MemberList changes) { delivered = std::move(changes); });
  }
  EndpointExclusions exclusions;
  MemberList delivered;
};

TEST_CASE_FIXTURE(Fixture,
                  "an excluded endpoint is draining in every list until the exclusion ends") {
  (void)exclusions.Apply(Complete(1, {Ready("a"), Ready("b")}));
  Exclude(ExclusionSource::kOperator, {"a"});
  REQUIRE(delivered.members.size() == 1);
  CHECK(delivered.members[0].phase == Phase::kTerminating);
  CHECK(delivered.source == ListSource::kOperator);
  CHECK(exclusions.IsExcluded("a"));
  const MemberList filtered = exclusions.Apply(Complete(2, {Ready("a"), Ready("b")}));
  CHECK(filtered.members[0].phase == Phase::kTerminating);
  CHECK(filtered.members[0].excluded);
  CHECK(filtered.members[1].phase == Phase::kReady);
  Exclude(ExclusionSource::kOperator, {});
  REQUIRE(delivered.members.size() == 1);
  CHECK(delivered.members[0].phase == Phase::kReady);
  CHECK(delivered.revision == 2);
}

TEST_CASE_FIXTURE(Fixture, "an endpoint is excluded as long as any source excludes it") {
  (void)exclusions.Apply(Complete(1, {Ready("a")}));
  Exclude(ExclusionSource::kFleet, {"a"});
  Exclude(ExclusionSource::kOperator, {"a"});
  CHECK(delivered.members.empty());  // it was already excluded
  Exclude(ExclusionSource::kFleet, {});
  CHECK(delivered.members.empty());
  CHECK(exclusions.IsExcluded("a"));
  Exclude(ExclusionSource::kOperator, {});
  CHECK(delivered.members.size() == 1);
}

TEST_CASE_FIXTURE(Fixture, "an older list changes nothing") {
  (void)exclusions.Apply(Complete(5, {Ready("a")}));
  (void)exclusions.Apply(Complete(4, {Ready("b")}));
  CHECK(exclusions.IsListed("a"));
  CHECK_FALSE(exclusions.IsListed("b"));
}

TEST_CASE("the file of exclusions is read as it was written, and a damaged file is renamed") {
  char name[] = "/tmp/brassfront-exclusions-XXXXXX";
  const std::string folder = mkdtemp(name);
  const ExclusionFile file(folder);
  CHECK(file.Read() == std::set<std::string>{});
  const std::set<std::string> endpoints{"a", "with \"quotes\"\n", "z"};
  REQUIRE(file.Write(endpoints));
  CHECK(file.Read() == endpoints);
  CHECK_FALSE(file.Write({std::string(ExclusionFile::kMaxBytesOnDisk, 'x')}));
  CHECK(file.Read() == endpoints);
  std::ofstream(folder + "/exclusions") << "{half";
  CHECK(file.Read() == std::set<std::string>{});
  CHECK(std::filesystem::exists(folder + "/exclusions.damaged"));
  std::filesystem::remove_all(folder);
  CHECK_FALSE(file.Write({"a"}));
}

}  // namespace
}  // namespace brassfront
