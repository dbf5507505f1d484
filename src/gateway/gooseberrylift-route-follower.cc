#include "gooseberrylift/internal/gooseberrylift-route-follower.h"

#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace {

// The number of endpoints that one log line names.
constexpr std::size_t kMaxLoggedNames = 40;

void AddName(nlohmann::json& aNames, const std::string& aName)
{
  if (aNames.size() < kMaxLoggedNames) {
    aNames.push_back(aName);
  }
}

} // namespace

RouteFollower::RouteFollower(const WireDialect& aDialect, GatewayBoard& aBoard)
  : dialect_(aDialect)
  , board_(aBoard)
{
}

void RouteFollower::OnEvent(const StoreEvent& aEvent)
{
  const StoreObject& object = aEvent.object_;
  if (aEvent.deleted_ || object.name_ != dialect_.Kinds().routesName_ ||
      object.version_ == decodedVersion_) {
    return; // unchanged documents are not decoded again
  }
  auto document = dialect_.ParseRoutes(object.spec_);
  if (!document) {
    if (rejectedVersion_ != object.version_) {
      rejectedVersion_ = object.version_;
      Log(LogEvent::kConfigurationRejected,
          { { "store_version", object.version_ },
            { "fault", document.error().text_ } });
    }
    return;
  }
  decodedVersion_ = object.version_;
  const RouteTable::Ptr current = board_.routes_.Read()->table_;
  const std::uint64_t version = document.value().version_;
  if (current && version <= current->Version()) {
    if (version < current->Version()) {
      Log(LogEvent::kConfigurationOlder,
          { { "generation", version }, { "in_force", current->Version() } });
    }
    return;
  }
  auto table = std::make_shared<const RouteTable>(std::move(document.value()));
  Log(LogEvent::kConfigurationApplied,
      { { "generation", version },
        { "before", current ? current->Version() : 0 },
        { "routes", table->Routes().size() },
        { "source", "store" } });
  board_.routes_.Write({ .table_ = std::move(table) });
}

void RouteFollower::OnProof(BootTime aReadStart)
{
  const std::lock_guard lock(leaseMutex_);
  lease_.OnProof(aReadStart);
}

bool RouteFollower::AreKeysProven()
{
  const auto bounds = board_.gatewaySettings_.Read();
  if (!bounds->gatewaySettings_.strictRevocation_) {
    return true;
  }
  const std::lock_guard lock(leaseMutex_);
  lease_.SetRevokeWithin(bounds->gatewaySettings_.revokeWithin_);
  const BootTime now = TimerService::BootNow();
  const bool proven = lease_.IsValid(now);
  if (proven != loggedProven_) {
    loggedProven_ = proven;
    const auto age = lease_.Age(now);
    Log(proven ? LogEvent::kKeysProven : LogEvent::kKeysUnproven,
        { { "proof_age_ms", age ? age->count() : -1 } });
  }
  return proven;
}

std::optional<std::chrono::milliseconds> RouteFollower::ProofAge()
{
  const std::lock_guard lock(leaseMutex_);
  return lease_.Age(TimerService::BootNow());
}

EndpointFollower::EndpointFollower(const WireDialect& aDialect,
                                   Fleet& aFleet,
                                   Metrics& aMetrics)
  : dialect_(aDialect)
  , fleet_(aFleet)
  , metrics_(aMetrics)
{
}

// Returns nothing for an invalid entry, which may come from another writer.
// Each version of an invalid entry is logged once, however often it is read.
std::optional<ListedEndpoint> EndpointFollower::Read(const StoreObject& aObject)
{
  auto listed = dialect_.ParseListedEndpoint(aObject);
  if (listed) {
    rejectedVersions_.erase(aObject.name_);
    return std::move(listed.value());
  }
  std::string& version = rejectedVersions_[aObject.name_];
  if (version.empty() || version != aObject.version_) {
    version = aObject.version_;
    Log(LogEvent::kEntryRefused,
        { { "endpoint", aObject.name_ },
          { "store_version", aObject.version_ },
          { "fault", listed.error().text_ } });
  }
  return std::nullopt;
}

