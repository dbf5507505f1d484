#include "gooseberrylift/internal/gooseberrylift-store-follower.h"

#include <algorithm>
#include <random>
#include <utility>

#include "gooseberrylift/internal/gooseberrylift-encoding.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

// The fields of a question and its answer.
constexpr const char* kRoutes = "c";
constexpr const char* kEndpoints = "e";
constexpr const char* kEvacuations = "z";
constexpr const char* kRevision = "r";
constexpr const char* kChanges = "o";  // packed: [name, version, spec] each
constexpr const char* kRemoved = "d";  // names
constexpr const char* kNames = "n";    // missing when kRemoved tells enough
constexpr const char* kProofAge = "a"; // ms; missing without a proof

// What is no document, for a packed text that can't be unpacked.
constexpr const char* kNoText = "";

// How long a host sleeps at most before it looks again whether to read: others
// may have fallen silent meanwhile.
constexpr milliseconds kLongestNap{ 200 };
constexpr milliseconds kShortestNap{ 10 };
// Shorter without a proof, since a request may expedite the read.
constexpr milliseconds kLongestNapUnproven{ 20 };

// The revision up to which a list of any age is known to be complete.
std::uint64_t NewestRevision(const std::vector<CachedObject>& aObjects)
{
  std::uint64_t revision = 0;
  for (const CachedObject& object : aObjects) {
    revision = std::max(revision, RevisionOf(object.version_));
  }
  return revision;
}

json ChangesToJson(const StoreDelta& aChanges)
{
  json list = json::array();
  for (const CachedObject& object : aChanges.objects_) {
    list.push_back({ object.name_, object.version_, object.spec_ });
  }
  json answer = { { kRevision, aChanges.revision_ },
                  { kChanges, CompressToBase64(list.dump()) },
                  { kRemoved, aChanges.removed_ } };
  if (aChanges.names_) {
    answer[kNames] = *aChanges.names_;
  }
  return answer;
}

// Throws a json::exception when the answer is of another form.
StoreDelta ChangesFromJson(const json& aAnswer)
{
  StoreDelta changes;
  changes.revision_ = aAnswer.at(kRevision);
  const auto objects = DecompressFromBase64(aAnswer.at(kChanges));
  for (const json& item : json::parse(objects.value_or(kNoText))) {
    changes.objects_.push_back(
      { .name_ = item.at(0), .version_ = item.at(1), .spec_ = item.at(2) });
  }
  for (const json& name : aAnswer.at(kRemoved)) {
    changes.removed_.push_back(name);
  }
  if (aAnswer.contains(kNames)) {
    changes.names_ = aAnswer.at(kNames).get<std::vector<std::string>>();
  }
  return changes;
}

// Takes the objects over: the route document of a large fleet is hundreds of
// KB, and it is read each second.
std::vector<CachedObject> ViewedOf(std::vector<StoreObject> aObjects)
{
  std::vector<CachedObject> viewed;
  viewed.reserve(aObjects.size());
  for (StoreObject& object : aObjects) {
    viewed.push_back({ .name_ = std::move(object.name_),
                       .version_ = std::move(object.version_),
                       .spec_ = std::move(object.spec_) });
  }
  return viewed;
}

} // namespace

StoreFollower::StoreFollower(Parts aParts, Options aOptions)
  : parts_(std::move(aParts))
  , options_(std::move(aOptions))
  , turn_(options_.turn_)
{
}

asio::awaitable<void> StoreFollower::Run()
{
  if (options_.hasPeers_) {
    co_await ReadAllowStale();
  }
  while (true) {
    const milliseconds due =
      turn_.DueIn(TimerService::Now(), ProofAge(), parts_.rank_());
    if (due <= milliseconds(0)) {
      co_await Read();
      continue;
    }
    NoteReading(turn_.IsActiveReader(TimerService::Now()));
    const milliseconds longest = proof_ ? kLongestNap : kLongestNapUnproven;
    co_await TimerService::SleepFor(std::clamp(due, kShortestNap, longest));
  }
}

