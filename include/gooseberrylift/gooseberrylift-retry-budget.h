// Bounds second tries. The load pattern it answers: a retry storm, in which
// each failure makes more requests, which make more failures. Without it three
// attempts a request triple the load on the endpoints that are left just when
// some are gone.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_RETRY_BUDGET_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_RETRY_BUDGET_H_

#include <map>
#include <string>

namespace gooseberrylift {

// Each first try of a service puts a share of a token into its budget; each
// second try takes a whole one. Not thread-safe.
class RetryBudget
{
public:
  struct Options
  {
    // Load on endpoints stays under 1.1 times the first tries; what is saved
    // carries a short outage of a few endpoints and no more.
    double share_ = 0.08;
    double most_ = 10;
  };

  explicit RetryBudget(Options aOptions)
    : options_(aOptions)
  {
  }

  void OnFirstTry(const std::string& aService);

  /// Takes a second try out of the budget; false when it is spent.
  bool TakeRetry(const std::string& aService);

private:
  double& Of(const std::string& aService);

  Options options_;
  std::map<std::string, double> tokens_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_RETRY_BUDGET_H_
