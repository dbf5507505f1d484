// Tests that an object of another writer that can't be read leaves the others
// of the store in use.

#include "harness-gateway.h"

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;
namespace names = gooseberrylift::platform;

namespace {

// Each fills the place of a spec and can't be read.
const std::vector<std::string> kUnreadable = {
  R"({"service":"board","note":"\udcff\udcfe"})",
  R"({"service":"board","slots":1e999})",
  R"({"service":)" + std::string(100, '[') + std::string(100, ']') + "}",
};

std::string Placeholder(std::size_t aIndex)
{
  return "UNREADABLE-" + std::to_string(aIndex);
}

// Makes the store send unreadable text in place of the specs that are
// Placeholder().
void ReplacePlaceholders(GatewayDeployment& aDeployment)
{
  json replacements = json::object();
  for (std::size_t index = 0; index < kUnreadable.size(); ++index) {
    replacements['"' + Placeholder(index) + '"'] = kUnreadable[index];
  }
  aDeployment.Store().Control({ { "replace", replacements } });
}

std::string EntryKey(const std::string& aName)
{
  return std::string(names::kEndpointsKind) + "/" + aName;
}

void CheckServes(Host& aHost, const std::string& aPath = "/safe/a")
{
  for (int call = 0; call < 6; ++call) {
    const auto answer = Send(
      aHost.Port(), RouteRequest("GET", aPath, "at-" + std::to_string(call)));
    LONGS_EQUAL(200, answer.value().status_);
  }
}

bool Logged(Host& aHost, const std::string& aText)
{
  return !aHost.Handle().WaitForLine(aText, 5s).empty();
}

} // namespace

TEST_GROUP(UnreadableEntryTest){};

// Guards against hosts that learn of no change any more, and serve nothing
// after a restart, while one entry can't be read.
TEST(UnreadableEntryTest, FollowsTheOtherEntriesAlsoAfterAStart)
{
  GatewayDeployment deployment({});
  ReplacePlaceholders(deployment);
  for (std::size_t index = 0; index < kUnreadable.size(); ++index) {
    deployment.Put(EntryKey("odd-" + std::to_string(index)),
                   Placeholder(index));
  }
  deployment.List("board-0", deployment.Board(0), "board", "draining");
  CHECK_TRUE(Logged(deployment.At(0), "\"state\":\"leaving\""));
  CheckServes(deployment.At(0));
  CHECK_TRUE(Logged(deployment.At(0), "\"object\":\"odd-1\""));
  Host late(deployment.HostSettings("host-late"));
  CHECK_TRUE(late.WaitReady(5s));
  CheckServes(late);
}

// Guards against a crash when such a value is copied.
TEST(UnreadableEntryTest, OutlivesAnEntryThatIsNestedTooDeeply)
{
  constexpr std::size_t kLevels = 400'000;
  GatewayDeployment deployment({});
  deployment.Store().Control(
    { { "replace",
        { { "\"DEEP\"",
            std::string(kLevels, '[') + std::string(kLevels, ']') } } } });
  deployment.Put(EntryKey("deep"), { { "service", "DEEP" } });
  deployment.List("board-0", deployment.Board(0), "board", "draining");
  CHECK_TRUE(Logged(deployment.At(0), "\"state\":\"leaving\""));
  CheckServes(deployment.At(0));
  CHECK_TRUE(Logged(deployment.At(0), "nested too deeply"));
}

// Guards against further use of the entry that an unreadable one replaced.
TEST(UnreadableEntryTest, StopsUsingAnEntryThatBecameUnreadable)
{
  GatewayDeployment deployment({});
  ReplacePlaceholders(deployment);
  deployment.Put(EntryKey("board-0"), Placeholder(0));
  CHECK_TRUE(
    Logged(deployment.At(0), "\"endpoint\":\"board-0\",\"event\":1202"));
  for (int call = 0; call < 6; ++call) {
    const auto answer = deployment.SendToFirstHost(
      RouteRequest("GET", "/safe/a", "at-" + std::to_string(call)));
    CHECK_TRUE(answer.value().body_.ends_with("by board-1"));
  }
  deployment.List("board-0", deployment.Board(0), "board");
  CHECK_TRUE(WaitUntil(5s, [&] {
    return deployment.SendToFirstHost(RouteRequest("GET", "/safe/a", "at"))
      .value()
      .body_.ends_with("by board-0");
  }));
}

