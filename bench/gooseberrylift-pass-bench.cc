// Simulated hosts: placement, retries and stall detection.

#include "gooseberrylift-pass-bench.h"

#include <algorithm>
#include <cmath>

#include "gooseberrylift-pass-player.h"
#include "gooseberrylift/limits/gooseberrylift-route-admission.h"
#include "gooseberrylift/routing/gooseberrylift-fleet-order.h"

namespace gooseberrylift::bench {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

// Returns the 90th percentile of a log-normal prompt length.
double LargestTenthOf(const PassClass& aKind)
{
  constexpr double kNinthDecile = 1.2816; // of the standard normal distribution
  const double median =
    aKind.promptMean_ / std::exp(aKind.promptSpread_ * aKind.promptSpread_ / 2);
  return median * std::exp(kNinthDecile * aKind.promptSpread_);
}

} // namespace

PlacementRequest PassSimulation::WantedBy(const PassRequest& aRequest)
{
  const PassClass& kind = site_.classes_[aRequest.class_];
  return { .promptTokens_ = aRequest.prompt_,
           .answerTokens_ = static_cast<std::uint64_t>(
             aRequest.events_ * site_.profile_.stepsPerPass_),
           .objective_ = kind.objective_,
           .maxGap_ = kind.maxGap_,
           .draw_ = random_() };
}