void EndpointFollower::OnUpdate(const ViewUpdate& aUpdate,
                                const EndpointUpdateSource& aSource)
{
  nlohmann::json leaving = nlohmann::json::array();
  nlohmann::json gone = nlohmann::json::array();
  for (const CachedObject& object : aUpdate.objects_) {
    const EntryState state = OnChanged({ .name_ = object.name_,
                                         .version_ = object.version_,
                                         .spec_ = object.spec_ });
    if (state != EntryState::kLive) {
      AddName(state == EntryState::kLeaving ? leaving : gone, object.name_);
    }
  }
  for (const std::string& name : aUpdate.removed_) {
    rejectedVersions_.erase(name);
    OnRemoved(name);
    AddName(gone, name);
  }
  Log(LogEvent::kEndpointListUpdated,
      { { "source", aSource.origin_ },
        { "revision_before", aSource.revisionBefore_ },
        { "revision", aSource.revision_ },
        { "age_ms", aSource.age_ ? aSource.age_->count() : -1 },
        { "changed", aUpdate.objects_.size() },
        { "removed", aUpdate.removed_.size() },
        { "leaving", std::move(leaving) },
        { "gone", std::move(gone) } });
}

EndpointFollower::EntryState EndpointFollower::OnChanged(
  const StoreObject& aObject)
{
  const auto listed = Read(aObject);
  if (!listed) {
    // An entry that became invalid is handled like a deleted one.
    OnRemoved(aObject.name_);
    return EntryState::kGone;
  }
  Log(LogEvent::kEndpointState,
      { { "endpoint", aObject.name_ },
        { "service", listed->service_ },
        { "state", listed->leaving_ ? "leaving" : "live" },
        { "store_version", aObject.version_ } });
  fleet_.OnListed(*listed);
  return listed->leaving_ ? EntryState::kLeaving : EntryState::kLive;
}

void EndpointFollower::OnRemoved(const std::string& aName)
{
  Log(LogEvent::kEndpointState, { { "endpoint", aName }, { "state", "gone" } });
  fleet_.OnUnlisted(aName);
}

void EndpointFollower::OnListLate(bool aLate, const StoreStatus& aStatus)
{
  const auto count = [](const auto& aAge) { return aAge ? aAge->count() : -1; };
  if (aLate) {
    metrics_.Count("gooseberrylift_endpoint_list_late_total");
  }
  Log(aLate ? LogEvent::kEndpointListLate : LogEvent::kEndpointListCurrent,
      { { "age_ms", count(aStatus.endpointsAge_) },
        { "revision", aStatus.endpoints_ },
        { "routes_age_ms", count(aStatus.proofAge_) } });
}

void EndpointFollower::OnEvacuation(const StoreEvent& aEvent)
{
  const std::string& zone = aEvent.object_.name_;
  Log(LogEvent::kZoneEvacuated,
      { { "zone", zone }, { "evacuated", !aEvent.deleted_ } });
  std::vector<ListedEndpoint> returned;
  fleet_.Access().WithDirectory([&](EndpointDirectory& aDirectory) {
    if (aEvent.deleted_) {
      returned = aDirectory.OnEvacuationEnded(zone);
    } else {
      aDirectory.OnEvacuated(zone);
    }
  });
  fleet_.Loads().OnReturned(returned, TimerService::Now());
}

void EndpointFollower::OnStoreReturned(std::chrono::milliseconds aGap)
{
  Log(LogEvent::kRemovalsDeferred, { { "gap_ms", aGap.count() } });
  const TimePoint now = TimerService::Now();
  fleet_.Access().WithDirectory(
    [now](EndpointDirectory& aDirectory) { aDirectory.OnStoreReturned(now); });
}

} // namespace gooseberrylift
