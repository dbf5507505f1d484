#include "gooseberrylift/internal/gooseberrylift-fleet.h"

#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

Fleet::Fleet(Options aOptions)
  : options_(std::move(aOptions))
  , access_(options_.host_, options_.limiter_)
  , loads_([this](const std::string& aId) { return access_.ServiceOf(aId); })
  , peerVisibility_(PeerVisibility::Options{}, TimerService::Now())
  , messageFilter_(options_.zone_)
{
}

void Fleet::OnListed(const ListedEndpoint& aListed)
{
  if (!access_.OnListed(aListed)) {
    return;
  }
  Log(LogEvent::kEndpointRestarted,
      { { "endpoint", aListed.id_ },
        { "born_ms", aListed.startTime_.time_since_epoch().count() } });
  if (options_.onRestarted_) {
    options_.onRestarted_(aListed.id_);
  }
  loads_.With(aListed.service_, [&aListed](ServiceLoad& aState) {
    aState.OnRestarted(aListed.id_);
  });
}

std::optional<FleetPlacement> Fleet::Place(FleetQuery aQuery)
{
  aQuery.request_.peerLoadUnknown_ = IsPeerLoadUnknown();
  aQuery.request_.draw_ = aQuery.draw_;
  const EndpointAccess::Endpoints endpoints =
    aQuery.engineProfile_ ? access_.Engines(aQuery.service_)
                          : access_.Shuffled(aQuery.service_, aQuery.draw_);
  const CandidateRestrictions restrictions = access_.RestrictionsOf(*endpoints);
  const TimePoint now = TimerService::Now();
  return loads_.With(
    aQuery.service_, [&](ServiceLoad& aState) -> std::optional<FleetPlacement> {
      const auto candidates =
        FindCandidates(aQuery, *endpoints, restrictions, aState, now);
      const auto choice = aQuery.engineProfile_
                            ? EnginePlacement(EnginePlacement::Options{})
                                .Choose(*aQuery.engineProfile_,
                                        aQuery.gaps_,
                                        candidates,
                                        aQuery.request_)
                            : ServicePlacement().Choose(aState.typicalDuration_,
                                                        candidates,
                                                        aQuery.request_);
      if (!choice) {
        return std::nullopt;
      }
      FleetPlacement placed{
        .endpoint_ = *choice->endpoint_,
        .reservedTokens_ = choice->reservedTokens_,
        .firstAnswer_ = choice->firstAnswer_,
        .nominalFirst_ = choice->nominalFirst_,
        .wait_ = choice->wait_,
        .slowsDecoding_ = choice->slowsDecoding_,
        .deferred_ = choice->deferred_,
        .peerLoadUnknown_ = aQuery.request_.peerLoadUnknown_,
        .load_ = aState.load_.Of(choice->endpoint_->id_, now),
        .candidates_ = candidates.size(),
        .withheld_ = restrictions.limited_.withheld_.size(),
        .backedOff_ = restrictions.backedOff_.size(),
        .cost_ = choice->cost_,
        .helperCost_ = choice->helperCost_
      };
      for (const ListedEndpoint* helper : choice->helpers_) {
        placed.helpers_.push_back(*helper);
      }
      return placed;
    });
}

std::vector<PlacementCandidate> Fleet::FindCandidates(
  const FleetQuery& aQuery,
  const std::vector<ListedEndpoint>& aEndpoints,
  const CandidateRestrictions& aRestrictions,
  const ServiceLoad& aState,
  TimePoint aNow) const
{
  const LimitedEndpoints& limited = aRestrictions.limited_;
  std::vector<PlacementCandidate> candidates;
  candidates.reserve(aEndpoints.size());
  for (const ListedEndpoint& endpoint : aEndpoints) {
    const std::string& id = endpoint.id_;
    if (limited.withheld_.contains(id) ||
        aRestrictions.backedOff_.contains(id)) {
      continue;
    }
    candidates.push_back({ .endpoint_ = &endpoint,
                           .load_ = aState.load_.Of(id, aNow),
                           .avoided_ = aState.IsAvoided(id, aNow),
                           .tried_ = aQuery.tried_.contains(id),
                           .limited_ = limited.permitted_.contains(id) });
  }
  return candidates;
}

bool Fleet::IsPeerLoadUnknown()
{
  const std::lock_guard lock(peersMutex_);
  return peerVisibility_.IsPeerLoadUnknown(TimerService::Now());
}

void Fleet::OnPeerContact()
{
  const std::lock_guard lock(peersMutex_);
  peerVisibility_.OnLoadMessage(TimerService::Now());
}

void Fleet::OnPeersKnown(std::size_t aPeers)
{
  const std::lock_guard lock(peersMutex_);
  peerVisibility_.OnPeersKnown(aPeers);
}

std::optional<std::string> Fleet::OnLoadMessage(const LoadMessage& aMessage)
{
  const TimePoint now = TimerService::Now();
  std::optional<std::string> peer;
  {
    const std::lock_guard lock(peersMutex_);
    peer = messageFilter_.Accept(aMessage, now);
    peerVisibility_.OnLoadMessage(now);
  }
  if (peer) {
    loads_.OnLoadMessage(*peer, aMessage, now);
  }
  return peer;
}

