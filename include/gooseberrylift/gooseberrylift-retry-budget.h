// Limits retries to prevent a retry storm, in which failures cause more
// requests and these cause more failures. Without it, three attempts per
// request triple the load on the remaining endpoints when some have failed.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_RETRY_BUDGET_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_RETRY_BUDGET_H_

#include <map>
#include <string>

namespace gooseberrylift {

// Token bucket per service: each first attempt adds a fraction of a token, each
// retry takes a whole one. Not thread-safe.
class RetryBudget
{
public:
  struct Options
  {
    // Keeps the load on endpoints below 1.1 times the first attempts. A full
    // bucket covers a short outage of a few endpoints and no more.
    double tokensPerFirstAttempt_ = 0.08;
    double capacity_ = 10;
  };

  explicit RetryBudget(Options aOptions)
    : options_(aOptions)
  {
  }

  /// Records a first attempt, which adds to the budget.
  void OnFirstAttempt(const std::string& aService);

  /// Charges a retry to the budget; returns false if the budget is exhausted.
  bool TryTakeRetry(const std::string& aService);

private:
  double& TokensOf(const std::string& aService);

  Options options_;
  std::map<std::string, double> tokens_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_RETRY_BUDGET_H_
