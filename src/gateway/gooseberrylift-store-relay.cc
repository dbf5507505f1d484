#include "gooseberrylift/internal/gooseberrylift-store-relay.h"

#include <charconv>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "gooseberrylift/internal/gooseberrylift-encoding.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// The fields of a question and its answer.
constexpr const char* kKind = "k";
constexpr const char* kRevision = "r"; // up to which the kind is known
constexpr const char* kObjects = "o";  // [name, version, spec] each
constexpr const char* kRemoved = "d";
constexpr const char* kNames = "n";     // missing when kRemoved tells enough
constexpr const char* kProofAge = "a";  // ms; missing without a proof
constexpr const char* kSteadyFor = "s"; // ms

// What is no document, for a packed text that can't be unpacked.
constexpr const char* kNoText = "";

json ObjectsToJson(const std::vector<ViewedObject>& aObjects)
{
  json list = json::array();
  for (const ViewedObject& object : aObjects) {
    list.push_back({ object.name_, object.version_, object.spec_ });
  }
  return list;
}

// Throws a json::exception when the answer is of another form.
RelayedView ViewFromJson(const json& aAnswer)
{
  RelayedView view;
  view.changes_.revision_ = aAnswer.at(kRevision);
  const auto objects = UnpackText(aAnswer.at(kObjects));
  for (const json& item : json::parse(objects.value_or(kNoText))) {
    view.changes_.objects_.push_back(
      { .name_ = item.at(0), .version_ = item.at(1), .spec_ = item.at(2) });
  }
  for (const json& name : aAnswer.at(kRemoved)) {
    view.changes_.removed_.push_back(name);
  }
  if (aAnswer.contains(kNames)) {
    view.changes_.names_ = aAnswer.at(kNames).get<std::vector<std::string>>();
  }
  if (aAnswer.contains(kProofAge)) {
    view.proofAge_ = milliseconds(aAnswer.at(kProofAge).get<std::int64_t>());
  }
  view.steadyFor_ = milliseconds(aAnswer.at(kSteadyFor).get<std::int64_t>());
  return view;
}

// Nothing for a host that has nothing to tell: it does not read the store, or
// has lost it.
std::optional<RelayedView> ReadAnswer(const json& aAnswer,
                                      const std::string& aReader)
{
  if (aAnswer.empty()) {
    return std::nullopt;
  }
  try {
    return ViewFromJson(aAnswer);
  } catch (const json::exception&) {
    Log(LogEvent::kPeerRefused,
        { { "reason", "not readable" }, { "peer", aReader } });
    return std::nullopt;
  }
}

ViewedObject Viewed(const StoreObject& aObject)
{
  return { .name_ = aObject.name_,
           .version_ = aObject.version_,
           .spec_ = aObject.spec_ };
}

} // namespace

std::uint64_t RevisionOf(const std::string& aVersion)
{
  std::uint64_t revision = 0;
  std::from_chars(aVersion.data(), aVersion.data() + aVersion.size(), revision);
  return revision;
}

StoreRelay::StoreRelay(Parts aParts, Options aOptions)
  : parts_(std::move(aParts))
  , options_(aOptions)
{
}

void StoreRelay::SetReaders(bool aReads, std::vector<PeerMember> aReaders)
{
  bool changed = false;
  {
    const std::lock_guard lock(mutex_);
    changed = reads_ != aReads;
    reads_ = aReads;
    readers_ = std::move(aReaders);
  }
  if (changed) {
    Log(LogEvent::kStoreReading, { { "reads_itself", aReads } });
    Wake();
  }
}

bool StoreRelay::Asks() const
{
  const std::lock_guard lock(mutex_);
  return !reads_ && !readers_.empty();
}

// A reader of a large zone is never the only one.
bool StoreRelay::Serves() const
{
  const std::lock_guard lock(mutex_);
  return reads_ && !readers_.empty();
}

asio::awaitable<Outcome<RelayedView>> StoreRelay::Ask(std::string aKind,
                                                      std::uint64_t aRevision)
{
  std::vector<PeerMember> readers;
  {
    const std::lock_guard lock(mutex_);
    readers = readers_;
  }
  for (const PeerMember& reader : readers) {
    json question = { { kKind, aKind }, { kRevision, aRevision } };
    const auto answer = co_await parts_.call_(
      reader, std::move(question), TimerService::Now() + options_.callTimeout_);
    if (!answer) {
      continue;
    }
    if (auto view = ReadAnswer(answer.value(), reader.host_)) {
      co_return std::move(*view);
    }
  }
  co_return MakeError(ResultCode::kPeerUnreachable);
}