void Fleet::Sweep()
{
  access_.Sweep();
  for (const PaceChange& change : loads_.Sweep(TimerService::Now())) {
    Log(LogEvent::kEndpointPace,
        { { "endpoint", change.endpoint_ },
          { "slow", change.isSlow_ },
          { "pace_percent", change.percent_ } });
    if (options_.onPaceChanged_) {
      options_.onPaceChanged_(change);
    }
  }
}

Fleet::ActiveRequest::ActiveRequest(Fleet& aFleet,
                                    const FleetQuery& aQuery,
                                    FleetPlacement aPlacement)
  : fleet_(aFleet)
  , id_(aQuery.id_)
  , service_(aQuery.service_)
  , engineProfile_(aQuery.engineProfile_)
  , placement_(std::move(aPlacement))
  , sentAt_(TimerService::Now())
  , lastDataAt_(sentAt_)
{
  fleet_.loads_.With(service_, [this](ServiceLoad& aState) {
    FleetLoad& load = aState.load_;
    load.OnSent(placement_.endpoint_.id_, id_, placement_.cost_, sentAt_);
    for (const ListedEndpoint& helper : placement_.helpers_) {
      load.OnSent(helper.id_, id_, placement_.helperCost_, sentAt_);
    }
  });
}

Fleet::ActiveRequest::~ActiveRequest()
{
  Release();
}

void Fleet::ActiveRequest::ExpectEvents()
{
  if (!engineProfile_) {
    return;
  }
  std::vector<std::string> helpers;
  helpers.reserve(placement_.helpers_.size());
  for (const ListedEndpoint& helper : placement_.helpers_) {
    helpers.push_back(helper.id_);
  }
  fleet_.loads_.With(service_, [&](ServiceLoad& aState) {
    aState.load_.ExpectFirst(placement_.endpoint_.id_,
                             id_,
                             helpers,
                             placement_.nominalFirst_,
                             TimerService::Now());
  });
}

void Fleet::ActiveRequest::OnEvents(std::size_t aEvents)
{
  if (!engineProfile_ || aEvents == 0) {
    return;
  }
  fleet_.loads_.With(service_, [&](ServiceLoad& aState) {
    aState.load_.OnEvents(placement_.endpoint_.id_,
                          id_,
                          aEvents,
                          *engineProfile_,
                          TimerService::Now());
  });
}

void Fleet::ActiveRequest::OnDataReceived(bool aFirst)
{
  const TimePoint now = TimerService::Now();
  begun_ = begun_ || aFirst;
  lastDataAt_ = now;
  fleet_.loads_.With(service_, [&](ServiceLoad& aState) {
    FleetLoad& load = aState.load_;
    if (!aFirst) {
      load.OnDataReceived(placement_.endpoint_.id_, now);
      return;
    }
    load.OnStarted(placement_.endpoint_.id_, id_, now);
    for (const ListedEndpoint& helper : placement_.helpers_) {
      // The helper's part of the prefill is done.
      load.OnStarted(helper.id_, id_, now);
    }
  });
}

EndpointActivity Fleet::ActiveRequest::CurrentActivity() const
{
  const TimePoint now = TimerService::Now();
  return fleet_.loads_.With(
    service_, [&](ServiceLoad& aState) -> EndpointActivity {
      const FleetLoad& loads = aState.load_;
      const std::string& endpoint = placement_.endpoint_.id_;
      const EndpointLoad load = loads.Of(endpoint, now);
      return { .requestSilence_ =
                 duration_cast<milliseconds>(now - lastDataAt_),
               .hostSilence_ = loads.SilentFor(endpoint, now),
               .peerSilence_ = loads.ShortestPeerSilence(endpoint, now),
               .begun_ = begun_,
               .overtaken_ = loads.IsOvertaken(endpoint, id_),
               .backlog_ = duration_cast<milliseconds>(load.backlog_),
               .running_ = load.running_,
               .slots_ = placement_.endpoint_.slots_ };
    });
}

void Fleet::ActiveRequest::End(EndpointOutcome aOutcome)
{
  const TimePoint now = TimerService::Now();
  fleet_.loads_.With(service_, [&](ServiceLoad& aState) {
    aState.OnOutcome(placement_.endpoint_.id_,
                     aOutcome,
                     duration_cast<microseconds>(now - sentAt_),
                     now);
  });
  Release();
}

void Fleet::ActiveRequest::Release()
{
  if (ended_) {
    return;
  }
  ended_ = true;
  fleet_.loads_.With(service_, [this](ServiceLoad& aState) {
    aState.load_.OnEnded(placement_.endpoint_.id_, id_);
    for (const ListedEndpoint& helper : placement_.helpers_) {
      aState.load_.OnEnded(helper.id_, id_);
    }
  });
}

} // namespace gooseberrylift
