// Simulation of one site: its callers, hosts and engines.

#ifndef GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_PASS_PLAYER_H_
#define GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_PASS_PLAYER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gooseberrylift-pass-bench.h"
#include "gooseberrylift-pass-engine.h"
#include "gooseberrylift/limits/gooseberrylift-fleet-retry-budget.h"
#include "gooseberrylift/limits/gooseberrylift-stall-timeout.h"
#include "gooseberrylift/limits/gooseberrylift-waiting-order.h"
#include "gooseberrylift/routing/gooseberrylift-fleet-load.h"

namespace gooseberrylift::bench {

constexpr int kMaxAttempts = 2; // per request
// One-way delay from a host to an engine or a host, in us.
constexpr std::int64_t kNetworkDelay = 1'500;

// Converts the virtual time to a time point.
inline TimePoint At(const VirtualClock& aClock)
{
  return TimePoint(std::chrono::microseconds(aClock.Now()));
}

// A request with its state on the host.
struct PassRequest
{
  std::uint64_t id_ = 0;
  std::size_t class_ = 0;
  std::size_t host_ = 0;
  std::uint32_t team_ = 0;
  std::uint64_t prompt_ = 0;
  int events_ = 1;
  std::int64_t arrived_ = 0;
  std::int64_t lastArrival_ = 0; // includes retries by the caller
  std::int64_t sent_ = 0;        // time of the last attempt
  std::int64_t lastEvent_ = -1;  // time of the last event; -1 before the first
  double firstEventMs_ = -1;
  int eventsReceived_ = 0;
  bool gapExceeded_ = false; // a gap between events exceeded the maximum
  bool done_ = false;
  bool refused_ = false;  // refused once; the caller retries once
  bool deferred_ = false; // in its last placement
  bool waits_ = false;    // is in the order of waiting prompts
  int attempts_ = 0;
  std::set<std::string> tried_;
  std::shared_ptr<PassJob> job_;
  std::vector<std::shared_ptr<PassJob>> parts_;
  std::string engine_;
  std::vector<std::string> helpers_;
  std::vector<std::uint64_t> helperTokens_; // tokens to reserve, by helper
  std::vector<std::string> reservations_;   // engines with reserved memory
  std::int64_t reservationTime_ = 0; // us spent on failed memory reservations
};
using PassRequestPtr = std::shared_ptr<PassRequest>;

struct PassHost
{
  std::string name_;
  std::size_t zone_ = 0;
  // Hosts of other zones that receive its load messages.
  std::set<std::size_t> remoteListeners_;
  FleetLoad load_{ FleetLoad::Options{} };
  // Has run for a while when the simulation begins.
  FleetRetryBudget retries_{ FleetRetryBudget::Options{},
                             TimePoint(-std::chrono::hours(1)) };
  WaitingOrder order_{ WaitingOrder::Options{} };
  bool listScheduled_ = false;    // a message with its waiting prompts
  std::int64_t messageDelay_ = 0; // us
  std::size_t next_ = 0;          // next engine for round robin

  /// Charges the retry budget for a retry that is sent at once.
  bool TryRetry(TimePoint aNow)
  {
    const bool allowed = retries_.TryReserve("engines", aNow);
    if (allowed) {
      retries_.OnSent("engines", aNow);
    }
    return allowed;
  }
};

class PassSimulation
{
public:
  PassSimulation(const PassSite& aSite, const PassOptions& aOptions)
    : site_(aSite)
    , options_(aOptions)
    , arrivals_(aOptions.seed_)
    , random_(aOptions.seed_)
    , placement_(aOptions.placement_)
    , limits_(clock_, aOptions.limits_, aSite.hosts_)
  {
    for (int index = 0; index < site_.engines_; ++index) {
      listed_.push_back({ .id_ = "engine-" + std::to_string(index),
                          .slots_ = site_.profile_.slots_ });
      engines_.push_back(std::make_unique<PassEngine>(
        clock_, site_.profile_, options_.bounded_));
    }
    for (int index = 0; index < site_.hosts_; ++index) {
      hosts_.push_back(
        { .name_ = "host-" + std::to_string(index),
          .zone_ = static_cast<std::size_t>(index % site_.zones_) });
      hosts_.back().retries_.SetHosts(static_cast<std::size_t>(site_.hosts_),
                                      At(clock_));
    }
    ChooseRemoteListeners();
    DrawMessageDelays();
    lastAggregates_.resize(static_cast<std::size_t>(site_.zones_));
    results_.resize(site_.classes_.size());
    firstEventTimes_.resize(site_.classes_.size());
  }