// Guards against lists that end early, or never, at an entry whose name can't
// be read.
TEST(UnreadableEntryTest, ReadsPagesThatEndWithUnreadableEntries)
{
  GatewayDeployment deployment({});
  ReplacePlaceholders(deployment);
  deployment.Store().Control(
    { { "page", 2 }, { "replace", { { "ODD-NAME", R"(\udcff)" } } } });
  deployment.Put(EntryKey("aa-odd"), Placeholder(0));
  deployment.Put(EntryKey("board-0-ODD-NAME"), json::object());
  deployment.Put(EntryKey("board-1-odd"), Placeholder(1));
  deployment.Put(EntryKey("engines-0-ODD-NAME"), Placeholder(2));
  deployment.List("zz-0", deployment.Board(0), "board", "draining");
  CHECK_TRUE(Logged(deployment.At(0), "\"endpoint\":\"zz-0\""));
  Host late(deployment.HostSettings("host-late"));
  CHECK_TRUE(late.WaitReady(5s));
  CheckServes(late);
  CHECK_TRUE(Logged(late, "\"endpoint\":\"zz-0\""));
}

TEST(UnreadableEntryTest, KeepsTheRoutesInForceWhenTheyBecomeUnreadable)
{
  GatewayDeployment deployment({});
  ReplacePlaceholders(deployment);
  const std::string key =
    std::string(names::kRoutesKind) + "/" + names::kRoutesName;
  deployment.Put(key, Placeholder(0));
  CHECK_TRUE(Logged(deployment.At(0), "\"event\":1101"));
  CHECK_TRUE(Logged(deployment.At(0), "\"event\":1112"));
  CheckServes(deployment.At(0));
  json document = deployment.Document();
  document["version"] = 9;
  deployment.PutDocument(document);
  CHECK_TRUE(Logged(deployment.At(0), "\"generation\":9"));
}

// Guards against hosts that never ask for the routes while the list of
// endpoints fails.
TEST(UnreadableEntryTest, ReadsTheRoutesAlthoughTheListOfEndpointsFails)
{
  GatewayDeployment deployment({});
  deployment.Store().Control(
    { { "outage_kinds", { names::kEndpointsKind, "members" } } });
  Host late(deployment.LoneHostSettings("host-late"));
  CHECK_TRUE(late.WaitReady(10s));
  deployment.Store().Control({ { "outage_kinds", json::array() } });
  CHECK_TRUE(WaitUntil(5s, [&] {
    return Send(late.Port(), RouteRequest("GET", "/safe/a", "at"))
             .value()
             .status_ == 200;
  }));
}

// Guards against a task of the peer exchange that ends by an exception at a
// member list of another writer.
TEST(UnreadableEntryTest, JoinsItsPeersBesideMemberListsOfAnotherWriter)
{
  GatewayDeployment deployment({ .hosts_ = 2 });
  deployment.Put("members/aa-text", "not an object");
  deployment.Put("members/aa-list", { { "members", 5 } });
  deployment.Put(
    "members/aa-item",
    { { "members", { 7, { { "host", 7 }, { "address", {} } } } } });
  Host late(deployment.LoneHostSettings("host-late"));
  CHECK_TRUE(WaitUntil(10s, [&] {
    const auto members =
      Send(deployment.Store().Port(), MakeRequest("/-/objects/members"));
    return members.value().body_.find("host-late") != std::string::npos;
  }));
  CHECK_TRUE(late.Handle().WaitForLine("\"event\":1007", 2s).empty());
}