std::optional<PlacementChoice> PassSimulation::Choose(
  PassHost& aHost,
  const PassRequestPtr& aRequest,
  const std::vector<ListedEndpoint>& aAll)
{
  std::vector<PlacementCandidate> candidates;
  // The classes are sorted by their maximum gap.
  const ServiceGaps gaps{ .shortest_ = site_.classes_[0].maxGap_,
                          .next_ = site_.classes_[1].maxGap_ };
  candidates.reserve(aAll.size());
  for (const ListedEndpoint& listed : aAll) {
    if (!limits_.MayUse(aRequest->host_, listed.id_)) {
      continue;
    }
    candidates.push_back(
      { .endpoint_ = &listed,
        .load_ = aHost.load_.Of(listed.id_, At(clock_)),
        .tried_ = aRequest->tried_.contains(listed.id_),
        .limited_ = limits_.IsLimited(listed.id_) &&
                    options_.limits_.mode_ != PassLimitMode::kIgnored });
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const PlacementRequest wanted = WantedBy(*aRequest);
  if (options_.strategy_ == PassStrategy::kPlaced) {
    return placement_.Choose(site_.profile_, gaps, candidates, wanted);
  }
  const PlacementCandidate* best =
    &candidates[aHost.next_++ % candidates.size()];
  if (options_.strategy_ == PassStrategy::kLeastOutstanding) {
    for (const PlacementCandidate& candidate : candidates) {
      if (candidate.load_.running_ < best->load_.running_) {
        best = &candidate;
      }
    }
  }
  return PlacementChoice{ .endpoint_ = best->endpoint_,
                          .cost_ = { .memoryTokens_ = aRequest->prompt_,
                                     .prefill_ = site_.profile_.PrefillTime(
                                       aRequest->prompt_) } };
}

HoldInput PassSimulation::HoldInputOf(const PassRequest& aRequest,
                                      const PlacementChoice* aChoice) const
{
  const PassClass& kind = site_.classes_[aRequest.class_];
  const milliseconds waited((clock_.Now() - aRequest.arrived_) / 1000);
  const milliseconds held((clock_.Now() - aRequest.lastArrival_) / 1000);
  return { .wait_ = aChoice != nullptr ? aChoice->wait_ : microseconds::max(),
           .prefill_ = site_.profile_.PrefillTime(aRequest.prompt_),
           .partialPrefill_ =
             aChoice != nullptr ? aChoice->cost_.prefill_ : microseconds(0),
           .sinceArrival_ = held,
           .remaining_ = kind.deadline_ - waited,
           .callerStallTimeout_ = CallerStallTimeout(RouteOf(aRequest.class_)),
           .objective_ = kind.objective_ };
}

// Decides about a prompt with the engines chosen for it, if any has memory.
HoldDecision PassSimulation::DecideHold(const PassRequestPtr& aRequest,
                                        const PlacementChoice* aChoice)
{
  constexpr double kMaxMemoryWaitShare = 0.25; // as RequestRun does
  HoldInput input = HoldInputOf(*aRequest, aChoice);
  HoldOptions options = options_.hold_;
  if (!options_.ordersWaiting_) {
    options.maxHoldShare_ =
      aChoice != nullptr ? options.maxHoldShare_ : kMaxMemoryWaitShare;
    return DecideLongPromptHold(input, options);
  }
  const bool arrived = !aRequest->waits_;
  JoinOrder(aRequest, aChoice);
  const WaitingTurn turn = hosts_[aRequest->host_].order_.TurnOf(
    aRequest->id_,
    { .engines_ = listed_.size(),
      .free_ = aChoice != nullptr ? aChoice->freeEngines_ : 0,
      .wanted_ = aChoice != nullptr ? aChoice->helpers_.size() + 1 : 0 },
    At(clock_));
  input.isFirst_ = turn.isFirst_;
  return DecideByTurn(DecideLongPromptHold(input, options), turn, arrived);
}

// Sends a request that can't be served in time back to its caller, which
// retries once.
bool PassSimulation::RefuseIfLate(const PassRequestPtr& aRequest,
                                  const PlacementChoice& aChoice)
{
  const PassClass& kind = site_.classes_[aRequest->class_];
  const milliseconds waited((clock_.Now() - aRequest->arrived_) / 1000);
  const milliseconds held((clock_.Now() - aRequest->lastArrival_) / 1000);
  const auto wait = RetryDelayIfRefused(
    { .predicted_ = aChoice.firstAnswer_,
      .remaining_ = kind.deadline_ - waited,
      .callerStallTimeout_ = CallerStallTimeout(RouteOf(aRequest->class_)),
      .held_ = held,
      .draw_ = random_() });
  if (!wait) {
    return false;
  }
  ReturnToCaller(aRequest, *wait);
  return true;
}

milliseconds PassSimulation::LatestRetryDelay(const PassRequest& aRequest) const
{
  const PassClass& kind = site_.classes_[aRequest.class_];
  const milliseconds waited((clock_.Now() - aRequest.arrived_) / 1000);
  return MaxRetryDelay(kind.deadline_ - waited);
}

// The caller retries once.
void PassSimulation::ReturnToCaller(const PassRequestPtr& aRequest,
                                    milliseconds aWait)
{
  ++results_[aRequest->class_].refused_;
  if (aRequest->refused_) {
    End(aRequest, false);
    return;
  }
  aRequest->refused_ = true;
  aRequest->host_ = random_() % hosts_.size();
  clock_.After(aWait.count() * 1000, [this, aRequest] {
    if (!aRequest->done_) {
      aRequest->lastArrival_ = clock_.Now();
      Send(aRequest);
    }
  });
}

void PassSimulation::Send(const PassRequestPtr& aRequest)
{
  PassHost& host = hosts_[aRequest->host_];
  const std::vector<ListedEndpoint> all =
    OrderForHost(listed_, host.name_, { .block_ = options_.block_ });
  const auto choice = Choose(host, aRequest, all);
  const bool holds = options_.holds_ && aRequest->attempts_ == 0 &&
                     (!choice || choice->slowsDecoding_);
  const HoldDecision verdict =
    holds ? DecideHold(aRequest, choice ? &*choice : nullptr)
          : HoldDecision::kSend;
  if (verdict != HoldDecision::kHold) {
    LeaveOrder(*aRequest, verdict == HoldDecision::kSend);
  }
  if (!choice && verdict != HoldDecision::kHold) {
    ReturnToCaller(aRequest, ShortRetryDelay());
    return;
  }
  if (verdict == HoldDecision::kReject) {
    ReturnToCaller(aRequest, LatestRetryDelay(*aRequest));
    return;
  }
  if (verdict == HoldDecision::kHold) {
    clock_.After(options_.hold_.recheckInterval_.count() * 1000,
                 [this, aRequest] {
                   if (!aRequest->done_) {
                     Send(aRequest);
                   }
                 });
    return;
  }
  const bool placed = options_.strategy_ == PassStrategy::kPlaced;
  if (placed && aRequest->attempts_ == 0 && RefuseIfLate(aRequest, *choice)) {
    return;
  }
  const TimePoint now = At(clock_);
  aRequest->engine_ = choice->endpoint_->id_;
  host.load_.OnSent(aRequest->engine_, aRequest->id_, choice->cost_, now);
  aRequest->helpers_.clear();
  for (const ListedEndpoint* helper : choice->helpers_) {
    host.load_.OnSent(helper->id_, aRequest->id_, choice->helperCost_, now);
    aRequest->helpers_.push_back(helper->id_);
  }
  const bool isLong = choice->cost_.prefill_ > milliseconds(100);
  if (isLong ? options_.announcesLong_ : options_.announcesShort_) {
    AnnouncePlacement(aRequest->host_, *choice);
  }
  aRequest->deferred_ = choice->deferred_;
  aRequest->helperTokens_.assign(choice->helpers_.size(),
                                 choice->reservedTokens_);
  ReserveMemory(aRequest, 0);
}

EndpointActivity PassSimulation::ActivityOf(
  const PassRequestPtr& aRequest) const
{
  const PassHost& host = hosts_[aRequest->host_];
  const EndpointLoad load = host.load_.Of(aRequest->engine_, At(clock_));
  const std::int64_t heard = std::max(aRequest->sent_, aRequest->lastEvent_);
  return { .requestSilence_ = milliseconds((clock_.Now() - heard) / 1000),
           .hostSilence_ = host.load_.SilentFor(aRequest->engine_, At(clock_)),
           .peerSilence_ =
             host.load_.ShortestPeerSilence(aRequest->engine_, At(clock_)),
           .begun_ = aRequest->lastEvent_ > aRequest->sent_,
           .overtaken_ =
             host.load_.IsOvertaken(aRequest->engine_, aRequest->id_),
           .backlog_ = duration_cast<milliseconds>(load.backlog_),
           .running_ = load.running_,
           .slots_ = site_.profile_.slots_ };
}

// Retries the request on another engine, or abandons it as its caller does, if
// no event arrived within the timeout.
void PassSimulation::WatchForStall(const PassRequestPtr& aRequest,
                                   std::int64_t aSince,
                                   microseconds aWait)
{
  const auto job = aRequest->job_;
  clock_.After(aWait.count(), [this, aRequest, aSince, job] {
    if (aRequest->done_ || aRequest->lastEvent_ != aSince ||
        aRequest->job_ != job) {
      return;
    }
    PassHost& host = hosts_[aRequest->host_];
    if (options_.knowsQueues_ &&
        !IsRequestStalled(ActivityOf(aRequest),
                          EndpointStallTimeout(RouteOf(aRequest->class_)))) {
      constexpr milliseconds kLookAgain{ 250 };
      WatchForStall(aRequest, aSince, kLookAgain);
      return;
    }
    if (aRequest->attempts_ < kMaxAttempts && host.TryRetry(At(clock_))) {
      ++results_[aRequest->class_].retries_;
      CancelAttempt(aRequest);
      aRequest->tried_.insert(aRequest->engine_);
      Send(aRequest);
    }
  });
  const milliseconds patience = CallerStallTimeout(RouteOf(aRequest->class_));
  // Before the first event the time counts from the request's last arrival.
  const std::int64_t waited =
    aSince < 0 ? clock_.Now() - aRequest->lastArrival_ : 0;
  clock_.After(patience.count() * 1000 - waited, [this, aRequest, aSince] {
    if (aRequest->lastEvent_ == aSince) {
      End(aRequest, false);
    }
  });
}

void PassSimulation::CancelAttempt(const PassRequestPtr& aRequest)
{
  PassHost& host = hosts_[aRequest->host_];
  if (aRequest->job_) {
    aRequest->job_->cancelled_ = true;
  }
  for (const std::string& engine : aRequest->reservations_) {
    clock_.After(kNetworkDelay, [this, engine, id = aRequest->id_] {
      EngineOf(engine).Release(id);
    });
  }
  aRequest->reservations_.clear();
  host.load_.OnEnded(aRequest->engine_, aRequest->id_);
  for (const auto& part : aRequest->parts_) {
    part->cancelled_ = true;
  }
  for (const std::string& helper : aRequest->helpers_) {
    host.load_.OnEnded(helper, aRequest->id_);
  }
}

void PassSimulation::OnEvent(const PassRequestPtr& aRequest,
                             const std::shared_ptr<PassJob>& aJob)
{
  if (aRequest->done_ || aRequest->job_ != aJob) {
    return;
  }
  const PassClass& kind = site_.classes_[aRequest->class_];
  PassHost& host = hosts_[aRequest->host_];
  const std::int64_t now = clock_.Now();
  if (aRequest->lastEvent_ < 0) {
    aRequest->firstEventMs_ =
      static_cast<double>(now - aRequest->arrived_) / 1000;
  } else if (now - aRequest->lastEvent_ > kind.maxGap_.count() * 1000) {
    aRequest->gapExceeded_ = true;
  }
  host.load_.OnStarted(aRequest->engine_, aRequest->id_, At(clock_));
  for (const std::string& helper : aRequest->helpers_) {
    host.load_.OnEnded(helper, aRequest->id_);
  }
  aRequest->lastEvent_ = now;
  ++aRequest->eventsReceived_;
  if (aRequest->eventsReceived_ >= aRequest->events_) {
    End(aRequest, true);
    return;
  }
  WatchForStall(aRequest, now, EndpointStallTimeout(RouteOf(aRequest->class_)));
}

void PassSimulation::End(const PassRequestPtr& aRequest, bool aServed)
{
  if (aRequest->done_) {
    return;
  }
  aRequest->done_ = true;
  LeaveOrder(*aRequest, false);
  if (!aRequest->engine_.empty()) {
    CancelAttempt(aRequest);
  }
  const PassClass& kind = site_.classes_[aRequest->class_];
  PassResult& result = results_[aRequest->class_];
  if (aRequest->firstEventMs_ >= 0) {
    firstEventTimes_[aRequest->class_].push_back(aRequest->firstEventMs_);
  }
  const bool largest =
    static_cast<double>(aRequest->prompt_) >= LargestTenthOf(kind);
  result.largestAsked_ += largest ? 1 : 0;
  if (!aServed) {
    ++result.lost_;
    return;
  }
  result.largestServed_ += largest ? 1 : 0;
  const bool inTime =
    aRequest->firstEventMs_ <= static_cast<double>(kind.objective_.count()) &&
    !aRequest->gapExceeded_;
  (inTime ? result.inTime_ : result.late_) += 1;
  result.lateFirst_ +=
    aRequest->firstEventMs_ > static_cast<double>(kind.objective_.count()) ? 1
                                                                           : 0;
  result.worth_ +=
    WorthOf(*aRequest) * (inTime ? kind.worth_ : kind.lateWorth_);
}

void PassSimulation::Exchange(std::size_t aOne, std::size_t aOther)
{
  if (aOne == aOther) {
    return;
  }
  const auto tell = [this](std::size_t aFrom, std::size_t aTo) {
    if (IsLost()) {
      return;
    }
    clock_.After(kNetworkDelay + hosts_[aFrom].messageDelay_,
                 [this,
                  aFrom,
                  aTo,
                  waiting = WaitingAt(aFrom),
                  shares = hosts_[aFrom].load_.OwnShares(At(clock_))] {
                   hosts_[aTo].load_.OnPeerSnapshot(
                     hosts_[aFrom].name_, shares, At(clock_));
                   hosts_[aTo].order_.OnReport(
                     hosts_[aFrom].name_, waiting, At(clock_));
                 });
  };
  tell(aOne, aOther);
  tell(aOther, aOne);
}

// Announces a host's load on the engines of a new placement to other hosts.
void PassSimulation::AnnouncePlacement(std::size_t aHost,
                                       const PlacementChoice& aChoice)
{
  const FleetLoad& load = hosts_[aHost].load_;
  std::vector<EndpointShare> shares = { load.OwnShare(aChoice.endpoint_->id_,
                                                      At(clock_)) };
  for (const ListedEndpoint* helper : aChoice.helpers_) {
    shares.push_back(load.OwnShare(helper->id_, At(clock_)));
  }
  if (options_.remoteLoad_ == PassRemoteLoad::kAggregates &&
      aChoice.slowsDecoding_) {
    clock_.After(kNetworkDelay, [this, zone = hosts_[aHost].zone_] {
      SendAggregateChanges(zone);
    });
  }
  if (IsLost()) {
    return;
  }
  clock_.After(kNetworkDelay + hosts_[aHost].messageDelay_,
               [this, aHost, shares] {
                 for (std::size_t other = 0; other < hosts_.size(); ++other) {
                   if (ReceivesLoadOf(other, aHost)) {
                     hosts_[other].load_.OnPeerDelta(
                       hosts_[aHost].name_, shares, At(clock_));
                   }
                 }
               });
}

void PassSimulation::RunRound(std::size_t aHost)
{
  for (std::size_t partner = 0; partner < options_.partners_; ++partner) {
    Exchange(aHost, random_() % hosts_.size());
  }
  clock_.After(options_.round_.count() * 1000,
               [this, aHost] { RunRound(aHost); });
}

std::vector<PassResult> PassSimulation::Run()
{
  for (std::size_t zone = 0; zone < lastAggregates_.size(); ++zone) {
    if (options_.remoteLoad_ == PassRemoteLoad::kAggregates) {
      SendAggregates(zone);
    }
  }
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    if (options_.snapshotInterval_.count() > 0) {
      const auto first =
        random_() %
        static_cast<std::uint64_t>(options_.snapshotInterval_.count() * 1000);
      clock_.After(static_cast<std::int64_t>(first),
                   [this, host] { SendSnapshots(host); });
      continue;
    }
    const auto start =
      random_() % static_cast<std::uint64_t>(options_.round_.count() * 1000);
    clock_.After(static_cast<std::int64_t>(start),
                 [this, host] { RunRound(host); });
  }
  for (std::size_t kind = 0; kind < site_.classes_.size(); ++kind) {
    results_[kind].name_ = site_.classes_[kind].name_;
    ScheduleArrivals(kind);
  }
  constexpr double kDrainSeconds = 16; // longer than the longest deadline
  clock_.RunUntil(
    static_cast<std::int64_t>((site_.seconds_ + kDrainSeconds) * 1e6));
  for (std::size_t kind = 0; kind < results_.size(); ++kind) {
    std::vector<double>& firsts = firstEventTimes_[kind];
    std::sort(firsts.begin(), firsts.end());
    if (!firsts.empty()) {
      results_[kind].firstP50Ms_ = firsts[firsts.size() / 2];
      results_[kind].firstP99Ms_ = firsts[firsts.size() * 99 / 100];
    }
  }
  return results_;
}

std::vector<PassResult> SimulateSite(const PassSite& aSite,
                                     const PassOptions& aOptions,
                                     PassLimitCount* aLimited)
{
  PassSimulation simulation(aSite, aOptions);
  std::vector<PassResult> results = simulation.Run();
  if (aLimited != nullptr) {
    *aLimited = simulation.Limited();
  }
  return results;
}

} // namespace gooseberrylift::bench
