#include "gooseberrylift/gooseberrylift-admission-controller.h"

#include <algorithm>
#include <cmath>

namespace gooseberrylift {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kMinRetryAfter{ 250 };
constexpr milliseconds kMaxRetryAfter{ 60'000 };
// Decoding alongside the prefill of a long prompt is slower than average.
constexpr double kServiceMargin = 1.3;
constexpr double kEngineWaitGain = 0.05;
constexpr double kMinRate = 0.01;
// Time constant of the exponential decay: long enough that a lull of one second
// does not distort the rate, short enough that one second of a five-second
// burst affects it.
constexpr std::chrono::seconds kDecayTime{ 4 };
constexpr std::size_t kMinSweepThreshold = 256;
constexpr double kPriorSeconds = 0.5; // weight of the prior

double Seconds(microseconds aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

void DrainRate::OnServed(microseconds aCost, TimePoint aNow)
{
  Decay(aNow);
  servedSeconds_ += Seconds(aCost);
}

void DrainRate::OnWaiting(bool aWaiting, TimePoint aNow)
{
  Decay(aNow);
  hasWaiting_ = aWaiting;
}

double DrainRate::Rate(double aPrior) const
{
  return std::max(kMinRate,
                  (servedSeconds_ + aPrior * kPriorSeconds) /
                    (waitingSeconds_ + kPriorSeconds));
}

bool DrainRate::IsStale(TimePoint aNow) const
{
  return !hasWaiting_ && aNow - lastUpdate_ > kDecayTime * 10;
}

void DrainRate::Decay(TimePoint aNow)
{
  const std::chrono::duration<double> elapsed = aNow - lastUpdate_;
  const std::chrono::duration<double> decayTime = kDecayTime;
  const double retained = std::exp(-(elapsed / decayTime));
  lastUpdate_ = aNow;
  servedSeconds_ *= retained;
  // Time with an empty queue carries no information about the drain rate.
  waitingSeconds_ =
    waitingSeconds_ * retained + (hasWaiting_ ? elapsed.count() : 0);
}

AdmissionController::AdmissionController(Options aOptions)
  : options_(aOptions)
  , random_(static_cast<std::uint32_t>(aOptions.seed_))
  , sweepThreshold_(kMinSweepThreshold)
{
}

DrainRate& AdmissionController::DrainRateOf(const std::string& aTeam,
                                            TimePoint aNow)
{
  if (drainRates_.size() > sweepThreshold_) {
    std::erase_if(drainRates_, [aNow](const auto& aEntry) {
      return aEntry.second.IsStale(aNow);
    });
    sweepThreshold_ = std::max(kMinSweepThreshold, drainRates_.size() * 2);
  }
  return drainRates_[aTeam];
}

microseconds AdmissionController::PredictDrainTime(const std::string& aTeam,
                                                   microseconds aQueuedCost,
                                                   double aShare) const
{
  const auto found = drainRates_.find(aTeam);
  const double prior = prior_ * aShare;
  const double rate =
    found == drainRates_.end() ? prior : found->second.Rate(prior);
  return microseconds(static_cast<std::int64_t>(
    static_cast<double>(aQueuedCost.count()) / std::max(kMinRate, rate)));
}

void AdmissionController::OnEngineWait(microseconds aWait)
{
  const auto wait =
    static_cast<double>(std::max(microseconds(0), aWait).count());
  meanEngineWaitUs_ += kEngineWaitGain * (wait - meanEngineWaitUs_);
}

microseconds AdmissionController::EngineWait() const
{
  return microseconds(static_cast<std::int64_t>(meanEngineWaitUs_));
}

bool AdmissionController::MeetsDeadline(microseconds aWait,
                                        microseconds aService,
                                        TimePoint aDeadline,
                                        TimePoint aNow) const
{
  const double needed =
    static_cast<double>(aWait.count()) * options_.waitMargin_ +
    static_cast<double>(aService.count()) * kServiceMargin;
  return aNow + microseconds(static_cast<std::int64_t>(needed)) <= aDeadline;
}

milliseconds AdmissionController::RetryAfter(microseconds aWait)
{
  const auto wait = std::clamp(std::chrono::duration_cast<milliseconds>(aWait),
                               kMinRetryAfter,
                               kMaxRetryAfter / 2);
  std::uniform_int_distribution<std::int64_t> spread(wait.count(),
                                                     2 * wait.count());
  return milliseconds(spread(random_));
}

} // namespace gooseberrylift
