#include "gooseberrylift/gooseberrylift-retry-budget.h"

#include <algorithm>

namespace gooseberrylift {

void RetryBudget::OnFirstAttempt(const std::string& aService)
{
  double& tokens = TokensOf(aService);
  tokens =
    std::min(options_.capacity_, tokens + options_.tokensPerFirstAttempt_);
}

bool RetryBudget::TryTakeRetry(const std::string& aService)
{
  double& tokens = TokensOf(aService);
  if (tokens < 1) {
    return false;
  }
  tokens -= 1;
  return true;
}

double& RetryBudget::TokensOf(const std::string& aService)
{
  return tokens_.try_emplace(aService, options_.capacity_).first->second;
}

} // namespace gooseberrylift
