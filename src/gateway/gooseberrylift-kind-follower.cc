#include "gooseberrylift/internal/gooseberrylift-kind-follower.h"

#include <algorithm>
#include <iterator>

#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;

namespace {

// Added to the wait of a watch before its connection counts as dead: the way
// there and back, and a store that is slow by a factor of sixty.
constexpr std::chrono::milliseconds kWatchGrace{ 400 };

} // namespace

KindFollower::KindFollower(ObjectStore& aStore,
                           StoreRelay& aRelay,
                           Options aOptions,
                           Sink aSink)
  : store_(aStore)
  , relay_(aRelay)
  , options_(std::move(aOptions))
  , sink_(std::move(aSink))
  , random_(static_cast<std::minstd_rand::result_type>(options_.seed_))
{
}

asio::awaitable<void> KindFollower::Run()
{
  while (true) {
    if (!relay_.Asks()) {
      co_await FollowStore();
      continue;
    }
    const bool answered = co_await AskReader();
    if (answered) {
      co_await relay_.WaitForNews();
    } else if (TimerService::Now() < ownTry_) {
      co_await TimerService::SleepFor(Pause());
    } else {
      co_await FollowStore();
    }
  }
}

// Gets from a host that reads the store what this one does not know yet.
asio::awaitable<bool> KindFollower::AskReader()
{
  const BootTime asked = TimerService::BootNow();
  const auto view = co_await relay_.Ask(options_.kind_, highest_);
  if (!view) {
    co_return false;
  }
  relay_.OnStore(options_.kind_, false); // what it has is second-hand
  NoteStore(true);
  if (sink_.onSteady_) {
    sink_.onSteady_(view.value().steadyFor_);
  }
  TakeIn(view.value().changes_);
  if (sink_.onProof_ && view.value().proofAge_) {
    sink_.onProof_(asked - *view.value().proofAge_);
  }
  co_return true;
}

void KindFollower::TakeIn(const ViewChanges& aChanges)
{
  if (aChanges.revision_ < highest_) {
    return; // the reader is behind what this host has seen
  }
  version_ = std::to_string(aChanges.revision_);
  highest_ = aChanges.revision_;
  secondHand_ = true;
  for (const ViewedObject& object : aChanges.objects_) {
    OnEvent({ .object_ = { .kind_ = options_.kind_,
                           .name_ = object.name_,
                           .version_ = object.version_,
                           .spec_ = object.spec_ } });
  }
  std::vector<std::string> gone = aChanges.removed_;
  if (aChanges.names_) {
    std::set_difference(names_.begin(),
                        names_.end(),
                        aChanges.names_->begin(),
                        aChanges.names_->end(),
                        std::back_inserter(gone));
  }
  for (const std::string& name : gone) {
    OnEvent({ .deleted_ = true,
              .object_ = { .kind_ = options_.kind_, .name_ = name } });
  }
}

void KindFollower::OnEvent(const StoreEvent& aEvent)
{
  if (aEvent.deleted_) {
    names_.erase(aEvent.object_.name_);
  } else {
    names_.insert(aEvent.object_.name_);
  }
  sink_.onEvent_(aEvent);
}

asio::awaitable<void> KindFollower::FollowStore()
{
  // Others may ask this host from now on, so it must have read all of it.
  bool going = true;
  if (version_.empty() || secondHand_) {
    going = co_await Read();
  }
  if (going) {
    going = co_await Watch();
  }
  if (!going) {
    ownTry_ = TimerService::Now() + options_.ownPause_;
    co_await TimerService::SleepFor(Pause());
  }
}

asio::awaitable<bool> KindFollower::Read()
{
  const BootTime began = TimerService::BootNow();
  const auto list = co_await store_.List(
    options_.kind_, TimerService::Now() + options_.callTimeout_);
  if (!list) {
    relay_.OnStore(options_.kind_, false);
    NoteStore(false);
    co_return false;
  }
  NoteStore(true);
  version_ = list.value().version_;
  highest_ = std::max(highest_, RevisionOf(version_));
  secondHand_ = false;
  read_ = TimerService::Now();
  names_.clear();
  for (const StoreObject& object : list.value().items_) {
    names_.insert(object.name_);
  }
  sink_.onList_(list.value().items_);
  if (sink_.onProof_) {
    sink_.onProof_(began);
  }
  // Only now: a proof holds for what has been taken in.
  relay_.OnList(options_.kind_, list.value().items_, version_);
  relay_.OnProof(options_.kind_, began);
  relay_.OnStore(options_.kind_, true);
  co_return true;
}

asio::awaitable<bool> KindFollower::Watch()
{
  std::vector<StoreEvent> events;
  const auto wait =
    relay_.Serves() ? options_.servingWatch_ : options_.watchFor_;
  const auto watched = co_await store_.Watch(
    options_.kind_,
    version_,
    [this, &events](const StoreEvent& aEvent) {
      OnEvent(aEvent);
      events.push_back(aEvent);
    },
    wait,
    TimerService::Now() + wait + kWatchGrace);
  if (!watched) {
    const bool forgotten = watched.error().code_ == ResultCode::kStoreGone;
    // Without its history the store can't say what was missed.
    version_.clear();
    if (!forgotten) {
      relay_.OnStore(options_.kind_, false);
      NoteStore(false);
    }
    co_return forgotten;
  }
  NoteStore(true);
  version_ = watched.value();
  highest_ = std::max(highest_, RevisionOf(version_));
  relay_.OnChanges(options_.kind_, events, version_);
  if (options_.readsAgain_ &&
      TimerService::Now() - read_ >= options_.watchFor_) {
    version_.clear();
  }
  co_return true;
}

void KindFollower::NoteStore(bool aReachable)
{
  if (known_ && reachable_ == aReachable) {
    return;
  }
  known_ = true;
  reachable_ = aReachable;
  if (sink_.onStore_) {
    sink_.onStore_(aReachable);
  }
}

// Between half and one and a half times the pause, so that hosts that lost the
// store together don't come back together.
std::chrono::milliseconds KindFollower::Pause()
{
  return options_.pause_ / 2 +
         std::chrono::milliseconds(
           random_() % static_cast<std::uint64_t>(options_.pause_.count()));
}

} // namespace gooseberrylift
