#include "gooseberrylift/gooseberrylift-retry-budget.h"

#include <algorithm>

namespace gooseberrylift {

void RetryBudget::OnFirstTry(const std::string& aService)
{
  double& tokens = Of(aService);
  tokens = std::min(options_.most_, tokens + options_.share_);
}

bool RetryBudget::TakeRetry(const std::string& aService)
{
  double& tokens = Of(aService);
  if (tokens < 1) {
    return false;
  }
  tokens -= 1;
  return true;
}

double& RetryBudget::Of(const std::string& aService)
{
  return tokens_.try_emplace(aService, options_.most_).first->second;
}

} // namespace gooseberrylift
