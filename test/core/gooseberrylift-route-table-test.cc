#include "gooseberrylift/routing/gooseberrylift-route-table.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

namespace {

Route RouteAt(const std::string& aName, const std::string& aPrefix)
{
  return { .name_ = aName,
           .host_ = "notes.example",
           .pathPrefix_ = aPrefix,
           .targets_ = { { .service_ = "engines" } } };
}

} // namespace

TEST_GROUP(RouteTableTest)
{
  RouteDocument document_{ .version_ = 3,
                           .routes_ = { RouteAt("outer", "/a/"),
                                        RouteAt("inner", "/a/b/") } };
};

TEST(RouteTableTest, ChoosesTheLongestPrefixOfTheHost)
{
  const RouteTable table(document_);
  STRCMP_EQUAL("inner", table.Match("notes.example", "/a/b/c")->name_.c_str());
  STRCMP_EQUAL("outer", table.Match("notes.example", "/a/bc")->name_.c_str());
  POINTERS_EQUAL(nullptr, table.Match("notes.example", "/a"));
  POINTERS_EQUAL(nullptr, table.Match("other.example", "/a/b/c"));
}

TEST(RouteTableTest, ComparesHostsWithoutCaseAndPort)
{
  const RouteTable table(document_);
  CHECK_TRUE(table.Match("Notes.Example:8080", "/a/x") != nullptr);
}

TEST(RouteTableTest, FindsTeamsByAnyOfTheirKeys)
{
  document_.teams_ = { { .name_ = "porters", .keys_ = { "k1", "k2" } } };
  const RouteTable table(document_);
  CHECK_TRUE(table.NeedsKeys());
  STRCMP_EQUAL("porters", table.TeamByKey("k2")->name_.c_str());
  POINTERS_EQUAL(nullptr, table.TeamByKey(""));
}

TEST(RouteTableTest, RejectsAllKeysWithAnEmptyListOfTeams)
{
  document_.teams_.emplace();
  const RouteTable table(document_);
  CHECK_TRUE(table.NeedsKeys());
  POINTERS_EQUAL(nullptr, table.TeamByKey("k1"));
}

TEST(RouteTableTest, DistributesRequestsByWeight)
{
  Route route = RouteAt("split", "/s/");
  route.targets_ = { { .service_ = "old", .weight_ = 90 },
                     { .service_ = "none", .weight_ = 0 },
                     { .service_ = "new", .weight_ = 10 } };
  int counts[3] = {};
  for (std::uint64_t draw = 0; draw < 1000; ++draw) {
    const std::string& service = RouteTable::ChooseService(route, draw);
    ++counts[service == "old" ? 0 : (service == "none" ? 1 : 2)];
  }
  LONGS_EQUAL(900, counts[0]);
  LONGS_EQUAL(0, counts[1]);
  LONGS_EQUAL(100, counts[2]);
}

TEST(RouteTableTest, ReturnsTheTwoShortestGapsOfAService)
{
  for (Route& route : document_.routes_) {
    route.kind_ = RouteKind::kStreaming;
  }
  document_.routes_[0].maxGap_ = 500ms;
  document_.routes_[1].maxGap_ = 200ms;
  const RouteTable table(document_);
  LONGS_EQUAL(200, table.GapsOf("engines").shortest_.count());
  LONGS_EQUAL(500, table.GapsOf("engines").next_.count());
}
