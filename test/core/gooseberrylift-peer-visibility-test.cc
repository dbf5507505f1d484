#include "gooseberrylift/routing/gooseberrylift-peer-visibility.h"

#include <algorithm>
#include <map>
#include <random>

#include "gooseberrylift/routing/gooseberrylift-fleet-load.h"
#include "gooseberrylift/routing/gooseberrylift-fleet-order.h"
#include "gooseberrylift/routing/gooseberrylift-fleet-placement.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

TEST_GROUP(PeerVisibilityTest)
{
  TimePoint start_{ 1000s };
  PeerVisibility view_{ PeerVisibility::Options{}, start_ };
};

TEST(PeerVisibilityTest, ExpectsPeersForAWhileAfterItsStart)
{
  CHECK_TRUE(view_.IsPeerLoadUnknown(start_ + 500ms));
  CHECK_FALSE(view_.IsPeerLoadUnknown(start_ + 2s)); // no peers were found
}

TEST(PeerVisibilityTest, KnowsThePeerLoadFromTheFirstMessage)
{
  view_.OnPeersKnown(8);
  CHECK_TRUE(view_.IsPeerLoadUnknown(start_ + 5s));
  view_.OnLoadMessage(start_ + 5s);
  CHECK_FALSE(view_.IsPeerLoadUnknown(start_ + 6s));
  CHECK_TRUE(view_.IsPeerLoadUnknown(start_ + 8s));
}

namespace {

// Places eight short requests from each of nine hosts, which know nothing of
// each other, on 18 engines. Returns the largest number at one engine.
int MaxRequestsPerEngine(bool aPeerLoadUnknown)
{
  std::vector<ListedEndpoint> engines;
  constexpr int kEngines = 18;
  engines.reserve(kEngines);
  for (int index = 0; index < kEngines; ++index) {
    engines.push_back({ .id_ = std::to_string(index), .slots_ = 16 });
  }
  const EngineProfile profile{ .slots_ = 16,
                               .stepMs_ = 1,
                               .prefillTokensPerMs_ = 250,
                               .stepsPerPass_ = 46,
                               .typicalAnswerTokens_ = 1500 };
  PlacementRequest request{ .promptTokens_ = 5'000,
                            .answerTokens_ = 1'500,
                            .objective_ = 300ms,
                            .maxGap_ = 200ms,
                            .peerLoadUnknown_ = aPeerLoadUnknown };
  const EnginePlacement placement{ EnginePlacement::Options{} };
  std::map<std::string, int> sent;
  std::mt19937_64 random(1);
  for (int host = 0; host < 9; ++host) {
    FleetLoad load{ FleetLoad::Options{} };
    for (std::uint64_t number = 1; number <= 8; ++number) {
      request.draw_ = random();
      const auto ordered = OrderForHost(engines, std::to_string(host), {});
      std::vector<PlacementCandidate> candidates;
      candidates.reserve(ordered.size());
      for (const ListedEndpoint& engine : ordered) {
        candidates.push_back({ .endpoint_ = &engine,
                               .load_ = load.Of(engine.id_, TimePoint{ 1s }) });
      }
      const auto choice = placement.Choose(
        profile, { .shortest_ = 200ms, .next_ = 500ms }, candidates, request);
      load.OnSent(
        choice->endpoint_->id_, number, choice->cost_, TimePoint{ 1s });
      ++sent[choice->endpoint_->id_];
    }
  }
  int most = 0;
  for (const auto& [id, count] : sent) {
    most = std::max(most, count);
  }
  return most;
}

} // namespace

// Guards against full engines, where callers wait a second, after all hosts
// restart together from a power failure. Hosts that assumed that they are alone
// would all fill the first engines of the order.
TEST(PeerVisibilityTest, SpreadsShortRequestsWhilePeerLoadIsUnknown)
{
  CHECK_TRUE(MaxRequestsPerEngine(false) > 16);
  CHECK_TRUE(MaxRequestsPerEngine(true) <= 14);
}
