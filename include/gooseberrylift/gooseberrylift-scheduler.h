// Decides, for one pool, which endpoint a request goes to, who waits and who
// is refused. The load pattern it answers: more requests than the endpoints
// take at once. Without it every host would send on arrival, and endpoints
// would queue without bound and without order. The thin form here takes the
// endpoint with the fewest requests outstanding, up to a fixed number each,
// and holds the rest first come first served until their deadline.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_SCHEDULER_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_SCHEDULER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "gooseberrylift/gooseberrylift-config.h"
#include "gooseberrylift/gooseberrylift-endpoint.h"
#include "gooseberrylift/gooseberrylift-result.h"

namespace gooseberrylift {

// What the scheduler needs to know of a request.
struct RequestInfo
{
  std::uint64_t id_ = 0; // unique within this process
  std::string team_;
  std::string service_;
  ServiceClass class_ = ServiceClass::kNormal;
  std::uint64_t promptTokens_ = 0;
  std::uint64_t maxTokens_ = 0;
  std::uint64_t prefixHash_ = 0;        // of the prompt's head; 0 is none
  TimePoint deadline_;                  // for the whole answer
  std::vector<std::string> excluded_{}; // endpoints already tried
};

// What came of a request at an endpoint.
struct RequestOutcome
{
  bool succeeded_ = false;
  bool endpointAtFault_ = false; // unreachable, broken or crossed
  std::chrono::milliseconds timeToFirstToken_{ 0 };
};

// A decision: start the request at an endpoint, or refuse it.
struct SchedulerAction
{
  std::uint64_t id_ = 0;
  std::string endpoint_; // name; empty when refused
  Error refusal_;        // set when endpoint_ is empty
};

// One instance serves one pool and is driven by events that carry the time,
// so that a test replays a load without clock or network:
//
//   Scheduler scheduler({ .maxConcurrency_ = 8 });
//   scheduler.SetEndpoints(views, now);
//   scheduler.OnRequest(info, now);
//   for (const SchedulerAction& action : scheduler.TakeActions()) ...
//   scheduler.OnFinished(info.id_, outcome, now);
//
// It is not thread-safe: the runtime holds the shard's lock around each call.
class Scheduler
{
public:
  struct Options
  {
    int maxConcurrency_ = 32; // requests outstanding per endpoint
    std::string placement_ = "least-outstanding"; // name of the strategy
  };

  explicit Scheduler(Options aOptions);

  /// Takes in the endpoints of the pool as this host sees them now.
  /// @param aViews every endpoint that is not gone, leaving ones included
  /// @param aNow the current time
  void SetEndpoints(std::vector<EndpointView> aViews, TimePoint aNow);

  /// Asks for an endpoint. The answer comes with a later TakeActions.
  void OnRequest(const RequestInfo& aInfo, TimePoint aNow);

  /// Withdraws a waiting request, because its caller left.
  void OnCancelled(std::uint64_t aId, TimePoint aNow);

  /// Tells that the first token of a started request reached the caller.
  void OnFirstToken(std::uint64_t aId, TimePoint aNow);

  /// Tells what came of a started request and frees its place.
  void OnFinished(std::uint64_t aId,
                  const RequestOutcome& aOutcome,
                  TimePoint aNow);

  /// Refuses waiting requests whose deadline has come; called periodically.
  void OnTick(TimePoint aNow);

  /// Gives the decisions taken since the last call, in order.
  std::vector<SchedulerAction> TakeActions();

  std::size_t Waiting() const { return waiting_.size(); }
  std::size_t Running() const { return running_.size(); }

private:
  struct Endpoint
  {
    EndpointView view_;
    int outstanding_ = 0;
  };

  Endpoint* Choose(const RequestInfo& aInfo);
  Endpoint* ChooseNext(const RequestInfo& aInfo);
  bool HasCandidate(const RequestInfo& aInfo) const;
  void StartWaiting();
  void Refuse(std::uint64_t aId, ResultCode aCode, std::string aText);

  Options options_;
  std::map<std::string, Endpoint> endpoints_;
  std::map<std::uint64_t, std::string> running_; // request to endpoint
  std::deque<RequestInfo> waiting_;
  std::vector<SchedulerAction> actions_;
  std::string lastChosen_; // round robin goes on after this name
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_SCHEDULER_H_
