#include "gooseberrylift-pass-bench.h"

namespace gooseberrylift::bench {

using std::chrono::milliseconds;

namespace {

EngineProfile DefaultProfile()
{
  return { .slots_ = 16,
           .memoryTokens_ = 450'000,
           .stepMs_ = 0.925,
           .stepPerSequenceMs_ = 0.00483,
           .stepPerThousandMs_ = 0.00254,
           .prefillTokensPerMs_ = 256,
           .prefillMsPerMillionPairs_ = 0.0917,
           .prefillTokensPerStep_ = 2048,
           .stepsPerPass_ = 46,
           .crossEngineStepMs_ = 0.1,
           .typicalAnswerTokens_ = 1541 };
}

// Parameters of a request class that differ between sites.
struct ClassParameters
{
  double perSecond_;
  double eventsMean_;
  milliseconds maxGap_;
  double worth_;
  double lateWorth_;
};

// Sizes of the long prompts, the only ones that differ between sites.
struct LongPrompts
{
  double mean_;
  double most_;
  milliseconds objective_;
};

// The three request classes of all sites, sorted by maximum gap.
std::vector<PassClass> MakeClasses(const ClassParameters& aShort,
                                   const ClassParameters& aMiddle,
                                   const ClassParameters& aLong,
                                   const LongPrompts& aPrompts)
{
  const auto make = [](const ClassParameters& aKind, PassClass aClass) {
    aClass.perSecond_ = aKind.perSecond_;
    aClass.eventsMean_ = aKind.eventsMean_;
    aClass.maxGap_ = aKind.maxGap_;
    aClass.worth_ = aKind.worth_;
    aClass.lateWorth_ = aKind.lateWorth_;
    return aClass;
  };
  return { make(aShort,
                { .name_ = "short",
                  .promptMean_ = 4960,
                  .promptSpread_ = 0.9,
                  .maxPrompt_ = 23'800,
                  .eventsSpread_ = 0.7,
                  .objective_ = milliseconds(300) }),
           make(aMiddle,
                { .name_ = "middle",
                  .promptMean_ = 45'000,
                  .promptSpread_ = 0.5,
                  .maxPrompt_ = 110'000,
                  .eventsSpread_ = 0.6,
                  .objective_ = milliseconds(1500) }),
           make(aLong,
                { .name_ = "long",
                  .promptMean_ = aPrompts.mean_,
                  .promptSpread_ = 0.55,
                  .maxPrompt_ = aPrompts.most_,
                  .eventsSpread_ = 0.5,
                  .objective_ = aPrompts.objective_,
                  .deadline_ = milliseconds(15'000) }) };
}

// Engines that hold hardly more than one long prompt, with many small hosts.
PassSite ContractsSite(bool aLarge)
{
  PassSite site{ .hosts_ = aLarge ? 91 : 6,
                 .zones_ = aLarge ? 3 : 1,
                 .engines_ = aLarge ? 78 : 23,
                 .profile_ = { .slots_ = aLarge ? 12 : 16,
                               .memoryTokens_ = aLarge ? 197'200U : 232'000U,
                               .stepMs_ = 1.02,
                               .stepPerSequenceMs_ = 0.00226,
                               .stepPerThousandMs_ = 0.00431,
                               .prefillTokensPerMs_ = 206,
                               .prefillMsPerMillionPairs_ = 0.138,
                               .prefillTokensPerStep_ = 2048,
                               .stepsPerPass_ = aLarge ? 48 : 43,
                               .crossEngineStepMs_ = 0.075,
                               .typicalAnswerTokens_ = 1409 } };
  site.classes_ =
    MakeClasses({ .perSecond_ = aLarge ? 130.0 : 49.0,
                  .eventsMean_ = 31.6,
                  .maxGap_ = milliseconds(250),
                  .worth_ = 1.3,
                  .lateWorth_ = 0.33 },
                { .perSecond_ = aLarge ? 8.84 : 2.67,
                  .eventsMean_ = 19,
                  .maxGap_ = milliseconds(600),
                  .worth_ = aLarge ? 3.3 : 3.9,
                  .lateWorth_ = aLarge ? 0.83 : 0.98 },
                { .perSecond_ = aLarge ? 5.45 : 2.24,
                  .eventsMean_ = 15.8,
                  .maxGap_ = milliseconds(1000),
                  .worth_ = aLarge ? 20.0 : 15.0,
                  .lateWorth_ = aLarge ? 5.1 : 3.7 },
                { .mean_ = aLarge ? 190'000.0 : 133'000.0,
                  .most_ = 600'000,
                  .objective_ = milliseconds(aLarge ? 3'000 : 2'500) });
  site.phases_ = { { 2, 11.5, { 0.37, 1.3, 2.8 } },
                   { 12, 21.5, { 2.45, 0.5, 0.05 } },
                   { 23, 32.5, { 0.37, 1.3, 2.8 } } };
  return site;
}

// Many small hosts in five zones, and many engines with ten slots each.
PassSite LargeNotesSite(int aHosts, int aEngines, double aRateFactor)
{
  PassSite site{ .hosts_ = aHosts,
                 .zones_ = 5,
                 .engines_ = aEngines,
                 .profile_ = DefaultProfile() };
  site.profile_.slots_ = 10;
  site.profile_.stepsPerPass_ = 73;
  site.classes_ = MakeClasses(
    { .perSecond_ = 282 * aRateFactor,
      .eventsMean_ = 24,
      .maxGap_ = milliseconds(250),
      .worth_ = 1.4,
      .lateWorth_ = 0.34 },
    { .perSecond_ = 30.2 * aRateFactor,
      .eventsMean_ = 15,
      .maxGap_ = milliseconds(600),
      .worth_ = 2.3,
      .lateWorth_ = 0.58 },
    { .perSecond_ = 6.91 * aRateFactor,
      .eventsMean_ = 12,
      .maxGap_ = milliseconds(1000),
      .worth_ = 26,
      .lateWorth_ = 6.6 },
    { .mean_ = 300'000, .most_ = 1'000'000, .objective_ = milliseconds(4000) });
  site.phases_ = { { 2, 11.5, { 0.34, 1.3, 2.8 } },
                   { 13, 22.5, { 2.5, 0.5, 0.05 } },
                   { 23, 32.5, { 0.32, 1.3, 2.6 } } };
  return site;
}

} // namespace

PassSite SiteByName(const std::string& aName)
{
  if (aName == "notes-large") {
    return LargeNotesSite(295, 195, 1);
  }
  if (aName == "notes-fleet") {
    PassSite site = LargeNotesSite(985, 970, 0.6);
    site.phases_.clear();
    return site;
  }
  if (aName.starts_with("contracts")) {
    return ContractsSite(aName == "contracts-large");
  }
  PassSite site{ .hosts_ = 6, .engines_ = 23, .profile_ = DefaultProfile() };
  double rate = 0.83;
  if (aName == "checks") {
    site.hosts_ = 9;
    site.engines_ = 18;
    rate = 0.65;
  }
  site.classes_ = MakeClasses(
    { .perSecond_ = 50.5 * rate,
      .eventsMean_ = 34.9,
      .maxGap_ = milliseconds(200),
      .worth_ = 1.3,
      .lateWorth_ = 0.33 },
    { .perSecond_ = 3.66 * rate,
      .eventsMean_ = 20.9,
      .maxGap_ = milliseconds(500),
      .worth_ = 3.1,
      .lateWorth_ = 0.79 },
    { .perSecond_ = 1.52 * rate,
      .eventsMean_ = 17.4,
      .maxGap_ = milliseconds(800),
      .worth_ = 22,
      .lateWorth_ = 5.4 },
    { .mean_ = 210'000, .most_ = 1'000'000, .objective_ = milliseconds(3000) });
  site.phases_ = { { 2, 11.5, { 0.33, 1.3, 2.75 } },
                   { 12, 21.5, { 2.45, 0.5, 0.05 } },
                   { 23, 32.5, { 0.33, 1.3, 2.75 } } };
  return site;
}

} // namespace gooseberrylift::bench
