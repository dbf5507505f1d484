#include "gooseberrylift/internal/gooseberrylift-store-follower.h"

#include <algorithm>
#include <random>
#include <utility>

#include "gooseberrylift/gooseberrylift-json-text.h"
#include "gooseberrylift/internal/gooseberrylift-encoding.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

// The fields of a fetch request and its answer.
constexpr const char* kRoutes = "c";
constexpr const char* kEndpoints = "e";
constexpr const char* kEvacuations = "z";
constexpr const char* kRevision = "r";
constexpr const char* kObjects = "o";      // packed: [name, version, spec] each
constexpr const char* kRemoved = "d";      // names
constexpr const char* kNames = "n";        // absent if kRemoved is complete
constexpr const char* kProofAge = "a";     // ms; absent without a proof
constexpr const char* kEndpointsAge = "b"; // ms; absent if unknown

// The origins of updates that this host has read itself.
constexpr const char* kOriginStore = "store";
constexpr const char* kOriginStoreAnyAge = "store-any-age";

// Not valid JSON, so that a text that can't be unpacked fails to parse.
constexpr const char* kInvalidJson = "";

// The limits of the sleep before a host checks again whether it must read: the
// current readers may have stopped meanwhile.
constexpr milliseconds kMaxSleep{ 200 };
constexpr milliseconds kMinSleep{ 10 };
// Shorter without a proof, since a request may expedite the read.
constexpr milliseconds kMaxSleepWithoutProof{ 20 };

json DeltaToJson(const StoreDelta& aDelta)
{
  json list = json::array();
  for (const CachedObject& object : aDelta.objects_) {
    list.push_back({ object.name_, object.version_, object.spec_ });
  }
  json answer = { { kRevision, aDelta.revision_ },
                  { kObjects, CompressToBase64(list.dump()) },
                  { kRemoved, aDelta.removed_ } };
  if (aDelta.names_) {
    answer[kNames] = *aDelta.names_;
  }
  return answer;
}

// Throws a json::exception if the answer is malformed.
StoreDelta DeltaFromJson(const json& aAnswer)
{
  StoreDelta delta;
  delta.revision_ = aAnswer.at(kRevision);
  const auto objects = DecompressFromBase64(aAnswer.at(kObjects));
  const json list = ParseJson(objects.value_or(kInvalidJson));
  for (const json& item : list.get_ref<const json::array_t&>()) {
    delta.objects_.push_back(
      { .name_ = item.at(0), .version_ = item.at(1), .spec_ = item.at(2) });
  }
  for (const json& name : aAnswer.at(kRemoved)) {
    delta.removed_.push_back(name);
  }
  if (aAnswer.contains(kNames)) {
    delta.names_ = aAnswer.at(kNames).get<std::vector<std::string>>();
  }
  return delta;
}

// Moves the objects instead of copying them: the route document of a large
// fleet has hundreds of KB and is read every second.
std::vector<CachedObject> ToCachedObjects(std::vector<StoreObject> aObjects)
{
  std::vector<CachedObject> cached;
  cached.reserve(aObjects.size());
  for (StoreObject& object : aObjects) {
    cached.push_back({ .name_ = std::move(object.name_),
                       .version_ = std::move(object.version_),
                       .spec_ = std::move(object.spec_) });
  }
  return cached;
}

} // namespace

StoreFollower::StoreFollower(Parts aParts, Options aOptions)
  : parts_(std::move(aParts))
  , options_(std::move(aOptions))
  , readSchedule_(options_.readSchedule_)
{
}

asio::awaitable<void> StoreFollower::Run()
{
  if (options_.hasPeers_) {
    co_await ReadAllowStale();
  }
  while (true) {
    const milliseconds due = readSchedule_.TimeUntilDue(
      TimerService::Now(), DataAge(), parts_.rank_());
    CheckEndpointsAge();
    if (due <= milliseconds(0)) {
      co_await Read();
      continue;
    }
    LogReaderRole(readSchedule_.IsActiveReader(TimerService::Now()));
    const milliseconds maxSleep =
      proof_ && endpointsReadAt_ ? kMaxSleep : kMaxSleepWithoutProof;
    co_await TimerService::SleepFor(std::clamp(due, kMinSleep, maxSleep));
  }
}