// On failure the lists are left to Read(), which handles store errors.
asio::awaitable<void> StoreFollower::ReadAllowStale()
{
  const TimePoint limit = TimerService::Now() + options_.callTimeout_;
  auto endpoints =
    co_await parts_.store_.ListAllowStale(options_.endpointsKind_, limit);
  if (!endpoints) {
    co_return;
  }
  auto routes =
    co_await parts_.store_.ListAllowStale(options_.routesKind_, limit);
  if (!routes) {
    co_return;
  }
  auto listed = ViewedOf(std::move(endpoints.value().items_));
  const std::uint64_t endpointsRevision = NewestRevision(listed);
  Publish(options_.endpointsKind_,
          endpoints_.OnList(std::move(listed), endpointsRevision));
  if (!proof_) { // otherwise other hosts have sent newer routes meanwhile
    auto documents = ViewedOf(std::move(routes.value().items_));
    const std::uint64_t routesRevision = NewestRevision(documents);
    unprovenRoutes_ = routes_.OnList(std::move(documents), routesRevision);
  }
  const TimePoint now = TimerService::Now();
  anyAgeReadAt_ = now;
  std::minstd_rand random{ std::random_device{}() };
  turn_.DelayUntil(now +
                   options_.firstReadMaxDelay_ * (random() % 1'000) / 1'000);
}

bool StoreFollower::ExpediteFirstProof()
{
  if (!proof_) {
    turn_.CancelDelay();
  }
  return !proof_;
}

asio::awaitable<void> StoreFollower::Read()
{
  // A host takes requests as soon as it has routes, so it learns first where to
  // send them: the other way round its first callers were refused.
  bool read = true;
  if (endpoints_.Revision() == 0) {
    read = co_await ReadKind(options_.endpointsKind_, endpoints_);
  }
  if (read && FollowsEvacuations() && evacuations_.Revision() == 0) {
    read = co_await ReadKind(options_.evacuationsKind_, evacuations_);
  }
  if (read) {
    read = co_await ReadRoutes();
  }
  if (read) {
    read = co_await ReadChanges();
  }
  const bool wasLost = turn_.IsStoreUnavailable();
  if (read) {
    turn_.OnRead(TimerService::Now());
    NoteReading(true);
  } else {
    turn_.OnFailed(TimerService::Now(), parts_.rank_());
  }
  if (wasLost == read) {
    parts_.onStore_(read);
  }
}

asio::awaitable<bool> StoreFollower::ReadRoutes()
{
  const BootTime began = TimerService::BootNow();
  auto list = co_await parts_.store_.List(
    options_.routesKind_, TimerService::Now() + options_.callTimeout_);
  if (!list) {
    co_return false;
  }
  NoteGap(began);
  TakeInList(options_.routesKind_, routes_, std::move(list.value()));
  // Only now: a proof holds for what has been taken in.
  OnProof(began);
  co_return true;
}

// Lists endpoints and evacuations if the store has changed. Evacuations are
// read before the endpoints and applied after them, so that when an evacuation
// ends, the entries of the zone's engines, which may be cold, are up to date.
asio::awaitable<bool> StoreFollower::ReadChanges()
{
  const TimePoint limit = TimerService::Now() + options_.callTimeout_;
  std::optional<StoreList> evacuations;
  if (FollowsEvacuations() && evacuations_.Revision() < routes_.Revision()) {
    auto list = co_await parts_.store_.List(options_.evacuationsKind_, limit);
    if (!list) {
      co_return false;
    }
    evacuations = std::move(list.value());
  }
  const bool awaitsPeerUpdates =
    anyAgeReadAt_ &&
    TimerService::Now() - *anyAgeReadAt_ < options_.peerUpdateWait_;
  if (endpoints_.Revision() < routes_.Revision() && !awaitsPeerUpdates) {
    const bool read = co_await ReadKind(options_.endpointsKind_, endpoints_);
    if (!read) {
      co_return false;
    }
  }
  if (evacuations) {
    TakeInList(
      options_.evacuationsKind_, evacuations_, std::move(*evacuations));
  }
  co_return true;
}

asio::awaitable<bool> StoreFollower::ReadKind(std::string aKind,
                                              StoreView& aView)
{
  auto list = co_await parts_.store_.List(
    aKind, TimerService::Now() + options_.callTimeout_);
  if (!list) {
    co_return false;
  }
  TakeInList(aKind, aView, std::move(list.value()));
  co_return true;
}

void StoreFollower::TakeInList(const std::string& aKind,
                               StoreView& aView,
                               StoreList aList)
{
  const ViewUpdate news =
    aView.OnList(ViewedOf(std::move(aList.items_)), RevisionOf(aList.version_));
  Publish(aKind, news);
  if (!news.Empty()) {
    parts_.onNews_();
  }
}

StoreStatus StoreFollower::Headline() const
{
  return { .routes_ = routes_.Revision(),
           .endpoints_ = endpoints_.Revision(),
           .evacuations_ = evacuations_.Revision(),
           .proofAge_ = ProofAge() };
}

void StoreFollower::OnHeadline(const PeerMember& aPeer,
                               const StoreStatus& aHeadline,
                               std::optional<BootTime> aAsked)
{
  const bool knowsRoutes = aHeadline.routes_ <= routes_.Revision();
  const bool knowsAll = knowsRoutes &&
                        aHeadline.endpoints_ <= endpoints_.Revision() &&
                        aHeadline.evacuations_ <= evacuations_.Revision();
  if (!knowsAll && !fetching_) {
    SpawnTask(parts_.executor_, Fetch(aPeer));
  }
  // The teller's routes showed all changes up to its proof, and this host knows
  // the same routes or later ones. The first proof makes this host start
  // serving, so it must know the other kinds as well by then.
  const bool suffices = proof_ ? knowsRoutes : knowsAll;
  if (suffices && aHeadline.routes_ > 0 && aAsked && aHeadline.proofAge_) {
    const BootTime began = *aAsked - *aHeadline.proofAge_;
    NoteGap(began);
    OnProof(began);
  }
}

json StoreFollower::Question() const
{
  return { { kRoutes, routes_.Revision() },
           { kEndpoints, endpoints_.Revision() },
           { kEvacuations, evacuations_.Revision() } };
}

asio::awaitable<void> StoreFollower::Fetch(PeerMember aPeer)
{
  fetching_ = true;
  const BootTime asked = TimerService::BootNow();
  json question = Question();
  const auto answer = co_await parts_.call_(
    aPeer, std::move(question), TimerService::Now() + options_.peerTimeout_);
  fetching_ = false;
  if (!answer || answer.value().empty()) {
    co_return; // the next headline leads to another host
  }
  try {
    TakeIn(answer.value(), asked);
  } catch (const json::exception&) {
    Log(LogEvent::kPeerRefused,
        { { "reason", "not readable" }, { "peer", aPeer.host_ } });
  }
}

// Throws a json::exception when the answer is of another form.
void StoreFollower::TakeIn(const json& aAnswer, BootTime aAsked)
{
  const StoreDelta routes = ChangesFromJson(aAnswer.at(kRoutes));
  const StoreDelta endpoints = ChangesFromJson(aAnswer.at(kEndpoints));
  std::optional<BootTime> began;
  if (aAnswer.contains(kProofAge)) {
    began = aAsked - milliseconds(aAnswer.at(kProofAge).get<std::int64_t>());
    NoteGap(*began);
  }
  Publish(options_.endpointsKind_, endpoints_.ApplyDelta(endpoints));
  if (aAnswer.contains(kEvacuations)) { // else an earlier version answered
    const StoreDelta evacuations = ChangesFromJson(aAnswer.at(kEvacuations));
    Publish(options_.evacuationsKind_, evacuations_.ApplyDelta(evacuations));
  }
  Publish(options_.routesKind_, routes_.ApplyDelta(routes));
  if (began) {
    OnProof(*began);
  }
}

json StoreFollower::Answer(const json& aParams) const
{
  json answer = { { kRoutes,
                    ChangesToJson(routes_.Since(
                      aParams.value(kRoutes, std::uint64_t{ 0 }))) },
                  { kEndpoints,
                    ChangesToJson(endpoints_.Since(
                      aParams.value(kEndpoints, std::uint64_t{ 0 }))) },
                  { kEvacuations,
                    ChangesToJson(evacuations_.Since(
                      aParams.value(kEvacuations, std::uint64_t{ 0 }))) } };
  const auto size = [&answer](const char* aKind) {
    return answer.at(aKind).at(kChanges).get_ref<const std::string&>().size();
  };
  if (size(kRoutes) + size(kEndpoints) + size(kEvacuations) >
      options_.mostBytes_) {
    return json::object();
  }
  if (const auto age = ProofAge()) {
    answer[kProofAge] = age->count();
  }
  return answer;
}

void StoreFollower::Publish(const std::string& aKind, const ViewUpdate& aNews)
{
  if (aKind == options_.routesKind_ && !unprovenRoutes_.Empty()) {
    Publish(aKind, std::exchange(unprovenRoutes_, {}));
  }
  const auto& sink = aKind == options_.routesKind_      ? parts_.onRoutes_
                     : aKind == options_.endpointsKind_ ? parts_.onEndpoint_
                                                        : parts_.onEvacuation_;
  for (const CachedObject& object : aNews.objects_) {
    sink({ .object_ = { .kind_ = aKind,
                        .name_ = object.name_,
                        .version_ = object.version_,
                        .spec_ = object.spec_ } });
  }
  for (const std::string& name : aNews.removed_) {
    sink({ .deleted_ = true, .object_ = { .kind_ = aKind, .name_ = name } });
  }
}

// Before what was read is taken in: what it lacks may have lapsed during the
// outage though it lives.
void StoreFollower::NoteGap(BootTime aBegan)
{
  if (proof_ && aBegan - *proof_ > options_.outage_) {
    parts_.onReturned_();
  }
}

void StoreFollower::OnProof(BootTime aBegan)
{
  if (!proof_ || aBegan > *proof_) {
    proof_ = aBegan;
    Publish(options_.routesKind_, {}); // the routes that lacked a proof
    parts_.onProof_(aBegan);
  }
}

// Rounded up: a proof must never look younger than it is.
std::optional<milliseconds> StoreFollower::ProofAge() const
{
  if (!proof_) {
    return std::nullopt;
  }
  return std::chrono::ceil<milliseconds>(TimerService::BootNow() - *proof_);
}

void StoreFollower::NoteReading(bool aReads)
{
  if (reads_ != aReads) {
    reads_ = aReads;
    const ReaderRank rank = parts_.rank_();
    Log(LogEvent::kStoreReading,
        { { "reads_itself", aReads },
          { "live_hosts", rank.hosts_ },
          { "before", rank.reachableBefore_ } });
  }
}

} // namespace gooseberrylift
