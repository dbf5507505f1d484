#include "gooseberrylift/limits/gooseberrylift-crash-history.h"

#include <algorithm>

namespace gooseberrylift {

bool EndpointCrash::Accuses(const std::string& aFeature) const
{
  return std::any_of(
    accused_.begin(), accused_.end(), [&](const RequestFeatures& aRequest) {
      return aRequest.content_ == aFeature ||
             std::find(aRequest.parts_.begin(),
                       aRequest.parts_.end(),
                       aFeature) != aRequest.parts_.end();
    });
}

// Returns the record of an endpoint. One that was not confirmed in time is of
// another event and starts anew.
EndpointCrash& CrashHistory::RecordOf(const std::string& aEndpoint,
                                      WallTime aAt)
{
  EndpointCrash& crash = crashes_[aEndpoint];
  const bool isNew = crash.brokenAt_ == WallTime{};
  const bool outdated =
    !crash.confirmed_ && aAt - crash.brokenAt_ > options_.confirmationWindow_;
  if (isNew || outdated) {
    crash = { .brokenAt_ = aAt };
  }
  return crash;
}

void CrashHistory::OnConnectionLost(const BrokenAttempt& aAttempt,
                                    WallTime aNow)
{
  EndpointCrash& crash = RecordOf(aAttempt.endpoint_, aNow);
  if (aNow - crash.brokenAt_ > options_.confirmationWindow_) {
    return; // that incarnation has exited long ago
  }
  crash.aliveAt_ = std::max(crash.aliveAt_, aAttempt.aliveAt_);
  if (aAttempt.justBegun_) {
    Accuse(crash, aAttempt.features_);
  }
  Evict();
}

bool CrashHistory::OnExit(const std::string& aEndpoint, WallTime aNow)
{
  EndpointCrash& crash = RecordOf(aEndpoint, aNow);
  const bool isNews = !crash.confirmed_;
  crash.confirmed_ = true;
  Evict();
  return isNews;
}

void CrashHistory::OnAlive(const std::string& aEndpoint)
{
  const auto found = crashes_.find(aEndpoint);
  if (found != crashes_.end() && !found->second.confirmed_) {
    crashes_.erase(found);
  }
}

bool CrashHistory::OnReport(const CrashReport& aReport, WallTime aNow)
{
  if (aReport.at_ > aNow + options_.maxClockSkew_ ||
      aReport.aliveAt_ > aNow + options_.maxClockSkew_ ||
      aReport.at_ < aNow - 2 * options_.reportTime_) {
    return false; // delayed, or of a host whose clock is wrong
  }
  EndpointCrash& crash = RecordOf(aReport.endpoint_, aReport.at_);
  bool isNews = !crash.confirmed_ && !crash.accused_.empty();
  crash.confirmed_ = true;
  crash.brokenAt_ = std::min(crash.brokenAt_, aReport.at_);
  crash.aliveAt_ = std::max(crash.aliveAt_, aReport.aliveAt_);
  for (const RequestFeatures& request : aReport.accused_) {
    isNews = Accuse(crash, request) || isNews;
  }
  Evict();
  return isNews;
}

bool CrashHistory::HasExited(const std::string& aEndpoint) const
{
  const auto found = crashes_.find(aEndpoint);
  return found != crashes_.end() && found->second.confirmed_;
}

bool CrashHistory::HasAccused(const std::string& aEndpoint) const
{
  const auto found = crashes_.find(aEndpoint);
  return found != crashes_.end() && !found->second.accused_.empty();
}

std::vector<CrashReport> CrashHistory::Reports(WallTime aNow) const
{
  std::vector<CrashReport> reports;
  for (const auto& [endpoint, crash] : crashes_) {
    if (crash.confirmed_ && aNow - crash.At() <= options_.reportTime_) {
      reports.push_back({ .endpoint_ = endpoint,
                          .at_ = crash.brokenAt_,
                          .aliveAt_ = crash.aliveAt_,
                          .accused_ = crash.accused_ });
    }
  }
  return reports;
}

void CrashHistory::Sweep(WallTime aNow)
{
  std::erase_if(crashes_, [&](const auto& aEntry) {
    return aNow - aEntry.second.At() > options_.window_;
  });
}

bool CrashHistory::Accuse(EndpointCrash& aCrash,
                          const RequestFeatures& aRequest) const
{
  std::vector<RequestFeatures>& accused = aCrash.accused_;
  const bool known =
    std::find(accused.begin(), accused.end(), aRequest) != accused.end();
  if (known || accused.size() >= options_.maxAccused_) {
    return false;
  }
  accused.push_back(aRequest);
  return true;
}

void CrashHistory::Evict()
{
  while (crashes_.size() > options_.maxCrashes_) {
    crashes_.erase(std::min_element(
      crashes_.begin(), crashes_.end(), [](const auto& aOne, const auto& aTwo) {
        return aOne.second.At() < aTwo.second.At();
      }));
  }
}

} // namespace gooseberrylift
