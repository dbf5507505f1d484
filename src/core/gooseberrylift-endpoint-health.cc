#include "gooseberrylift/gooseberrylift-endpoint-health.h"

#include <algorithm>

namespace gooseberrylift {

namespace {

constexpr double kPaceGain = 0.02;
constexpr double kRatioGain = 0.2;
constexpr double kMaxRatio = 50;
constexpr double kLeastShare = 0.1;
constexpr int kMaxDoublings = 6;

} // namespace

void PoolPace::OnRatio(double aRatio)
{
  usual_ += kPaceGain * (std::min(aRatio, kMaxRatio) - usual_);
}

EndpointHealth::EndpointHealth(Options aOptions)
  : options_(aOptions)
{
}

void EndpointHealth::OnFirstToken(double aRatio,
                                  const PoolPace& aPace,
                                  TimePoint aNow)
{
  faults_ = 0;
  ++answers_;
  ratio_ += kRatioGain * (std::min(aRatio, kMaxRatio) - ratio_);
  const double usual = std::max(1.0, aPace.Usual());
  if (answers_ >= options_.leastAnswers_ &&
      ratio_ > options_.slowFactor_ * usual) {
    Eject(aNow);
  } else if (ratio_ < usual * 1.5 && Share(aNow) >= 1.0) {
    ejections_ = 0;
  }
}

void EndpointHealth::OnFault(TimePoint aNow)
{
  // After a return one more fault is enough: it has failed before.
  if (++faults_ >= options_.faultsUntilEjected_ ||
      (ejections_ > 0 && Share(aNow) < 1.0)) {
    Eject(aNow);
  }
}

void EndpointHealth::OnReturned(TimePoint aNow)
{
  starting_ = true;
  startedAt_ = aNow;
  ratio_ = 1.0;
  answers_ = 0;
  faults_ = 0;
}

double EndpointHealth::Share(TimePoint aNow) const
{
  if (!starting_) {
    return 1.0;
  }
  const std::chrono::duration<double> since = aNow - startedAt_;
  const std::chrono::duration<double> whole = options_.slowStart_;
  return std::clamp(since / whole, kLeastShare, 1.0);
}

double EndpointHealth::Slowness() const
{
  return std::max(1.0, ratio_);
}

void EndpointHealth::Eject(TimePoint aNow)
{
  if (WantsEjection(aNow)) {
    return;
  }
  const auto length = std::min<std::chrono::milliseconds>(
    options_.longestEjection_,
    options_.firstEjection_ * (1 << std::min(ejections_, kMaxDoublings)));
  ++ejections_;
  ejectedUntil_ = aNow + length;
  OnReturned(ejectedUntil_);
}

} // namespace gooseberrylift
