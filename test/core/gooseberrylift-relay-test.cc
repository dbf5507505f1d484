#include "gooseberrylift/gooseberrylift-digest-codec.h"
#include "gooseberrylift/membership/gooseberrylift-relay-message.h"
#include "gooseberrylift/membership/gooseberrylift-relay-peers.h"
#include "gooseberrylift/routing/gooseberrylift-relay-decision.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

Digest HostIn(const std::string& aName, const std::string& aZone)
{
  Digest digest;
  digest.host_ = aName;
  digest.zone_ = aZone;
  digest.region_ = "r-" + aZone;
  digest.acceptsRelays_ = true;
  return digest;
}

} // namespace

TEST_GROUP(RelayPeersTest)
{
  RelayPeers peers_{ { .zone_ = "a", .region_ = "r-a" } };
  TimePoint now_{ 1h };
  RelayQuery query_{ .service_ = "engines" };

  // Returns the hosts that are chosen for a number of random draws.
  std::set<std::string> Choices()
  {
    std::set<std::string> chosen;
    for (std::uint64_t draw = 0; draw < 50; ++draw) {
      query_.draw_ = draw * 0x9e3779b97f4a7c15ULL;
      if (const auto peer = peers_.Choose(query_, now_)) {
        chosen.insert(peer->host_);
      }
    }
    return chosen;
  }
};

TEST(RelayPeersTest, PrefersHostsOfItsOwnZone)
{
  peers_.SetPeers({ HostIn("a1", "a"), HostIn("a2", "a"), HostIn("b1", "b") });
  CHECK_TRUE((std::set<std::string>{ "a1", "a2" }) == Choices());
}

// Guards against loading the last host of a zone with the work of all others.
TEST(RelayPeersTest, SpreadsOverAllZonesWhenMostOfItsOwnIsCutOff)
{
  Digest cut = HostIn("a2", "a");
  cut.linksLost_ = { "engines" };
  peers_.SetPeers({ HostIn("a1", "a"), cut, HostIn("b1", "b") });
  CHECK_TRUE((std::set<std::string>{ "a1", "b1" }) == Choices());
}

TEST(RelayPeersTest, ChoosesNoHostThatCannotTakeTheRequest)
{
  Digest draining = HostIn("draining", "a");
  draining.draining_ = true;
  Digest older = HostIn("older", "a");
  older.acceptsRelays_ = false;
  Digest cut = HostIn("cut", "a");
  cut.linksLost_ = { "board", "engines" };
  peers_.SetPeers({ draining, older, cut });
  CHECK_TRUE(Choices().empty());
  query_.service_ = "other";
  CHECK_TRUE(std::set<std::string>{ "cut" } == Choices());
}

TEST(RelayPeersTest, SendsNoBodyToARegionThatIsNotAllowed)
{
  peers_.SetPeers({ HostIn("b1", "b"), HostIn("c1", "c") });
  query_.allowedZones_ = std::set<std::string>{ "c" };
  CHECK_TRUE(std::set<std::string>{ "c1" } == Choices());
}

TEST(RelayPeersTest, AvoidsAHostThatRefusedForAWhile)
{
  peers_.SetPeers({ HostIn("a1", "a") });
  peers_.OnRefused("a1", "engines", now_);
  CHECK_TRUE(Choices().empty());
  now_ += 1s;
  CHECK_FALSE(Choices().empty());
}

TEST(RelayPeersTest, PrefersTheHostWithFewerRelayedRequests)
{
  peers_.SetPeers({ HostIn("a1", "a"), HostIn("a2", "a") });
  peers_.OnSent("a1");
  int toBusy = 0;
  for (std::uint64_t draw = 0; draw < 1'000; ++draw) {
    query_.draw_ = draw * 0x9e3779b97f4a7c15ULL;
    toBusy += peers_.Choose(query_, now_)->host_ == "a1" ? 1 : 0;
  }
  // Only if both draws name it.
  CHECK_TRUE(toBusy > 150 && toBusy < 350);
}

TEST_GROUP(RelayDecisionTest){};

