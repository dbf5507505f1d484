// Callers' requests about jobs: add, look at, remove.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_JOB_API_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_JOB_API_H_

#include <chrono>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/internal/gooseberrylift-http-server.h"
#include "gooseberrylift/internal/gooseberrylift-job-runner.h"

namespace gooseberrylift {

constexpr std::string_view kJobsPath = "/v1/jobs";
constexpr std::string_view kJobsPrefix = "/v1/jobs/";

// POST /v1/jobs       {"url": "/v1/chat/completions", "body": {...}}; 202 once
//                     the job is stored. With an Idempotency-Key the same
//                     request sent again gives the same job.
// GET /v1/jobs/{id}   state and, when it ended, result or reason
// DELETE /v1/jobs/{id}
// Holds no state between requests; safe from any thread.
class JobApi
{
public:
  struct Options
  {
    std::chrono::milliseconds callTimeout_{ 2000 }; // for a look or a removal
    std::chrono::milliseconds storeTimeout_{ 10'000 }; // for storing a job
    std::chrono::hours keepFor_{ 24 };
  };

  JobApi(ObjectStore& aStore, JobRunner& aRunner, Options aOptions);

  /// Answers a request on one of the paths.
  /// @param aTeam the name of the caller's team
  boost::asio::awaitable<Outcome<void>> Handle(HttpExchange& aExchange,
                                               Configuration::Ptr aConfig,
                                               std::string aTeam);

private:
  boost::asio::awaitable<Outcome<HttpResponse>> Add(HttpRequest aRequest,
                                                    Configuration::Ptr aConfig,
                                                    std::string aTeam);
  boost::asio::awaitable<Outcome<StoredJob>> Store(StoredJob aJob,
                                                   std::string aText);
  boost::asio::awaitable<Outcome<StoredJob>> Find(std::string aId,
                                                  std::string aTeam);
  boost::asio::awaitable<Outcome<HttpResponse>> Show(std::string aId,
                                                     std::string aTeam);
  boost::asio::awaitable<Outcome<HttpResponse>> Remove(std::string aId,
                                                       std::string aTeam);

  JobStore store_;
  JobRunner& runner_;
  Options options_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_JOB_API_H_
