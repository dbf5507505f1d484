#include "gooseberrylift/routing/gooseberrylift-fleet-placement.h"

#include <algorithm>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

// Draws services, engines in any state, and requests.
class PlacementGenerator
{
public:
  explicit PlacementGenerator(std::uint64_t aSeed)
    : random_(aSeed)
  {
    const int count = Number(0, 40);
    for (int index = 0; index < count; ++index) {
      engines_.push_back({ .id_ = std::to_string(index),
                           .zone_ = std::to_string(Number(0, 2)),
                           .slots_ = Number(0, 32) });
    }
    const double limited = Share();
    const double avoided = Share();
    const double tried = Share();
    for (const ListedEndpoint& engine : engines_) {
      const bool isLimited = Is(limited);
      candidates_.push_back({ .endpoint_ = &engine,
                              .load_ = Load(),
                              .avoided_ = Is(avoided),
                              .tried_ = Is(tried),
                              .limited_ = isLimited,
                              .cold_ = isLimited && Is(0.5) });
    }
  }

  const std::vector<PlacementCandidate>& Candidates() const
  {
    return candidates_;
  }

  EngineProfile Profile()
  {
    return { .slots_ = Number(0, 32),
             .memoryTokens_ =
               static_cast<std::uint64_t>(Number(0, 3) * Number(0, 200'000)),
             .stepMs_ = 1,
             .prefillTokensPerMs_ = static_cast<double>(Number(1, 400)),
             .prefillMsPerMillionPairs_ = 0.1 * Share(),
             .prefillTokensPerStep_ = 2048,
             .stepsPerPass_ = Number(0, 60),
             .typicalAnswerTokens_ =
               static_cast<std::uint64_t>(Number(0, 2'000)) };
  }

  ServiceGaps Gaps()
  {
    const milliseconds shortest(Number(0, 500));
    return { .shortest_ = shortest,
             .next_ = shortest + milliseconds(Number(0, 500)) };
  }

  PlacementRequest Request()
  {
    const int most = Is(0.5) ? 5'000 : (Is(0.9) ? 1'000'000 : 1'000'000'000);
    return { .promptTokens_ = static_cast<std::uint64_t>(Number(0, most)),
             .answerTokens_ = static_cast<std::uint64_t>(Number(0, 4'000)),
             .objective_ = milliseconds(Number(0, 5'000)),
             .maxGap_ = milliseconds(Number(0, 500)),
             .zone_ = std::to_string(Number(0, 2)),
             .peerLoadUnknown_ = Is(0.5),
             .draw_ = random_() };
  }

private:
  int Number(int aLeast, int aMost)
  {
    return std::uniform_int_distribution<int>(aLeast, aMost)(random_);
  }

  // Includes "none" and "all", which a uniform distribution never draws.
  double Share() { return Number(0, 4) / 4.0; }

  bool Is(double aShare)
  {
    return std::bernoulli_distribution(aShare)(random_);
  }

  EndpointLoad Load()
  {
    if (Is(0.3)) {
      return {};
    }
    const int running = Number(0, 60);
    return { .running_ = running,
             .tightGap_ = Number(0, running),
             .memoryTokens_ = static_cast<std::uint64_t>(Number(0, 500'000)),
             .backlog_ = milliseconds(Number(0, 3'000)),
             .deferred_ = Number(0, running),
             .pressure_ = Is(0.2) ? Number(0, running) : 0 };
  }

  std::mt19937_64 random_;
  std::vector<ListedEndpoint> engines_;
  std::vector<PlacementCandidate> candidates_;
};

// Checks that the chosen endpoints are distinct and among the candidates.
void CheckChoice(const std::vector<PlacementCandidate>& aCandidates,
                 const PlacementChoice& aChoice)
{
  std::set<const ListedEndpoint*> chosen(aChoice.helpers_.begin(),
                                         aChoice.helpers_.end());
  chosen.insert(aChoice.endpoint_);
  LONGS_EQUAL(aChoice.helpers_.size() + 1, chosen.size());
  for (const ListedEndpoint* endpoint : chosen) {
    CHECK_TRUE(std::any_of(
      aCandidates.begin(), aCandidates.end(), [&](const auto& aCandidate) {
        return aCandidate.endpoint_ == endpoint;
      }));
  }
}

constexpr std::uint64_t kSeeds = 4'000;

} // namespace

TEST_GROUP(PlacementStatesTest){};

// Guards against a choice outside the candidates for a combination of states.
TEST(PlacementStatesTest, ChoosesEnginesOnlyAmongTheCandidates)
{
  const EnginePlacement placement{ EnginePlacement::Options{} };
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    PlacementGenerator generator(seed);
    const EngineProfile profile = generator.Profile();
    const ServiceGaps gaps = generator.Gaps();
    const PlacementRequest request = generator.Request();
    const auto choice = ChooseSparingCold(
      generator.Candidates(), request, [&](const auto& aCandidates) {
        return placement.Choose(profile, gaps, aCandidates, request);
      });
    if (choice) {
      CheckChoice(generator.Candidates(), *choice);
    }
  }
}

// Guards against a choice outside the candidates for a combination of states.
TEST(PlacementStatesTest, ChoosesServiceEndpointsOnlyAmongTheCandidates)
{
  const ServicePlacement placement;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    PlacementGenerator generator(seed);
    const auto choice =
      placement.Choose(10ms, generator.Candidates(), generator.Request());
    CHECK_EQUAL(generator.Candidates().empty(), !choice.has_value());
    if (choice) {
      CheckChoice(generator.Candidates(), *choice);
    }
  }
}