TEST(RelayDecisionTest, RelaysWhenLinksAreLostOrConnectionsFail)
{
  CHECK_TRUE(DecideRelay({}) == RelayReason::kNone);
  CHECK_TRUE(DecideRelay({ .linksLost_ = true }) == RelayReason::kLinksLost);
  CHECK_TRUE(DecideRelay({ .failedConnections_ = 1 }) == RelayReason::kNone);
  CHECK_TRUE(DecideRelay({ .failedConnections_ = 2 }) ==
             RelayReason::kConnectionsFailed);
}

// Guards against relaying the overload of a fleet whose links are sound.
TEST(RelayDecisionTest, RelaysLateRequestsOnlyIfManyEndpointsAreOutOfReach)
{
  RelayInput input{ .endpoints_ = 20, .unreachable_ = 4, .lateHere_ = true };
  CHECK_TRUE(DecideRelay(input) == RelayReason::kNone);
  input.unreachable_ = 5;
  CHECK_TRUE(DecideRelay(input) == RelayReason::kPartOfLinksLost);
  input.lateHere_ = false;
  CHECK_TRUE(DecideRelay(input) == RelayReason::kNone);
  CHECK_TRUE(DecideRelay({ .lateHere_ = true }) == RelayReason::kNone);
}

TEST_GROUP(RelayMessageTest){};

TEST(RelayMessageTest, KeepsTermsAndOutcomes)
{
  const auto terms = RelayTermsFromJson(RelayTermsToJson({ .from_ = "h",
                                                           .generation_ = 7,
                                                           .waited_ = 70ms,
                                                           .mayMove_ = true,
                                                           .tried_ = { "e" },
                                                           .only_ = { "f" } }));
  CHECK_TRUE(terms->from_ == "h" && terms->waited_ == 70ms);
  CHECK_TRUE(terms->generation_ == 7);
  CHECK_TRUE(terms->mayMove_ && terms->tried_.size() == 1);
  CHECK_TRUE(terms->only_ == std::vector<std::string>{ "f" });
  RelayOutcome sent;
  sent.error_ = { .code_ = ResultCode::kEndpointRefused,
                  .text_ = "status 503",
                  .ran_ = RanState::kNo,
                  .retryAfter_ = 300ms };
  sent.sends_ = 1;
  const auto outcome = RelayOutcomeFromJson(RelayOutcomeToJson(sent));
  CHECK_TRUE(outcome->error_.code_ == ResultCode::kEndpointRefused);
  CHECK_TRUE(outcome->error_.ran_ == RanState::kNo);
  CHECK_TRUE(outcome->error_.retryAfter_ == 300ms);
  LONGS_EQUAL(1, outcome->sends_);
  CHECK_FALSE(IsRefusedByHost(*outcome));
}

// Guards against promising that a request did not run on the word of a host of
// another version.
TEST(RelayMessageTest, TakesWhatItDoesNotKnowForUnknown)
{
  json document = RelayOutcomeToJson({});
  document["code"] = 99'999;
  document["ran"] = 7;
  const auto outcome = RelayOutcomeFromJson(document);
  CHECK_TRUE(outcome->error_.ran_ == RanState::kUnknown);
  CHECK_TRUE(outcome->error_.code_ == ResultCode::kInternal);
  CHECK_FALSE(IsRefusedByHost(*outcome));
}

TEST(RelayMessageTest, RejectsMalformedMessages)
{
  for (const char* text :
       { "{}", "[]", "null", "7", R"({"from":1})", R"({"code":"x"})" }) {
    CHECK_FALSE(RelayTermsFromJson(json::parse(text)).has_value());
    CHECK_FALSE(RelayOutcomeFromJson(json::parse(text)).has_value());
  }
  json late = RelayTermsToJson({ .from_ = "h" });
  late["waited_ms"] = -5;
  CHECK_TRUE(RelayTermsFromJson(late)->waited_ == 0ms);
}

TEST(RelayMessageTest, TellsInDigestsWhatAHostReaches)
{
  Digest digest = HostIn("a1", "a");
  digest.linksLost_ = { "engines" };
  const Digest decoded = DigestFromJson(DigestToJson(digest));
  CHECK_TRUE(decoded.acceptsRelays_);
  CHECK_TRUE(decoded.linksLost_ == digest.linksLost_);
  const Digest older = DigestFromJson({ { "h", "a2" } });
  CHECK_FALSE(older.acceptsRelays_);
}
