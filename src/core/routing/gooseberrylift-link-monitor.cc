#include "gooseberrylift/routing/gooseberrylift-link-monitor.h"

#include <algorithm>

namespace gooseberrylift {

namespace {

// One request may crash two endpoints before it is quarantined.
constexpr std::size_t kMaxCrashedTogether = 2;

// Returns whether at least half of the sample answered, or too few are missing
// to tell a lost link from endpoints that crashed together.
bool AreLinksUp(const ProbeResult& aResult)
{
  const std::size_t missing = aResult.sent_ - aResult.answered_;
  return aResult.answered_ * 2 >= aResult.sent_ ||
         (aResult.answered_ > 0 && missing <= kMaxCrashedTogether);
}

} // namespace

bool LinkMonitor::OnFailed(const std::string& aService,
                           const std::string& aEndpoint,
                           LinkFailure aFailure,
                           std::size_t aEndpoints,
                           TimePoint aNow)
{
  Links& links = links_[aService];
  std::set<std::string>& failed = links.failed_[aFailure];
  failed.insert(aEndpoint);
  const std::size_t threshold =
    std::min(options_.suspicionThreshold_, aEndpoints);
  const bool refutedRecently =
    links.refutedAt_ != TimePoint{} &&
    aNow - links.refutedAt_ < options_.suspicionInterval_;
  if (links.state_ != LinkState::kUp || failed.size() < threshold ||
      refutedRecently) {
    return false;
  }
  links.state_ = LinkState::kSuspected;
  return true;
}

void LinkMonitor::OnSucceeded(const std::string& aService,
                              LinkFailure aExpected)
{
  links_[aService].failed_[aExpected].clear();
}

bool LinkMonitor::Suspect(const std::string& aService)
{
  Links& links = links_[aService];
  if (links.state_ != LinkState::kUp) {
    return false;
  }
  links.state_ = LinkState::kSuspected;
  return true;
}

LinkState LinkMonitor::OnProbed(const std::string& aService,
                                const ProbeResult& aResult,
                                TimePoint aNow)
{
  Links& links = links_[aService];
  links.cutOff_ = aResult.complete_ && aResult.answered_ == 0;
  const bool answered = AreLinksUp(aResult);
  if (links.state_ == LinkState::kSuspected) {
    if (answered) {
      OnRefuted(links, aNow);
    } else {
      OnLost(links, aNow);
    }
  } else if (links.state_ == LinkState::kLost) {
    links.roundsAnswered_ = answered ? links.roundsAnswered_ + 1 : 0;
    if (links.roundsAnswered_ >= links.roundsToRestore_) {
      links.restoredAt_ = aNow;
      OnRefuted(links, aNow);
    }
  }
  return links.state_;
}

void LinkMonitor::OnRefuted(Links& aLinks, TimePoint aNow) const
{
  aLinks.state_ = LinkState::kUp;
  aLinks.failed_.clear();
  aLinks.refutedAt_ = aNow;
}

void LinkMonitor::OnLost(Links& aLinks, TimePoint aNow) const
{
  const bool relapsed = aLinks.restoredAt_ != TimePoint{} &&
                        aNow - aLinks.restoredAt_ < options_.relapseTime_;
  aLinks.roundsToRestore_ = relapsed ? std::min(aLinks.roundsToRestore_ * 2,
                                                options_.maxRoundsToRestore_)
                                     : options_.roundsToRestore_;
  aLinks.roundsAnswered_ = 0;
  aLinks.state_ = LinkState::kLost;
}

LinkState LinkMonitor::StateOf(const std::string& aService) const
{
  const auto found = links_.find(aService);
  return found == links_.end() ? LinkState::kUp : found->second.state_;
}

bool LinkMonitor::IsCutOff(const std::string& aService) const
{
  const auto found = links_.find(aService);
  return found != links_.end() && found->second.state_ == LinkState::kLost &&
         found->second.cutOff_;
}

std::vector<std::string> LinkMonitor::Lost() const
{
  std::vector<std::string> lost;
  for (const auto& [service, links] : links_) {
    if (links.state_ == LinkState::kLost) {
      lost.push_back(service);
    }
  }
  return lost;
}

std::vector<std::string> LinkMonitor::Services() const
{
  std::vector<std::string> services;
  services.reserve(links_.size());
  for (const auto& [service, links] : links_) {
    services.push_back(service);
  }
  return services;
}

} // namespace gooseberrylift
