#include "gooseberrylift/internal/gooseberrylift-kind-follower.h"

#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;

namespace {

// Added to the wait of a watch before its connection counts as dead: the way
// there and back, and a store that is slow by a factor of sixty.
constexpr std::chrono::milliseconds kWatchGrace{ 400 };

} // namespace

KindFollower::KindFollower(ObjectStore& aStore, Options aOptions, Sink aSink)
  : store_(aStore)
  , options_(std::move(aOptions))
  , sink_(std::move(aSink))
  , random_(static_cast<std::minstd_rand::result_type>(options_.seed_))
{
}

asio::awaitable<void> KindFollower::Run()
{
  while (true) {
    bool going = true;
    if (version_.empty()) {
      going = co_await Read();
    }
    if (going) {
      going = co_await Watch();
    }
    if (!going) {
      co_await TimerService::SleepFor(Pause());
    }
  }
}

asio::awaitable<bool> KindFollower::Read()
{
  const BootTime began = TimerService::BootNow();
  const auto list = co_await store_.List(
    options_.kind_, TimerService::Now() + options_.callTimeout_);
  if (!list) {
    NoteStore(false);
    co_return false;
  }
  NoteStore(true);
  version_ = list.value().version_;
  read_ = TimerService::Now();
  sink_.onList_(list.value().items_);
  if (sink_.onProof_) {
    sink_.onProof_(began);
  }
  co_return true;
}

asio::awaitable<bool> KindFollower::Watch()
{
  const auto watched = co_await store_.Watch(
    options_.kind_,
    version_,
    [this](const StoreEvent& aEvent) { sink_.onEvent_(aEvent); },
    options_.watchFor_,
    TimerService::Now() + options_.watchFor_ + kWatchGrace);
  if (!watched) {
    const bool forgotten = watched.error().code_ == ResultCode::kStoreGone;
    // Without its history the store can't say what was missed.
    version_.clear();
    if (!forgotten) {
      NoteStore(false);
    }
    co_return forgotten;
  }
  NoteStore(true);
  version_ = watched.value();
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