asio::awaitable<void> StoreRelay::WaitForNews()
{
  auto timer = std::make_shared<asio::steady_timer>(
    co_await asio::this_coro::executor, options_.every_);
  {
    const std::lock_guard lock(mutex_);
    std::erase_if(waiting_, [](const auto& aOld) { return aOld.expired(); });
    waiting_.push_back(timer);
  }
  // Cancelled when there is news; either way it is time to ask.
  (void)co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
}

void StoreRelay::Wake()
{
  std::vector<std::weak_ptr<asio::steady_timer>> waiting;
  {
    const std::lock_guard lock(mutex_);
    waiting.swap(waiting_);
  }
  for (const auto& weak : waiting) {
    if (const auto timer = weak.lock()) {
      timer->cancel();
    }
  }
}

void StoreRelay::OnNews(const std::string& aHost, std::uint64_t aChanges)
{
  bool wake = false;
  {
    const std::lock_guard lock(mutex_);
    std::uint64_t& known = news_[aHost];
    wake = known != aChanges && !reads_ && !readers_.empty() &&
           readers_.front().host_ == aHost;
    known = aChanges;
  }
  if (wake) {
    Wake();
  }
}

void StoreRelay::OnList(const std::string& aKind,
                        const std::vector<StoreObject>& aObjects,
                        const std::string& aVersion)
{
  std::vector<ViewedObject> objects;
  objects.reserve(aObjects.size());
  for (const StoreObject& object : aObjects) {
    objects.push_back(Viewed(object));
  }
  bool changed = false;
  {
    const std::lock_guard lock(mutex_);
    StoreView& view = kinds_[aKind].view_;
    const std::uint64_t before = view.Changes();
    view.OnList(std::move(objects), RevisionOf(aVersion));
    changed = view.Changes() != before;
  }
  if (changed) {
    parts_.changed_();
  }
}

void StoreRelay::OnChanges(const std::string& aKind,
                           const std::vector<StoreEvent>& aEvents,
                           const std::string& aVersion)
{
  // The last word on a name counts.
  std::map<std::string, const StoreEvent*> last;
  for (const StoreEvent& event : aEvents) {
    last[event.object_.name_] = &event;
  }
  std::vector<ViewedObject> objects;
  std::vector<std::string> removed;
  for (const auto& [name, event] : last) {
    if (event->deleted_) {
      removed.push_back(name);
    } else {
      objects.push_back(Viewed(event->object_));
    }
  }
  {
    const std::lock_guard lock(mutex_);
    kinds_[aKind].view_.OnChanges(
      std::move(objects), removed, RevisionOf(aVersion));
  }
  if (!aEvents.empty()) {
    parts_.changed_();
  }
}

void StoreRelay::OnProof(const std::string& aKind, BootTime aBegan)
{
  const std::lock_guard lock(mutex_);
  kinds_[aKind].proof_ = aBegan;
}

void StoreRelay::OnStore(const std::string& aKind, bool aReachable)
{
  const std::lock_guard lock(mutex_);
  Kind& kind = kinds_[aKind];
  if (aReachable && !kind.reachable_) {
    kind.steadySince_ = TimerService::Now();
  }
  kind.reachable_ = aReachable;
}

json StoreRelay::Answer(const json& aParams)
{
  const std::string name = aParams.value(kKind, "");
  const std::uint64_t known = aParams.value(kRevision, std::uint64_t{ 0 });
  const std::lock_guard lock(mutex_);
  const auto found = kinds_.find(name);
  if (!reads_ || found == kinds_.end() || !found->second.reachable_) {
    return json::object();
  }
  const Kind& kind = found->second;
  const ViewChanges changes = kind.view_.Since(known);
  std::string objects = PackText(ObjectsToJson(changes.objects_).dump());
  if (objects.size() > options_.mostBytes_) {
    return json::object();
  }
  json answer = { { kRevision, changes.revision_ },
                  { kObjects, std::move(objects) },
                  { kRemoved, changes.removed_ } };
  if (changes.names_) {
    answer[kNames] = *changes.names_;
  }
  const auto steady = TimerService::Now() - kind.steadySince_;
  answer[kSteadyFor] = duration_cast<milliseconds>(steady).count();
  if (kind.proof_) {
    // Rounded up: a proof must never look younger than it is.
    const auto age = TimerService::BootNow() - *kind.proof_;
    answer[kProofAge] = std::chrono::ceil<milliseconds>(age).count();
  }
  return answer;
}

std::uint64_t StoreRelay::Changes() const
{
  const std::lock_guard lock(mutex_);
  if (!reads_) {
    return 0;
  }
  std::uint64_t changes = 0;
  for (const auto& [name, kind] : kinds_) {
    changes += kind.view_.Changes();
  }
  return changes;
}

} // namespace gooseberrylift
