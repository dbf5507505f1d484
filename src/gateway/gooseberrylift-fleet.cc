#include "gooseberrylift/internal/gooseberrylift-fleet.h"

#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

PlacementCandidate FindCandidate(
  const std::vector<PlacementCandidate>& aCandidates,
  const ListedEndpoint& aEndpoint)
{
  for (const PlacementCandidate& candidate : aCandidates) {
    if (candidate.endpoint_ == &aEndpoint) {
      return candidate;
    }
  }
  return {};
}

} // namespace

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
  const TimePoint now = TimerService::Now();
  const bool isNew = access_.ServiceOf(aListed.id_).empty();
  if (options_.onListed_) {
    options_.onListed_(aListed);
  }
  if (!access_.OnListed(aListed)) {
    if (isNew) {
      loads_.OnReturned({ aListed }, now);
    }
    return;
  }
  Log(LogEvent::kEndpointRestarted,
      { { "endpoint", aListed.id_ },
        { "born_ms", aListed.startTime_.time_since_epoch().count() } });
  loads_.With(aListed.service_, [&aListed, now](ServiceLoad& aState) {
    aState.OnRestarted(aListed.id_, now);
  });
}

void Fleet::OnUnlisted(const std::string& aEndpoint)
{
  const TimePoint now = TimerService::Now();
  access_.WithDirectory([&](EndpointDirectory& aDirectory) {
    aDirectory.OnRemoved(aEndpoint, now);
  });
  if (options_.onUnlisted_) {
    options_.onUnlisted_(aEndpoint);
  }
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
      auto candidates =
        FindCandidates(aQuery, *endpoints, restrictions, aState, now);
      const std::size_t pressed =
        aState.pressure_.AddTo(candidates, aQuery.requestDraw_, now);
      const auto choice = ChooseSparingCold(
        candidates,
        aQuery.request_,
        [&](const std::vector<PlacementCandidate>& aCandidates) {
          return aQuery.engineProfile_
                   ? EnginePlacement(EnginePlacement::Options{})
                       .Choose(*aQuery.engineProfile_,
                               aQuery.gaps_,
                               aCandidates,
                               aQuery.request_)
                   : ServicePlacement().Choose(
                       aState.typicalDuration_, aCandidates, aQuery.request_);
        });
      if (!choice) {
        return std::nullopt;
      }
      const PlacementCandidate chosen =
        FindCandidate(candidates, *choice->endpoint_);
      FleetPlacement placed{
        .endpoint_ = *choice->endpoint_,
        .reservedTokens_ = choice->reservedTokens_,
        .firstAnswer_ = choice->firstAnswer_,
        .wait_ = choice->wait_,
        .slowsDecoding_ = choice->slowsDecoding_,
        .deferred_ = choice->deferred_,
        .peerLoadUnknown_ = aQuery.request_.peerLoadUnknown_,
        .lastResort_ = chosen.avoided_ || chosen.tried_,
        .load_ = aState.load_.Of(choice->endpoint_->id_, now),
        .freeEngines_ = choice->freeEngines_,
        .candidates_ = candidates.size(),
        .withheld_ = restrictions.limited_.withheld_.size(),
        .backedOff_ = restrictions.backedOff_.size(),
        .pressed_ = pressed,
        // Counted there besides its requests.
        .pressure_ = chosen.load_.pressure_,
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
        aRestrictions.backedOff_.contains(id) ||
        (aQuery.only_ && !aQuery.only_->contains(id)) ||
        !IsAllowed(aQuery.allowedZones_, endpoint.zone_)) {
      continue;
    }
    candidates.push_back(
      { .endpoint_ = &endpoint,
        .load_ = aState.load_.Of(id, aNow),
        .avoided_ = aState.IsAvoided(id, aNow) ||
                    (aQuery.mustRespond_ && aState.MayHang(id, aNow)),
        .tried_ = aQuery.tried_.contains(id),
        .limited_ = limited.permitted_.contains(id),
        .cold_ = limited.cold_.contains(id) });
  }
  return candidates;
}

bool Fleet::TryReplace(const std::string& aService)
{
  const TimePoint now = TimerService::Now();
  return loads_.With(aService, [now](ServiceLoad& aState) {
    return aState.replacements_.TryReplace(aState.load_.AreResponding(now),
                                           now);
  });
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
  loads_.Sweep(TimerService::Now());
}

Fleet::ActiveRequest::ActiveRequest(Fleet& aFleet,
                                    const FleetQuery& aQuery,
                                    FleetPlacement aPlacement)
  : fleet_(aFleet)
  , id_(aQuery.id_)
  , service_(aQuery.service_)
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
    aState.pressure_.OnAnswered(placement_.endpoint_.id_, sentAt_, now);
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
