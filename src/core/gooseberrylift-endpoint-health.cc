#include "gooseberrylift/gooseberrylift-endpoint-health.h"

#include <algorithm>

namespace gooseberrylift {

namespace {

constexpr double kPoolRatioGain = 0.02;
constexpr double kRatioGain = 0.2;
constexpr double kMaxRatio = 50;
constexpr double kMinTrafficShare = 0.1;
constexpr int kMaxBackoffDoublings = 6;

} // namespace

void PoolLatencyRatio::OnRatio(double aRatio)
{
  average_ += kPoolRatioGain * (std::min(aRatio, kMaxRatio) - average_);
}

EndpointHealth::EndpointHealth(Options aOptions)
  : options_(aOptions)
{
}

void EndpointHealth::OnFirstToken(double aRatio,
                                  const PoolLatencyRatio& aPoolRatio,
                                  TimePoint aNow)
{
  consecutiveFaults_ = 0;
  ++responses_;
  ratio_ += kRatioGain * (std::min(aRatio, kMaxRatio) - ratio_);
  const double poolAverage = std::max(1.0, aPoolRatio.Average());
  if (responses_ >= options_.minResponses_ &&
      ratio_ > options_.slowFactor_ * poolAverage) {
    Eject(aNow);
  } else if (ratio_ < poolAverage * 1.5 && TrafficShare(aNow) >= 1.0) {
    consecutiveEjections_ = 0;
  }
}

void EndpointHealth::OnFault(TimePoint aNow)
{
  // During slow start after an ejection, one fault is enough to eject again.
  if (++consecutiveFaults_ >= options_.faultsUntilEjected_ ||
      (consecutiveEjections_ > 0 && TrafficShare(aNow) < 1.0)) {
    Eject(aNow);
  }
}

void EndpointHealth::BeginSlowStart(TimePoint aNow)
{
  inSlowStart_ = true;
  slowStartBegin_ = aNow;
  ratio_ = 1.0;
  responses_ = 0;
  consecutiveFaults_ = 0;
}

double EndpointHealth::TrafficShare(TimePoint aNow) const
{
  if (!inSlowStart_) {
    return 1.0;
  }
  const std::chrono::duration<double> elapsed = aNow - slowStartBegin_;
  const std::chrono::duration<double> total = options_.slowStartDuration_;
  return std::clamp(elapsed / total, kMinTrafficShare, 1.0);
}

double EndpointHealth::SlowdownFactor() const
{
  return std::max(1.0, ratio_);
}

void EndpointHealth::Eject(TimePoint aNow)
{
  if (ShouldEject(aNow)) {
    return;
  }
  const auto ejectionTime = std::min<std::chrono::milliseconds>(
    options_.longestEjection_,
    options_.firstEjection_ *
      (1 << std::min(consecutiveEjections_, kMaxBackoffDoublings)));
  ++consecutiveEjections_;
  ejectedUntil_ = aNow + ejectionTime;
  BeginSlowStart(ejectedUntil_);
}

} // namespace gooseberrylift
