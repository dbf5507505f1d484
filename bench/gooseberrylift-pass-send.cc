// Dispatch of a request by a simulated host: memory reservation, parts for
// helpers, and rejection by engines.

#include "gooseberrylift-pass-player.h"

#include <algorithm>
#include <numeric>

namespace gooseberrylift::bench {

using std::chrono::milliseconds;

namespace {

// A host abandons a request that spent this long on failed memory reservations.
constexpr std::int64_t kMaxReservationTime = 1'000'000; // us

} // namespace

// Reserves memory on one helper after another, with one round trip each, and
// sends the request once all reservations succeeded.
void PassSimulation::ReserveMemory(const PassRequestPtr& aRequest,
                                   std::size_t aNext)
{
  while (aNext < aRequest->helperTokens_.size() &&
         (!options_.bounded_ || aRequest->helperTokens_[aNext] == 0)) {
    ++aNext;
  }
  if (aNext == aRequest->helperTokens_.size()) {
    Launch(aRequest);
    return;
  }
  clock_.After(2 * kNetworkDelay, [this, aRequest, aNext] {
    if (aRequest->done_) {
      return;
    }
    const std::string helper = aRequest->helpers_[aNext];
    aRequest->reservationTime_ += 2 * kNetworkDelay;
    if (EngineOf(helper).Reserve(aRequest->id_,
                                 aRequest->helperTokens_[aNext])) {
      aRequest->reservations_.push_back(helper);
      ReserveMemory(aRequest, aNext + 1);
      return;
    }
    ++results_[aRequest->class_].failedReservations_;
    CancelAttempt(aRequest);
    aRequest->tried_.insert(aRequest->engine_);
    if (aRequest->reservationTime_ > kMaxReservationTime) {
      ReturnToCaller(aRequest, ShortRetryDelay());
    } else {
      Send(aRequest);
    }
  });
}

// Handles the rejection of a request, or of a part of it, by an engine.
void PassSimulation::OnRefused(const PassRequestPtr& aRequest,
                               const std::shared_ptr<PassJob>& aJob)
{
  if (aRequest->done_ || aRequest->job_ != aJob) {
    return;
  }
  ++results_[aRequest->class_].engineRejections_;
  CancelAttempt(aRequest);
  aRequest->job_ = nullptr;
  aRequest->tried_.insert(aRequest->engine_);
  if (aRequest->attempts_ < kMaxAttempts &&
      hosts_[aRequest->host_].TryRetry(At(clock_))) {
    Send(aRequest);
  } else {
    ReturnToCaller(aRequest, ShortRetryDelay());
  }
}

milliseconds PassSimulation::ShortRetryDelay()
{
  constexpr std::uint64_t kSpreadMs = 600;
  return milliseconds(200 + random_() % kSpreadMs);
}

void PassSimulation::Launch(const PassRequestPtr& aRequest)
{
  aRequest->sent_ = clock_.Now();
  ++aRequest->attempts_;
  limits_.OnSent(aRequest->host_, aRequest->engine_);
  auto job = std::make_shared<PassJob>();
  const auto readers = aRequest->helpers_.size() + 1;
  const double partMs =
    static_cast<double>(
      site_.profile_.PrefillTime(aRequest->prompt_, static_cast<int>(readers))
        .count()) /
    1000;
  job->promptTokens_ = std::max<std::uint64_t>(aRequest->prompt_ / readers, 1);
  const std::uint64_t held = std::accumulate(aRequest->helperTokens_.begin(),
                                             aRequest->helperTokens_.end(),
                                             std::uint64_t{ 0 });
  job->memoryTokens_ = aRequest->prompt_ - std::min(aRequest->prompt_, held);
  job->prefillMs_ = partMs;
  job->spread_ = readers > 1;
  job->priority_ = options_.defers_ && aRequest->deferred_ ? 1 : 0;
  job->events_ = aRequest->events_ - aRequest->eventsReceived_;
  job->partsPending_ = static_cast<int>(readers) - 1;
  job->onEvent_ = [this, aRequest, job = std::weak_ptr(job)] {
    if (const auto held = job.lock()) {
      clock_.After(kNetworkDelay,
                   [this, aRequest, held] { OnEvent(aRequest, held); });
    }
  };
  const auto refuse = [this, aRequest, job = std::weak_ptr(job)] {
    if (const auto held = job.lock()) {
      clock_.After(kNetworkDelay,
                   [this, aRequest, held] { OnRefused(aRequest, held); });
    }
  };
  job->onRefused_ = refuse;
  aRequest->job_ = job;
  aRequest->parts_.clear();
  clock_.After(kNetworkDelay, [this, job, engine = aRequest->engine_] {
    EngineOf(engine).Add(job);
  });
  for (const std::string& helper : aRequest->helpers_) {
    limits_.OnSent(aRequest->host_, helper);
    auto part = std::make_shared<PassJob>();
    part->promptTokens_ = job->promptTokens_;
    part->prefillMs_ = partMs;
    part->isPart_ = true;
    part->spread_ = true;
    part->onPrefilled_ = [this, job, engine = aRequest->engine_] {
      --job->partsPending_;
      EngineOf(engine).Wake();
    };
    part->onRefused_ = refuse;
    aRequest->parts_.push_back(part);
    clock_.After(2 * kNetworkDelay,
                 [this, part, helper] { EngineOf(helper).Add(part); });
  }
  WatchForStall(aRequest,
                aRequest->lastEvent_,
                EndpointStallTimeout(RouteOf(aRequest->class_)));
}

} // namespace gooseberrylift::bench