  std::vector<PassResult> Run();

  const PassLimitCount& Limited() const { return limits_.Count(); }

private:
  void ScheduleArrivals(std::size_t aClass);
  double FactorAt(std::size_t aClass, double aSeconds) const;
  void Arrive(std::size_t aClass);
  PlacementRequest WantedBy(const PassRequest& aRequest);
  HoldInput HoldInputOf(const PassRequest& aRequest,
                        const PlacementChoice* aChoice) const;
  HoldDecision DecideHold(const PassRequestPtr& aRequest,
                          const PlacementChoice* aChoice);
  void JoinOrder(const PassRequestPtr& aRequest,
                 const PlacementChoice* aChoice);
  void LeaveOrder(PassRequest& aRequest, bool aSent);
  std::vector<WaitingPrompt> WaitingAt(std::size_t aHost);
  void ScheduleWaiting(std::size_t aHost);
  std::chrono::milliseconds LatestRetryDelay(const PassRequest& aRequest) const;
  void ReturnToCaller(const PassRequestPtr& aRequest,
                      std::chrono::milliseconds aWait);
  bool RefuseIfLate(const PassRequestPtr& aRequest,
                    const PlacementChoice& aChoice);
  void Send(const PassRequestPtr& aRequest);
  void ReserveMemory(const PassRequestPtr& aRequest, std::size_t aNext);
  void Launch(const PassRequestPtr& aRequest);
  void OnRefused(const PassRequestPtr& aRequest,
                 const std::shared_ptr<PassJob>& aJob);
  std::chrono::milliseconds ShortRetryDelay();
  std::optional<PlacementChoice> Choose(
    PassHost& aHost,
    const PassRequestPtr& aRequest,
    const std::vector<ListedEndpoint>& aAll);
  void OnEvent(const PassRequestPtr& aRequest,
               const std::shared_ptr<PassJob>& aJob);
  void WatchForStall(const PassRequestPtr& aRequest,
                     std::int64_t aSince,
                     std::chrono::microseconds aWait);
  EndpointActivity ActivityOf(const PassRequestPtr& aRequest) const;
  void CancelAttempt(const PassRequestPtr& aRequest);
  void End(const PassRequestPtr& aRequest, bool aServed);
  void Exchange(std::size_t aOne, std::size_t aOther);
  void RunRound(std::size_t aHost);
  void AnnouncePlacement(std::size_t aHost, const PlacementChoice& aChoice);
  void ChooseRemoteListeners();
  void DrawMessageDelays();
  bool IsLost();
  bool ReceivesLoadOf(std::size_t aHost, std::size_t aOfHost) const;
  void SendSnapshots(std::size_t aHost);
  void SendAggregates(std::size_t aZone);
  void SendAggregateChanges(std::size_t aZone);
  PassEngine& EngineOf(const std::string& aId);
  Route RouteOf(std::size_t aClass) const;
  double WorthOf(const PassRequest& aRequest) const;

  const PassSite& site_;
  PassOptions options_;
  VirtualClock clock_;
  std::mt19937_64 arrivals_; // separate, so that options don't change arrivals
  std::mt19937_64 random_;
  EnginePlacement placement_;
  PassLimits limits_;
  std::vector<ListedEndpoint> listed_;
  std::vector<std::unique_ptr<PassEngine>> engines_;
  std::vector<PassHost> hosts_;
  // By zone, the last announced aggregate of each engine.
  std::vector<std::map<std::string, EndpointShare>> lastAggregates_;
  std::vector<PassResult> results_;
  std::vector<std::vector<double>> firstEventTimes_;
  std::uint64_t nextId_ = 1;
};

} // namespace gooseberrylift::bench

#endif // GOOSEBERRYLIFT_BENCH_GOOSEBERRYLIFT_PASS_PLAYER_H_
