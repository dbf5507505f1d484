#include "bench/gooseberrylift-bench-load.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace gooseberrylift::bench {

namespace {

constexpr double kLongShare = 0.02;
constexpr std::uint64_t kThousand = 1000;
constexpr std::uint64_t kLong = 100'000;
constexpr std::uint64_t kMillion = 1'000'000;
constexpr std::uint64_t kShort = 4000;

using Random = std::mt19937_64;

std::uint64_t LogSpread(Random& aRandom, std::uint64_t aMin, std::uint64_t aMax)
{
  std::uniform_real_distribution<double> exponent(
    std::log(static_cast<double>(aMin)), std::log(static_cast<double>(aMax)));
  return static_cast<std::uint64_t>(std::exp(exponent(aRandom)));
}

void SetClass(Arrival& aArrival, ServiceClass aClass)
{
  aArrival.info_.class_ = aClass;
  switch (aClass) {
    case ServiceClass::kUrgent:
      aArrival.info_.service_ = "room-state";
      aArrival.info_.maxTokens_ = 16;
      aArrival.patience_ = milliseconds(5000);
      break;
    case ServiceClass::kNormal:
      aArrival.info_.service_ = "summaries";
      aArrival.info_.maxTokens_ = 48;
      aArrival.patience_ = milliseconds(20'000);
      break;
    case ServiceClass::kBatch:
      aArrival.info_.service_ = "season-reviews";
      aArrival.info_.maxTokens_ = 64;
      aArrival.patience_ = milliseconds(120'000);
      break;
  }
}

// Two teams are large and submit three quarters of all requests.
std::string TeamOf(Random& aRandom, int aTeams)
{
  const bool large = aRandom() % 4 != 0;
  const std::uint64_t count =
    static_cast<std::uint64_t>(large ? 2 : aTeams - 2);
  return "team-" + std::to_string((large ? 0 : 2) + aRandom() % count);
}

// Estimates the mean prefill time of a request in the mix by sampling.
double MeanCost(const LoadOptions& aOptions)
{
  Random random(7);
  double sum = 0;
  constexpr int kDraws = 20'000;
  std::uniform_real_distribution<double> unit;
  for (int draw = 0; draw < kDraws; ++draw) {
    const bool isLong = aOptions.longPrompts_ && unit(random) < kLongShare;
    const std::uint64_t tokens = isLong ? LogSpread(random, kLong, kMillion)
                                        : LogSpread(random, kThousand, kLong);
    sum += static_cast<double>(PrefillTime(tokens).count());
  }
  return sum / kDraws;
}

void Append(std::vector<Arrival>& aTo, std::vector<Arrival> aFrom)
{
  std::move(aFrom.begin(), aFrom.end(), std::back_inserter(aTo));
}

void Shift(std::vector<Arrival>& aArrivals, seconds aBy)
{
  for (Arrival& arrival : aArrivals) {
    arrival.at_ += aBy;
  }
}

} // namespace

const FleetSize kHuonetila{ "huonetila",
                            25,
                            9,
                            microseconds(1500),
                            microseconds(3000) };
const FleetSize kVatuvola{ "vatuvola",
                           20,
                           6,
                           microseconds(1000),
                           microseconds(1000) };

microseconds PrefillTime(std::uint64_t aTokens)
{
  const fakes::FakeBatch::Options engine;
  const auto tokens = static_cast<double>(aTokens);
  return microseconds(
    static_cast<std::int64_t>(engine.prefillLinearUs_ * tokens +
                              engine.prefillQuadraticUs_ * tokens * tokens));
}

std::vector<Arrival> Mix(const LoadOptions& aOptions)
{
  Random random(aOptions.seed_);
  const double rate =
    aOptions.load_ * aOptions.engines_ * 1e6 / MeanCost(aOptions);
  std::exponential_distribution<double> gap(rate);
  std::uniform_real_distribution<double> unit;
  std::vector<Arrival> arrivals;
  const double end = static_cast<double>(aOptions.length_.count());
  for (double at = gap(random); at < end; at += gap(random)) {
    Arrival arrival;
    arrival.at_ = TimePoint(microseconds(static_cast<std::int64_t>(at * 1e6)));
    const bool isLong = unit(random) < kLongShare;
    const std::uint64_t tokens = isLong ? LogSpread(random, kLong, kMillion)
                                        : LogSpread(random, kThousand, kLong);
    arrival.info_.team_ = TeamOf(random, aOptions.teams_);
    arrival.info_.promptTokens_ = tokens;
    arrival.resends_ = aOptions.resends_;
    SetClass(arrival,
             isLong             ? ServiceClass::kBatch
             : tokens <= kShort ? ServiceClass::kUrgent
                                : ServiceClass::kNormal);
    if (!isLong || aOptions.longPrompts_) {
      arrivals.push_back(std::move(arrival));
    }
  }
  return arrivals;
}

std::vector<Arrival> Stream(const LoadOptions& aOptions,
                            double aRate,
                            ServiceClass aClass,
                            std::uint64_t aMin,
                            std::uint64_t aMax,
                            const std::string& aTeam)
{
  Random random(aOptions.seed_ + static_cast<std::uint64_t>(aClass) * 31 +
                aMin);
  std::exponential_distribution<double> gap(aRate);
  std::vector<Arrival> arrivals;
  const double end = static_cast<double>(aOptions.length_.count());
  for (double at = gap(random); at < end; at += gap(random)) {
    Arrival arrival;
    arrival.at_ = TimePoint(microseconds(static_cast<std::int64_t>(at * 1e6)));
    arrival.info_.team_ =
      aTeam.empty() ? TeamOf(random, aOptions.teams_) : aTeam;
    arrival.info_.promptTokens_ = LogSpread(random, aMin, aMax);
    arrival.resends_ = aOptions.resends_;
    SetClass(arrival, aClass);
    arrivals.push_back(std::move(arrival));
  }
  return arrivals;
}

namespace {

void Burst(Pattern& aPattern, LoadOptions aLoad)
{
  aLoad.load_ = 0.3;
  aPattern.arrivals_ = Mix(aLoad);
  aLoad.load_ = 2.7; // together with the base load of 0.3, ten times the rate
  aLoad.length_ = seconds(5);
  aLoad.seed_ += 1000;
  std::vector<Arrival> burst = Mix(aLoad);
  Shift(burst, seconds(5));
  Append(aPattern.arrivals_, std::move(burst));
}

// The default mix plus one team that requests the given share of the capacity.
void HotTeam(Pattern& aPattern, LoadOptions aLoad, double aTeamLoad)
{
  aLoad.load_ = 0.6;
  aPattern.arrivals_ = Mix(aLoad);
  aLoad.load_ = aTeamLoad;
  aLoad.longPrompts_ = false;
  aLoad.seed_ += 1000;
  std::vector<Arrival> team = Mix(aLoad);
  for (Arrival& arrival : team) {
    arrival.info_.team_ = "hot";
  }
  Append(aPattern.arrivals_, std::move(team));
}

void HotPrefix(Pattern& aPattern, LoadOptions aLoad)
{
  aLoad.load_ = 0.6;
  aPattern.arrivals_ = Mix(aLoad);
  for (std::size_t index = 0; index < aPattern.arrivals_.size(); index += 2) {
    aPattern.arrivals_[index].info_.prefixHash_ = 42;
  }
}

void SlowEngines(Pattern& aPattern, LoadOptions aLoad)
{
  aLoad.load_ = 0.5;
  aPattern.arrivals_ = Mix(aLoad);
  aPattern.changes_ = [](Fleet& aFleet) {
    aFleet.At(seconds(4), [&aFleet] { aFleet.Slow(1, 5); });
    aFleet.At(seconds(4), [&aFleet] { aFleet.Hang(2); });
  };
}

// Room state at 10% of the capacity together with reviews at 40%.
void Reviews(Pattern& aPattern, const LoadOptions& aLoad, bool aWith)
{
  const double cost = static_cast<double>(PrefillTime(2200).count()) / 1e6;
  aPattern.arrivals_ = Stream(aLoad,
                              0.1 * aLoad.engines_ / cost,
                              ServiceClass::kUrgent,
                              kThousand,
                              kShort);
  if (aWith) {
    const double review =
      static_cast<double>(PrefillTime(720'000).count()) / 1e6;
    Append(aPattern.arrivals_,
           Stream(aLoad,
                  0.4 * aLoad.engines_ / review,
                  ServiceClass::kBatch,
                  kMillion / 2,
                  kMillion));
  }
}

void Overload(Pattern& aPattern, LoadOptions aLoad, double aFactor)
{
  aLoad.load_ = aFactor;
  // Longer than a summary's deadline, so that queueing can't absorb the
  // overload.
  aLoad.length_ = seconds(aFactor > 0.9 ? 45 : 20);
  aPattern.arrivals_ = Mix(aLoad);
}

void HalfVanish(Pattern& aPattern, LoadOptions aLoad)
{
  aLoad.load_ = 0.35;
  aPattern.arrivals_ = Mix(aLoad);
  const int half = aLoad.engines_ / 2;
  aPattern.changes_ = [half](Fleet& aFleet) {
    for (int engine = 0; engine < half; ++engine) {
      aFleet.At(seconds(5), [&aFleet, engine] { aFleet.Kill(engine); });
      aFleet.At(seconds(12), [&aFleet, engine] { aFleet.Revive(engine); });
    }
  };
}

void RetryStorm(Pattern& aPattern, LoadOptions aLoad)
{
  aLoad.load_ = 1.5;
  aLoad.resends_ = 2;
  aPattern.arrivals_ = Mix(aLoad);
  const int few = aLoad.engines_ / 5;
  aPattern.changes_ = [few](Fleet& aFleet) {
    for (int engine = 0; engine < few; ++engine) {
      aFleet.At(seconds(5), [&aFleet, engine] { aFleet.Kill(engine); });
      aFleet.At(seconds(10), [&aFleet, engine] { aFleet.Revive(engine); });
    }
  };
}

} // namespace

const std::vector<std::string>& PatternNames()
{
  static const std::vector<std::string> kNames = {
    "a",    "b",    "b0", "c", "d",    "e",  "e0", "f0.5", "f0.8",
    "f1.0", "f1.5", "f3", "g", "h0.2", "h1", "h5", "i"
  };
  return kNames;
}

Pattern MakePattern(const std::string& aName,
                    const FleetSize& aSize,
                    std::uint64_t aSeed)
{
  Pattern pattern{ .name_ = aName };
  pattern.fleet_.engines_ = aSize.engines_;
  pattern.fleet_.hosts_ = aSize.hosts_;
  pattern.fleet_.zoneDelay_ = aSize.zoneDelay_;
  pattern.fleet_.callerDelay_ = aSize.callerDelay_;
  pattern.fleet_.seed_ = aSeed;
  // Every prompt fits into one engine, so that strategies differ only in their
  // placement decisions.
  pattern.fleet_.engine_.kvTokens_ = 1'200'000;
  const LoadOptions load{ .engines_ = aSize.engines_, .seed_ = aSeed };
  switch (aName.front()) {
    case 'a':
      Burst(pattern, load);
      break;
    case 'b':
      // One team's fair share is a tenth of the load; the hot team submits
      // eight times that.
      HotTeam(pattern, load, aName == "b" ? 0.8 : 0.1);
      break;
    case 'c':
      HotPrefix(pattern, load);
      break;
    case 'd':
      SlowEngines(pattern, load);
      break;
    case 'e':
      Reviews(pattern, load, aName == "e");
      break;
    case 'f':
      Overload(pattern, load, std::stod(aName.substr(1)));
      break;
    case 'g':
      HalfVanish(pattern, load);
      break;
    case 'h':
      Overload(pattern, load, 0.7);
      pattern.fleet_.reportLag_ =
        milliseconds(static_cast<int>(std::stod(aName.substr(1)) * 1000));
      break;
    default:
      RetryStorm(pattern, load);
  }
  return pattern;
}

} // namespace gooseberrylift::bench
