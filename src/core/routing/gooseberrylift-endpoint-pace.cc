#include "gooseberrylift/routing/gooseberrylift-endpoint-pace.h"

#include <algorithm>
#include <cmath>

#include "gooseberrylift/routing/gooseberrylift-fleet-load.h"

namespace gooseberrylift {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr double kTolerance =
  static_cast<double>(EndpointPace::kTolerancePercent) /
  EndpointPace::kUsualPercent;

// Bounds of a prediction within this factor are taken for exact.
constexpr double kExactFactor = 1.1;

// No endpoint is faster than this. The prediction was wrong, or the work had
// arrived late and seems short for that reason.
constexpr double kMinRatio = 0.5;

// One of four observations may be shortened by events that arrived together.
constexpr std::size_t kQuantileDivisor = 4;

// A slow endpoint that explains this share of a delay is its only cause.
constexpr double kExplainedShare = 0.7;

// Work of at least this nominal duration isn't made slow by one unknown
// prefill of a short prompt.
constexpr milliseconds kLongWork{ 150 };

// No pass is shorter.
constexpr milliseconds kSamePass{ 10 };

// Predictions may be too long, because they count the memory that answers may
// take in the end. Below this, events seem fast since they arrive together.
constexpr double kMinBaseline = 0.8;

// The baseline changes slowly, and each update looks at all endpoints.
constexpr milliseconds kBaselineInterval{ 100 };

double RatioOfTimes(microseconds aObserved, microseconds aNominal)
{
  return static_cast<double>(aObserved.count()) /
         static_cast<double>(aNominal.count());
}

// Returns the pace that an observation proves: how slow the endpoint is at
// least, or at most if that is within the tolerance. Nothing if it may be
// either.
std::optional<double> ProvenRatio(const NominalTime& aNominal,
                                  microseconds aObserved)
{
  if (aNominal.shortest_ < EndpointPace::kMinWork || aObserved.count() < 0) {
    return std::nullopt;
  }
  const double atMost = RatioOfTimes(aObserved, aNominal.shortest_);
  const double atLeast =
    RatioOfTimes(aObserved, std::max(aNominal.longest_, aNominal.shortest_));
  if (atLeast > kTolerance) {
    return atLeast;
  }
  if (atMost < kMinRatio) {
    return std::nullopt;
  }
  if (atMost <= kTolerance || atMost <= atLeast * kExactFactor) {
    return atMost;
  }
  return std::nullopt;
}

// Returns the lower quartile; reorders the values.
double LowQuantile(std::vector<double>& aValues)
{
  const auto low = aValues.begin() + static_cast<std::ptrdiff_t>(
                                       (aValues.size() - 1) / kQuantileDivisor);
  std::nth_element(aValues.begin(), low, aValues.end());
  return *low;
}

} // namespace

NominalTime NominalGap(const EngineProfile& aProfile, const EndpointLoad& aLoad)
{
  const microseconds pass = aProfile.PassTime(
    std::min(aLoad.running_, aProfile.slots_), aLoad.memoryTokens_);
  // The backlog is an estimate that decays with time; all of it may be left.
  constexpr int kBacklogFactor = 1;
  return { .shortest_ = pass,
           .longest_ = pass + aLoad.backlog_ * kBacklogFactor };
}

void EndpointPace::OnObserved(const std::string& aEndpoint,
                              const NominalTime& aNominal,
                              microseconds aObserved,
                              TimePoint aNow)
{
  if (const auto ratio = ProvenRatio(aNominal, aObserved)) {
    Record(aEndpoint,
           { .ratio_ = *ratio,
             .at_ = aNow,
             .isLong_ = aNominal.shortest_ > kLongWork });
  }
}

void EndpointPace::OnSharedWorkObserved(
  const std::vector<std::string>& aEndpoints,
  const NominalTime& aNominal,
  microseconds aObserved,
  TimePoint aNow)
{
  const auto ratio = ProvenRatio(aNominal, aObserved);
  if (!ratio) {
    return;
  }
  std::vector<const std::string*> suspects;
  for (const std::string& endpoint : aEndpoints) {
    const double known = KnownRatioOf(endpoint, aNow).value_or(kTolerance);
    if (*ratio > kTolerance && known > *ratio * kExplainedShare) {
      return;
    }
    if (*ratio <= kTolerance || known >= kTolerance) {
      suspects.push_back(&endpoint);
    }
  }
  for (const std::string* suspect : suspects) {
    Record(*suspect,
           { .ratio_ = *ratio,
             .at_ = aNow,
             .isLong_ = aNominal.shortest_ > kLongWork });
  }
}

void EndpointPace::Record(const std::string& aEndpoint, Observation aObserved)
{
  const TimePoint now = aObserved.at_;
  History& history = histories_[aEndpoint];
  if (history.count_ > 0) {
    Observation& latest =
      history.latest_.at((history.count_ - 1) % kObservations);
    // Events of several requests that arrive together end the same pass.
    if (now - latest.at_ < kSamePass) {
      latest.ratio_ = std::min(latest.ratio_, aObserved.ratio_);
      latest.isLong_ = latest.isLong_ || aObserved.isLong_;
      return;
    }
  }
  history.latest_.at(history.count_ % kObservations) = aObserved;
  ++history.count_;
  if (!isBaselineKnown_ || now - baselineAt_ >= kBaselineInterval) {
    UpdateBaseline(now);
  }
  if (aObserved.ratio_ > baseline_ * kTolerance) {
    slowUntil_ = now + options_.maxAge_;
  }
}

