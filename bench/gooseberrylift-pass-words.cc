// Load messages between simulated hosts of different availability zones.

#include "gooseberrylift-pass-player.h"

#include <algorithm>

#include "gooseberrylift/membership/gooseberrylift-load-message.h"

namespace gooseberrylift::bench {

using std::chrono::milliseconds;

namespace {

// Delay from a host to one in another zone through a relaying host.
constexpr std::int64_t kRelayDelay = 4'000; // us

// An aggregate is sent again if it differs in more than elapsed time.
bool Differs(const EndpointShare& aOne, const EndpointShare& aOther)
{
  constexpr std::chrono::milliseconds kRead{ 50 };
  return aOne.running_ != aOther.running_ ||
         aOne.tightGap_ != aOther.tightGap_ ||
         aOne.memoryTokens_ != aOther.memoryTokens_ ||
         aOne.deferred_ != aOther.deferred_ ||
         std::chrono::abs(aOne.unstarted_ - aOther.unstarted_) > kRead ||
         std::chrono::abs(aOne.backlog_ - aOther.backlog_) > kRead;
}

} // namespace

void PassSimulation::ChooseRemoteListeners()
{
  std::vector<std::size_t> all(hosts_.size());
  for (std::size_t host = 0; host < all.size(); ++host) {
    all[host] = host;
  }
  for (PassHost& host : hosts_) {
    std::shuffle(all.begin(), all.end(), random_);
    for (const std::size_t other : all) {
      if (hosts_[other].zone_ != host.zone_ &&
          host.remoteListeners_.size() < options_.remoteSampleSize_) {
        host.remoteListeners_.insert(other);
      }
    }
  }
}

// A host that is short of CPU time delays all of its messages.
void PassSimulation::DrawMessageDelays()
{
  if (options_.messageDelay_.count() == 0) {
    return;
  }
  std::exponential_distribution<double> delay(
    1.0 / static_cast<double>(options_.messageDelay_.count()));
  for (PassHost& host : hosts_) {
    host.messageDelay_ = static_cast<std::int64_t>(delay(random_) * 1000);
  }
}

bool PassSimulation::IsLost()
{
  return options_.messageLoss_ > 0 && std::uniform_real_distribution<>(0, 1)(
                                        random_) < options_.messageLoss_;
}

bool PassSimulation::ReceivesLoadOf(std::size_t aHost,
                                    std::size_t aOfHost) const
{
  if (aHost == aOfHost) {
    return false;
  }
  const PassHost& of = hosts_[aOfHost];
  return hosts_[aHost].zone_ == of.zone_ ||
         options_.remoteLoad_ == PassRemoteLoad::kAll ||
         (options_.remoteLoad_ == PassRemoteLoad::kSample &&
          of.remoteListeners_.contains(aHost));
}

void PassSimulation::SendSnapshots(std::size_t aHost)
{
  const auto shares = hosts_[aHost].load_.OwnShares(At(clock_));
  clock_.After(hosts_[aHost].messageDelay_, [this, aHost, shares] {
    for (std::size_t other = 0; other < hosts_.size(); ++other) {
      if (ReceivesLoadOf(other, aHost) && !IsLost()) {
        hosts_[other].load_.OnPeerSnapshot(
          hosts_[aHost].name_, shares, At(clock_));
      }
    }
  });
  clock_.After(options_.snapshotInterval_.count() * 1000,
               [this, aHost] { SendSnapshots(aHost); });
}

void PassSimulation::SendAggregates(std::size_t aZone)
{
  SendAggregateChanges(aZone);
  clock_.After(options_.aggregateInterval_.count() * 1000,
               [this, aZone] { SendAggregates(aZone); });
}

// One host per zone, here the first, aggregates the zone's load for others.
void PassSimulation::SendAggregateChanges(std::size_t aZone)
{
  const std::string zone = "zone-" + std::to_string(aZone);
  const auto isOfZone = [](const std::string& aHost) {
    return !aHost.starts_with("zone-");
  };
  std::map<std::string, EndpointShare>& told = lastAggregates_[aZone];
  std::vector<EndpointShare> changes;
  std::map<std::string, EndpointShare> sums;
  for (EndpointShare& sum : hosts_[aZone].load_.Sum(isOfZone, At(clock_))) {
    if (Differs(sum, told[sum.id_])) {
      changes.push_back(sum);
    }
    sums[sum.id_] = std::move(sum);
  }
  for (const auto& [id, sum] : told) {
    if (!sums.contains(id) && Differs(sum, {})) {
      changes.push_back({ .id_ = id });
    }
  }
  told = std::move(sums);
  clock_.After(kRelayDelay + hosts_[aZone].messageDelay_,
               [this, aZone, zone, changes] {
                 for (PassHost& host : hosts_) {
                   if (host.zone_ != aZone && !IsLost()) {
                     host.load_.OnPeerDelta(zone, changes, At(clock_));
                   }
                 }
               });
}

void PassSimulation::JoinOrder(const PassRequestPtr& aRequest,
                               const PlacementChoice* aChoice)
{
  if (aRequest->waits_) {
    return;
  }
  aRequest->waits_ = true;
  HoldInput input = HoldInputOf(*aRequest, aChoice);
  const PlacementRequest wanted = WantedBy(*aRequest);
  const std::size_t engines = placement_.EnginesNeeded(site_.profile_, wanted);
  input.partialPrefill_ = input.prefill_ / static_cast<std::int64_t>(engines);
  hosts_[aRequest->host_].order_.OnWaiting(
    { .id_ = aRequest->id_,
      .service_ = 1,
      .team_ = aRequest->team_,
      .waited_ = milliseconds((clock_.Now() - aRequest->arrived_) / 1000),
      .remaining_ = RemainingHold(input, options_.hold_),
      .engines_ = static_cast<std::uint32_t>(engines),
      .memoryTokens_ = wanted.promptTokens_ + wanted.answerTokens_,
      .prefill_ = std::chrono::duration_cast<milliseconds>(input.prefill_) },
    At(clock_));
  ScheduleWaiting(aRequest->host_);
}

void PassSimulation::LeaveOrder(PassRequest& aRequest, bool aSent)
{
  if (!aRequest.waits_) {
    return;
  }
  aRequest.waits_ = false;
  hosts_[aRequest.host_].order_.OnLeft(aRequest.id_, aSent, At(clock_));
  ScheduleWaiting(aRequest.host_);
}

std::vector<WaitingPrompt> PassSimulation::WaitingAt(std::size_t aHost)
{
  return hosts_[aHost].order_.First(
    kMaxWaitingPrompts,
    [](const std::string& /*aSource*/) { return false; },
    At(clock_));
}

// Sends the waiting prompts of a host to the others, as often as hosts may send
// snapshots.
void PassSimulation::ScheduleWaiting(std::size_t aHost)
{
  constexpr std::int64_t kInterval = 50'000; // us
  if (hosts_[aHost].listScheduled_) {
    return;
  }
  hosts_[aHost].listScheduled_ = true;
  clock_.After(kInterval + hosts_[aHost].messageDelay_, [this, aHost] {
    hosts_[aHost].listScheduled_ = false;
    const std::vector<WaitingPrompt> waiting = WaitingAt(aHost);
    for (std::size_t other = 0; other < hosts_.size(); ++other) {
      if (other != aHost && !IsLost()) {
        hosts_[other].order_.OnReport(hosts_[aHost].name_, waiting, At(clock_));
      }
    }
  });
}

} // namespace gooseberrylift::bench
