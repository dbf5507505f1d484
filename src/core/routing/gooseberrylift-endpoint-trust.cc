#include "gooseberrylift/routing/gooseberrylift-endpoint-trust.h"

#include <algorithm>

namespace gooseberrylift {

namespace {

// The share of all endpoints follows slowly, so that one bad endpoint does not
// move the measure that it is held against.
constexpr double kMemoryOfAll = 0.99;
constexpr std::chrono::minutes kForget{ 1 };

double Decayed(double aShare, double aMemory, bool aFailed)
{
  return aShare * aMemory + (aFailed ? 1 - aMemory : 0);
}

} // namespace

void EndpointTrust::OnOutcome(const std::string& aEndpoint,
                              EndpointOutcome aOutcome,
                              TimePoint aNow)
{
  Record& record = records_[aEndpoint];
  record.last_ = aNow;
  if (aOutcome == EndpointOutcome::kRefused) {
    return; // it answered in good order
  }
  const bool failed = aOutcome != EndpointOutcome::kServed;
  record.failing_ = Decayed(record.failing_, options_.memory_, failed);
  failingOfAll_ = Decayed(failingOfAll_, kMemoryOfAll, failed);
  if (aOutcome == EndpointOutcome::kUnreachable) {
    const int doublings = std::min(record.unreachable_, 3);
    ++record.unreachable_;
    record.restUntil_ = aNow + std::min(options_.firstRest_ * (1 << doublings),
                                        options_.longestRest_);
    return;
  }
  record.unreachable_ = 0;
  if (failed && record.failing_ > options_.failingShare_ &&
      record.failing_ > options_.overOthers_ * failingOfAll_) {
    record.restUntil_ = aNow + options_.failingRest_;
  }
}

bool EndpointTrust::IsSetAside(const std::string& aEndpoint,
                               TimePoint aNow) const
{
  const auto found = records_.find(aEndpoint);
  return found != records_.end() && aNow < found->second.restUntil_;
}

void EndpointTrust::Sweep(TimePoint aNow)
{
  std::erase_if(records_, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.last_ > kForget;
  });
}

} // namespace gooseberrylift