std::optional<double> EndpointPace::RatioOf(const History& aHistory,
                                            milliseconds aMaxAge,
                                            TimePoint aNow) const
{
  std::vector<double> ratios;
  ratios.reserve(kObservations);
  std::size_t weight = 0;
  const TimePoint latest = aHistory.LatestAt();
  if (aNow - latest >= aMaxAge) {
    return std::nullopt;
  }
  const std::size_t known = std::min(aHistory.count_, kObservations);
  for (std::size_t index = 0; index < known; ++index) {
    const Observation& observation = aHistory.latest_.at(index);
    if (latest - observation.at_ < options_.maxSpread_) {
      ratios.push_back(observation.ratio_);
      weight += observation.isLong_ ? options_.minObservations_ : 1;
    }
  }
  if (weight < options_.minObservations_) {
    return std::nullopt;
  }
  return LowQuantile(ratios);
}

std::optional<double> EndpointPace::KnownRatioOf(const std::string& aEndpoint,
                                                 TimePoint aNow) const
{
  const auto found = histories_.find(aEndpoint);
  return found == histories_.end()
           ? std::nullopt
           : RatioOf(found->second, options_.maxAge_, aNow);
}

void EndpointPace::UpdateBaseline(TimePoint aNow)
{
  std::vector<double> ratios;
  for (const auto& [endpoint, history] : histories_) {
    if (const auto ratio = RatioOf(history, options_.maxBaselineAge_, aNow)) {
      ratios.push_back(*ratio);
    }
  }
  baselineAt_ = aNow;
  isBaselineKnown_ = ratios.size() >= options_.minBaselineEndpoints_;
  baseline_ =
    isBaselineKnown_ ? std::max(LowQuantile(ratios), kMinBaseline) : 1.0;
}

int EndpointPace::PercentOf(const std::string& aEndpoint, TimePoint aNow) const
{
  const auto found = histories_.find(aEndpoint);
  if (found == histories_.end()) {
    return 0;
  }
  const auto ratio = RatioOf(found->second, options_.maxAge_, aNow);
  if (!ratio) {
    return 0;
  }
  const auto age = aNow - found->second.LatestAt();
  if (*ratio <= kTolerance) {
    return age < options_.halfLife_ ? kUsualPercent : 0;
  }
  const double halfLives = std::chrono::duration<double>(age) /
                           std::chrono::duration<double>(options_.halfLife_);
  const double relative = 1 + (*ratio / baseline_ - 1) * std::exp2(-halfLives);
  if (*ratio <= kTolerance * baseline_ || relative <= kTolerance ||
      !isBaselineKnown_) {
    return 0; // forgotten, or this host may be slow itself
  }
  return static_cast<int>(
    std::min<double>(relative * kUsualPercent, kMaxPercent));
}

bool EndpointPace::IsCertain(const std::string& aEndpoint) const
{
  const auto found = histories_.find(aEndpoint);
  return found != histories_.end() && found->second.count_ >= kObservations;
}

std::vector<std::string> EndpointPace::SlowEndpoints(TimePoint aNow) const
{
  std::vector<std::string> slow;
  if (!MayHaveSlow(aNow)) {
    return slow;
  }
  for (const auto& [endpoint, history] : histories_) {
    if (PercentOf(endpoint, aNow) > kUsualPercent) {
      slow.push_back(endpoint);
    }
  }
  return slow;
}

void EndpointPace::OnRestarted(const std::string& aEndpoint)
{
  histories_.erase(aEndpoint);
}

void EndpointPace::Sweep(TimePoint aNow)
{
  std::erase_if(histories_, [&](const auto& aEntry) {
    const History& history = aEntry.second;
    return aNow - history.LatestAt() >=
           std::max(options_.maxAge_, options_.maxBaselineAge_);
  });
}

void PaceVotes::Add(int aPercent, int aWeight)
{
  if (aPercent <= 0) {
    return;
  }
  const int vote = std::clamp(
    aPercent, EndpointPace::kUsualPercent, EndpointPace::kMaxPercent);
  for (int index = 0; index < aWeight && count_ < votes_.size(); ++index) {
    votes_.at(count_++) = vote;
    slow_ += vote > EndpointPace::kUsualPercent ? 1 : 0;
  }
}

int PaceVotes::Median() const
{
  if (count_ == 0) {
    return 0;
  }
  auto votes = votes_;
  const auto end = votes.begin() + static_cast<std::ptrdiff_t>(count_);
  const auto median =
    votes.begin() + static_cast<std::ptrdiff_t>((count_ - 1) / 2);
  std::nth_element(votes.begin(), median, end);
  return *median;
}

} // namespace gooseberrylift
