#include "gooseberrylift/routing/gooseberrylift-outlier-detector.h"

#include <algorithm>

namespace gooseberrylift {

namespace {

// The fleet-wide share decays slowly, so that a single failing endpoint hardly
// changes the reference value that it is compared with.
constexpr double kFleetDecay = 0.99;
constexpr std::chrono::minutes kRecordExpiry{ 1 };

double DecayedShare(double aShare, double aDecay, bool aFailed)
{
  return aShare * aDecay + (aFailed ? 1 - aDecay : 0);
}

} // namespace

void OutlierDetector::OnOutcome(const std::string& aEndpoint,
                                EndpointOutcome aOutcome,
                                TimePoint aNow)
{
  Record& record = records_[aEndpoint];
  record.lastOutcome_ = aNow;
  if (aOutcome == EndpointOutcome::kRefused) {
    return; // an orderly refusal is not a failure
  }
  const bool failed = aOutcome != EndpointOutcome::kServed;
  record.failureShare_ =
    DecayedShare(record.failureShare_, options_.decay_, failed);
  fleetFailureShare_ = DecayedShare(fleetFailureShare_, kFleetDecay, failed);
  if (aOutcome == EndpointOutcome::kUnreachable) {
    const int doublings = std::min(record.consecutiveUnreachable_, 3);
    ++record.consecutiveUnreachable_;
    record.ejectedUntil_ =
      aNow + std::min(options_.initialEjection_ * (1 << doublings),
                      options_.maxEjection_);
    return;
  }
  record.consecutiveUnreachable_ = 0;
  if (failed && record.failureShare_ > options_.failureThreshold_ &&
      record.failureShare_ >
        options_.fleetFailureFactor_ * fleetFailureShare_) {
    record.ejectedUntil_ = aNow + options_.failureEjection_;
  }
}

bool OutlierDetector::IsEjected(const std::string& aEndpoint,
                                TimePoint aNow) const
{
  return aNow < EjectedUntil(aEndpoint);
}

TimePoint OutlierDetector::EjectedUntil(const std::string& aEndpoint) const
{
  const auto found = records_.find(aEndpoint);
  return found == records_.end() ? TimePoint{} : found->second.ejectedUntil_;
}

std::size_t OutlierDetector::CountUnreachable() const
{
  return static_cast<std::size_t>(
    std::count_if(records_.begin(), records_.end(), [](const auto& aEntry) {
      return aEntry.second.consecutiveUnreachable_ > 0;
    }));
}

void OutlierDetector::OnLinksRestored()
{
  std::erase_if(records_, [](const auto& aEntry) {
    return aEntry.second.consecutiveUnreachable_ > 0;
  });
}

void OutlierDetector::Sweep(TimePoint aNow)
{
  std::erase_if(records_, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.lastOutcome_ > kRecordExpiry;
  });
}

} // namespace gooseberrylift