// Lists of any age. On failure it does nothing, since Read() follows and
// handles store errors.
asio::awaitable<void> StoreFollower::ReadAllowStale()
{
  const TimePoint limit = TimerService::Now() + options_.callTimeout_;
  auto endpoints =
    co_await parts_.store_.ListAllowStale(options_.endpointsKind_, limit);
  if (!endpoints || !endpoints.value().complete_) {
    co_return;
  }
  auto routes =
    co_await parts_.store_.ListAllowStale(options_.routesKind_, limit);
  if (!routes || !routes.value().complete_) {
    co_return;
  }
  auto listed = ToCachedObjects(std::move(endpoints.value().items_));
  const std::uint64_t endpointsRevision =
    CompleteRevision(listed, endpoints.value().pageSizes_);
  const std::uint64_t revisionBefore = endpoints_.Revision();
  PublishEndpoints(endpoints_.OnList(std::move(listed), endpointsRevision),
                   kOriginStoreAnyAge,
                   revisionBefore,
                   std::nullopt);
  if (!proof_) { // with a proof, other hosts have sent newer routes
    auto documents = ToCachedObjects(std::move(routes.value().items_));
    const std::uint64_t routesRevision =
      CompleteRevision(documents, routes.value().pageSizes_);
    unprovenRoutes_ = routes_.OnList(std::move(documents), routesRevision);
  }
  anyAgeReadAt_ = TimerService::BootNow();
  std::minstd_rand random{ std::random_device{}() };
  readSchedule_.DelayUntil(TimerService::Now() + options_.firstReadMaxDelay_ *
                                                   (random() % 1'000) / 1'000);
}

bool StoreFollower::ExpediteFirstRead()
{
  const bool lacksEndpoints =
    !endpointsReadAt_ && !readSchedule_.IsStoreUnavailable();
  if (proof_ && !lacksEndpoints) {
    return false;
  }
  isAwaited_ = true;
  readSchedule_.CancelDelay();
  return true;
}

// Returns whether this host still relies on others for the changes since its
// list of any age.
bool StoreFollower::AwaitsPeerUpdates() const
{
  const milliseconds wait =
    isAwaited_ ? options_.awaitedPeerUpdateWait_ : options_.peerUpdateWait_;
  return anyAgeReadAt_ && !endpointsReadAt_ &&
         TimerService::BootNow() - *anyAgeReadAt_ < wait;
}

asio::awaitable<void> StoreFollower::Read()
{
  // A host accepts requests as soon as it has routes, so the endpoints are read
  // first. In the opposite order its first callers were refused.
  bool hasEndpoints = true;
  if (endpoints_.Revision() == 0) {
    const ListResult result =
      co_await ReadKind(options_.endpointsKind_, endpoints_);
    hasEndpoints = result == ListResult::kComplete;
  }
  bool read = hasEndpoints;
  if (read && FollowsEvacuations() && evacuations_.Revision() == 0) {
    const ListResult result =
      co_await ReadKind(options_.evacuationsKind_, evacuations_);
    read = result == ListResult::kComplete;
  }
  const bool wasUnavailable = readSchedule_.IsStoreUnavailable();
  // A list that fails again and again must not keep the routes from this host,
  // which may get the endpoints from its peers.
  if (read || wasUnavailable) {
    const auto readStart = co_await ReadRoutes();
    if (hasEndpoints && readStart) {
      const bool changesRead = co_await ReadChanges(*readStart);
      read = read && changesRead;
    }
    read = read && readStart;
  }
  if (read) {
    readSchedule_.OnRead(TimerService::Now());
    LogReaderRole(true);
  } else {
    readSchedule_.OnFailed(TimerService::Now(), parts_.rank_());
  }
  if (wasUnavailable == read) {
    parts_.onReachabilityChanged_(read);
  }
}

asio::awaitable<std::optional<BootTime>> StoreFollower::ReadRoutes()
{
  const BootTime readStart = TimerService::BootNow();
  auto list = co_await ListRoutes();
  if (!list) {
    co_return std::nullopt;
  }
  DetectOutage(readStart);
  ApplyList(options_.routesKind_, routes_, std::move(list.value()), readStart);
  // After applying the list, since a proof covers only applied data.
  OnProof(readStart);
  co_return readStart;
}

// Returns a list that has the routes if they exist, and is marked as complete.
asio::awaitable<Outcome<StoreList>> StoreFollower::ListRoutes()
{
  const TimePoint limit = TimerService::Now() + options_.callTimeout_;
  auto list = co_await parts_.store_.List(options_.routesKind_, limit);
  if (!list || list.value().complete_) {
    co_return list;
  }
  list.value().complete_ = true;
  if (list.value().Find(options_.routesName_) == nullptr) {
    auto routes = co_await parts_.store_.Read(
      options_.routesKind_, options_.routesName_, limit);
    if (routes) {
      list.value().items_.push_back(std::move(routes.value()));
    } else if (routes.error().code_ != ResultCode::kStoreNotFound) {
      co_return routes.error();
    }
  }
  co_return list;
}

// Lists endpoints and evacuations if the store has changed. Evacuations are
// read before the endpoints and applied after them, so that when an evacuation
// ends, the entries of the zone's engines, which may be cold, are up to date.
// If they can't be listed, the endpoints are followed nonetheless: others leave
// or join meanwhile.
asio::awaitable<bool> StoreFollower::ReadChanges(BootTime aRoutesReadStart)
{
  const TimePoint limit = TimerService::Now() + options_.callTimeout_;
  bool complete = true;
  std::optional<StoreList> evacuations;
  // Without a revision, the list has just failed.
  if (FollowsEvacuations() && evacuations_.Revision() > 0 &&
      evacuations_.Revision() < routes_.Revision()) {
    auto list = co_await parts_.store_.List(options_.evacuationsKind_, limit);
    if (list) {
      evacuations = std::move(list.value());
    } else {
      complete = false;
    }
  }
  const bool isBehind = endpoints_.Revision() < routes_.Revision();
  const bool awaitsPeerUpdates = isBehind && AwaitsPeerUpdates();
  if (isBehind && !awaitsPeerUpdates) {
    const ListResult result =
      co_await ReadKind(options_.endpointsKind_, endpoints_);
    if (result == ListResult::kFailed) {
      co_return false;
    }
    complete = complete && result == ListResult::kComplete;
  }
  if (evacuations) {
    const ListResult result = ApplyList(options_.evacuationsKind_,
                                        evacuations_,
                                        std::move(*evacuations),
                                        aRoutesReadStart);
    complete = complete && result == ListResult::kComplete;
  }
  if (complete && !awaitsPeerUpdates) {
    OnEndpointsRead(aRoutesReadStart);
  }
  co_return complete;
}

asio::awaitable<StoreFollower::ListResult> StoreFollower::ReadKind(
  std::string aKind,
  StoreView& aView)
{
  const BootTime readStart = TimerService::BootNow();
  auto list = co_await parts_.store_.List(
    aKind, TimerService::Now() + options_.callTimeout_);
  if (!list) {
    co_return ListResult::kFailed;
  }
  co_return ApplyList(aKind, aView, std::move(list.value()), readStart);
}

StoreFollower::ListResult StoreFollower::ApplyList(const std::string& aKind,
                                                   StoreView& aView,
                                                   StoreList aList,
                                                   BootTime aReadStart)
{
  const std::uint64_t revisionBefore = aView.Revision();
  const std::uint64_t revision = RevisionOf(aList.version_);
  auto objects = ToCachedObjects(std::move(aList.items_));
  const ViewUpdate update =
    aList.complete_ ? aView.OnList(std::move(objects), revision)
                    : aView.OnIncompleteList(std::move(objects), revision);
  if (aKind == options_.endpointsKind_) {
    PublishEndpoints(update, kOriginStore, revisionBefore, aReadStart);
  } else {
    Publish(aKind, update);
  }
  if (!update.Empty()) {
    parts_.onNewData_();
  }
  return aList.complete_ ? ListResult::kComplete : ListResult::kIncomplete;
}

StoreStatus StoreFollower::CurrentStatus() const
{
  return { .routes_ = routes_.Revision(),
           .endpoints_ = endpoints_.Revision(),
           .evacuations_ = evacuations_.Revision(),
           .proofAge_ = AgeOf(proof_),
           .endpointsAge_ = AgeOf(endpointsReadAt_) };
}

void StoreFollower::OnPeerStatus(const PeerMember& aPeer,
                                 const StoreStatus& aStatus,
                                 std::optional<BootTime> aRequestTime)
{
  const bool hasRoutes = aStatus.routes_ <= routes_.Revision();
  const bool hasEndpoints = aStatus.endpoints_ <= endpoints_.Revision() &&
                            aStatus.evacuations_ <= evacuations_.Revision();
  const bool hasAll = hasRoutes && hasEndpoints;
  if (!hasAll && !fetching_) {
    SpawnTask(parts_.executor_, Fetch(aPeer));
  }
  // The peer's routes included all changes up to its proof, and this host has
  // the same routes or later ones. The first proof makes this host start
  // serving, so it must have the objects of the other kinds by then as well.
  const bool suffices = proof_ ? hasRoutes : hasAll;
  if (suffices && aStatus.routes_ > 0 && aRequestTime && aStatus.proofAge_) {
    const BootTime readStart = *aRequestTime - *aStatus.proofAge_;
    DetectOutage(readStart);
    OnProof(readStart);
  }
  if (hasEndpoints && aRequestTime && aStatus.endpointsAge_) {
    OnEndpointsRead(*aRequestTime - *aStatus.endpointsAge_);
  }
}

json StoreFollower::FetchParams() const
{
  return { { kRoutes, routes_.Revision() },
           { kEndpoints, endpoints_.Revision() },
           { kEvacuations, evacuations_.Revision() } };
}

asio::awaitable<void> StoreFollower::Fetch(PeerMember aPeer)
{
  fetching_ = true;
  const BootTime requestTime = TimerService::BootNow();
  json params = FetchParams();
  const auto answer = co_await parts_.call_(
    aPeer, std::move(params), TimerService::Now() + options_.peerTimeout_);
  fetching_ = false;
  if (!answer || answer.value().empty()) {
    co_return; // the next status triggers a fetch from another host
  }
  try {
    ApplyAnswer(answer.value(), aPeer.host_, requestTime);
  } catch (const json::exception&) {
    Log(LogEvent::kPeerRefused,
        { { "reason", "malformed answer" }, { "peer", aPeer.host_ } });
  }
}

// Throws a json::exception if the answer is malformed.
void StoreFollower::ApplyAnswer(const json& aAnswer,
                                const std::string& aPeer,
                                BootTime aRequestTime)
{
  const StoreDelta routes = DeltaFromJson(aAnswer.at(kRoutes));
  const StoreDelta endpoints = DeltaFromJson(aAnswer.at(kEndpoints));
  const auto readStartOf = [&](const char* aAge) -> std::optional<BootTime> {
    if (!aAnswer.contains(aAge)) {
      return std::nullopt;
    }
    return aRequestTime - milliseconds(aAnswer.at(aAge).get<std::int64_t>());
  };
  const auto readStart = readStartOf(kProofAge);
  const auto endpointsReadAt = readStartOf(kEndpointsAge);
  if (readStart) {
    DetectOutage(*readStart);
  }
  const std::uint64_t revisionBefore = endpoints_.Revision();
  const ViewUpdate endpointUpdate = endpoints_.ApplyDelta(endpoints);
  if (endpointsReadAt) {
    OnEndpointsRead(*endpointsReadAt);
  }
  PublishEndpoints(endpointUpdate, aPeer, revisionBefore, endpointsReadAt);
  // Absent if the peer runs an earlier version.
  if (aAnswer.contains(kEvacuations)) {
    const StoreDelta evacuations = DeltaFromJson(aAnswer.at(kEvacuations));
    Publish(options_.evacuationsKind_, evacuations_.ApplyDelta(evacuations));
  }
  Publish(options_.routesKind_, routes_.ApplyDelta(routes));
  if (readStart) {
    OnProof(*readStart);
  }
}

json StoreFollower::Answer(const json& aParams) const
{
  json answer = {
    { kRoutes,
      DeltaToJson(routes_.Since(aParams.value(kRoutes, std::uint64_t{ 0 }))) },
    { kEndpoints,
      DeltaToJson(
        endpoints_.Since(aParams.value(kEndpoints, std::uint64_t{ 0 }))) },
    { kEvacuations,
      DeltaToJson(
        evacuations_.Since(aParams.value(kEvacuations, std::uint64_t{ 0 }))) }
  };
  const auto size = [&answer](const char* aKind) {
    return answer.at(aKind).at(kObjects).get_ref<const std::string&>().size();
  };
  if (size(kRoutes) + size(kEndpoints) + size(kEvacuations) >
      options_.maxAnswerBytes_) {
    return json::object();
  }
  if (const auto age = AgeOf(proof_)) {
    answer[kProofAge] = age->count();
  }
  if (const auto age = AgeOf(endpointsReadAt_)) {
    answer[kEndpointsAge] = age->count();
  }
  return answer;
}

void StoreFollower::Publish(const std::string& aKind, const ViewUpdate& aUpdate)
{
  if (aKind == options_.routesKind_ && !unprovenRoutes_.Empty()) {
    Publish(aKind, std::exchange(unprovenRoutes_, {}));
  }
  const auto& sink =
    aKind == options_.routesKind_ ? parts_.onRoutes_ : parts_.onEvacuation_;
  for (const CachedObject& object : aUpdate.objects_) {
    sink({ .object_ = { .kind_ = aKind,
                        .name_ = object.name_,
                        .version_ = object.version_,
                        .spec_ = object.spec_ } });
  }
  for (const std::string& name : aUpdate.removed_) {
    sink({ .deleted_ = true, .object_ = { .kind_ = aKind, .name_ = name } });
  }
}

void StoreFollower::PublishEndpoints(const ViewUpdate& aUpdate,
                                     std::string aOrigin,
                                     std::uint64_t aRevisionBefore,
                                     std::optional<BootTime> aReadAt)
{
  if (!aUpdate.Empty()) {
    parts_.onEndpoints_(aUpdate,
                        { .origin_ = std::move(aOrigin),
                          .revisionBefore_ = aRevisionBefore,
                          .revision_ = endpoints_.Revision(),
                          .age_ = AgeOf(aReadAt) });
  }
}

// Must be called before new data is applied: entries that are missing in it may
// have expired during the outage although their endpoints are alive.
void StoreFollower::DetectOutage(BootTime aReadStart)
{
  if (proof_ && aReadStart - *proof_ > options_.outageThreshold_) {
    parts_.onStoreReturned_(
      std::chrono::duration_cast<milliseconds>(aReadStart - *proof_));
  }
}

void StoreFollower::OnProof(BootTime aReadStart)
{
  if (!proof_ || aReadStart > *proof_) {
    proof_ = aReadStart;
    Publish(options_.routesKind_, {}); // publishes unprovenRoutes_
    parts_.onProof_(aReadStart);
  }
}

void StoreFollower::OnEndpointsRead(BootTime aReadStart)
{
  if (!endpointsReadAt_ || aReadStart > *endpointsReadAt_) {
    endpointsReadAt_ = aReadStart;
  }
  CheckEndpointsAge();
}

void StoreFollower::CheckEndpointsAge()
{
  const auto age = AgeOf(endpointsReadAt_);
  const bool late = age && *age > options_.endpointsLateAfter_;
  if (late != endpointsLate_) {
    endpointsLate_ = late;
    parts_.onEndpointsLate_(late, CurrentStatus());
  }
}

// Returns the age of this host's data by its oldest kind; nothing before the
// first proof, or if a caller waits for endpoints of known age. A list of any
// age counts as read when it was received, since nothing is known of its age.
std::optional<milliseconds> StoreFollower::DataAge() const
{
  const bool isDueForCaller =
    isAwaited_ && !endpointsReadAt_ && !AwaitsPeerUpdates();
  if (!proof_ || isDueForCaller) {
    return std::nullopt;
  }
  const BootTime endpoints =
    endpointsReadAt_.value_or(anyAgeReadAt_.value_or(*proof_));
  return AgeOf(std::min(*proof_, endpoints));
}

// Rounds up, since data must never appear younger than it is.
std::optional<milliseconds> StoreFollower::AgeOf(
  std::optional<BootTime> aReadStart)
{
  if (!aReadStart) {
    return std::nullopt;
  }
  return std::chrono::ceil<milliseconds>(TimerService::BootNow() - *aReadStart);
}

void StoreFollower::LogReaderRole(bool aIsReader)
{
  if (isReader_ != aIsReader) {
    isReader_ = aIsReader;
    const ReaderRank rank = parts_.rank_();
    Log(LogEvent::kStoreReading,
        { { "reads_itself", aIsReader },
          { "live_hosts", rank.hosts_ },
          { "before", rank.reachableBefore_ } });
  }
}

} // namespace gooseberrylift
