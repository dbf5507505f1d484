#include "gooseberrylift/internal/gooseberrylift-once-ledger.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "gooseberrylift/internal/gooseberrylift-tasks.h"

namespace gooseberrylift {

namespace asio = boost::asio;

namespace {

// How often deadlines of operations are looked at while a call is under way.
constexpr std::chrono::milliseconds kTick{ 10 };

// A coroutine that waits for its reply. The timer never fires by itself;
// cancelling it wakes the coroutine.
struct Waiter
{
  explicit Waiter(const asio::any_io_executor& aExecutor)
    : timer_(aExecutor, asio::steady_timer::time_point::max())
  {
  }
  asio::steady_timer timer_;
  std::optional<OnceReply> reply_; // guarded by the shard's lock
};

} // namespace

class OnceLedger::Shard : public std::enable_shared_from_this<Shard>
{
public:
  Shard(ObjectStore& aStore,
        const asio::any_io_executor& aExecutor,
        std::string aName,
        const Options& aOptions)
    : store_(aStore)
    , executor_(asio::make_strand(aExecutor))
    , name_(std::move(aName))
    , wake_(executor_)
    , callTimeout_(aOptions.callTimeout_)
    , committer_(aOptions.committer_)
  {
  }

  void Submit(OnceOp aOp, const std::shared_ptr<Waiter>& aWaiter)
  {
    const bool starts = Queue(std::move(aOp), aWaiter);
    if (!starts) {
      // The pump may be asleep until a time that is now too late.
      asio::post(executor_,
                 [self = shared_from_this()] { self->wake_.cancel(); });
      return;
    }
    // Not under the lock: co_spawn may run the pump's beginning at once.
    SpawnTask(executor_,
              [self = shared_from_this()]() -> asio::awaitable<void> {
                co_await self->Pump();
              });
  }

  std::optional<OnceReply> ReplyOf(const Waiter& aWaiter) const
  {
    const std::lock_guard lock(mutex_);
    return aWaiter.reply_;
  }

  void Tick()
  {
    const std::lock_guard lock(mutex_);
    if (pumping_) {
      committer_.OnTick(TimerService::Now());
      Deliver();
    }
  }

  bool Idle() const
  {
    const std::lock_guard lock(mutex_);
    return !pumping_;
  }

private:
  // @return true when the pump must be started
  bool Queue(OnceOp aOp, const std::shared_ptr<Waiter>& aWaiter)
  {
    const std::lock_guard lock(mutex_);
    const std::uint64_t id = committer_.Submit(std::move(aOp));
    if (aWaiter) {
      waiters_.emplace(id, aWaiter);
    }
    return !std::exchange(pumping_, true);
  }

  struct Step
  {
    std::optional<OnceStoreCall> io_;
    std::optional<TimePoint> wake_;
  };

  // Makes the committer's calls until it has no work.
  asio::awaitable<void> Pump()
  {
    while (true) {
      Step step = NextStep();
      if (step.io_) {
        co_await Perform(std::move(*step.io_));
        continue;
      }
      if (!step.wake_) {
        co_return;
      }
      wake_.expires_at(*step.wake_);
      co_await wake_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }

  Step NextStep()
  {
    const std::lock_guard lock(mutex_);
    Step step{
      .io_ = committer_.NextStoreCall(TimerService::Now(),
                                      std::chrono::system_clock::now()),
    };
    Deliver();
    if (!step.io_) {
      step.wake_ = committer_.NextWakeTime();
      pumping_ = step.wake_.has_value();
    }
    return step;
  }

  asio::awaitable<void> Perform(OnceStoreCall aIo)
  {
    const TimePoint deadline = TimerService::Now() + callTimeout_;
    if (aIo.kind_ == OnceStoreCallKind::kRead) {
      const auto read = co_await store_.Read(kOnceKind, name_, deadline);
      NoteRead(read);
      co_return;
    }
    StoreObject object{ .kind_ = kOnceKind,
                        .name_ = name_,
                        .version_ = std::move(aIo.version_),
                        .spec_ = std::move(aIo.spec_) };
    if (aIo.kind_ == OnceStoreCallKind::kCreate) {
      const auto made = co_await store_.Create(std::move(object), deadline);
      NoteWrite(made);
      co_return;
    }
    const auto updated = co_await store_.Update(std::move(object), deadline);
    NoteWrite(updated);
  }

  void NoteRead(const Outcome<StoreObject>& aRead)
  {
    const std::lock_guard lock(mutex_);
    if (aRead) {
      committer_.OnRead(aRead.value().version_, aRead.value().spec_);
    } else if (aRead.error().code_ == ResultCode::kStoreNotFound) {
      committer_.OnNotFound();
    } else {
      committer_.OnFailed(RanState::kNo, TimerService::Now());
    }
    Deliver();
  }

  void NoteWrite(const Outcome<StoreObject>& aWritten)
  {
    const std::lock_guard lock(mutex_);
    if (aWritten) {
      committer_.OnWritten(aWritten.value().version_, TimerService::Now());
    } else if (aWritten.error().code_ == ResultCode::kStoreConflict ||
               aWritten.error().code_ == ResultCode::kStoreNotFound) {
      committer_.OnConflict();
    } else {
      committer_.OnFailed(aWritten.error().ran_, TimerService::Now());
    }
    Deliver();
  }

  // Hands replies to their waiters. Called under the lock.
  void Deliver()
  {
    for (OnceReply& reply : committer_.TakeReplies()) {
      const auto found = waiters_.find(reply.id_);
      if (found == waiters_.end()) {
        continue;
      }
      const std::shared_ptr<Waiter> waiter = std::move(found->second);
      waiters_.erase(found);
      waiter->reply_ = std::move(reply);
      asio::post(waiter->timer_.get_executor(),
                 [waiter] { waiter->timer_.cancel(); });
    }
  }

  ObjectStore& store_;
  asio::any_io_executor executor_;
  std::string name_;
  asio::steady_timer wake_; // used on the strand alone
  std::chrono::milliseconds callTimeout_;
  mutable std::mutex mutex_;
  OnceCommitter committer_;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters_;
  bool pumping_ = false;
};

OnceLedger::OnceLedger(ObjectStore& aStore,
                       const asio::any_io_executor& aExecutor,
                       Options aOptions)
{
  for (std::size_t bucket = 0; bucket < kOnceBuckets; ++bucket) {
    shards_.push_back(std::make_shared<Shard>(
      aStore, aExecutor, "bucket-" + std::to_string(bucket), aOptions));
  }
  tick_ = TimerService::Every(kTick, aExecutor, [shards = shards_] {
    for (const auto& shard : shards) {
      shard->Tick();
    }
  });
}

OnceLedger::~OnceLedger() = default;

asio::awaitable<OnceReply> OnceLedger::Commit(std::size_t aBucket, OnceOp aOp)
{
  const std::shared_ptr<Shard> shard = shards_.at(aBucket);
  const auto executor = co_await asio::this_coro::executor;
  const auto waiter = std::make_shared<Waiter>(executor);
  shard->Submit(std::move(aOp), waiter);
  std::optional<OnceReply> reply = shard->ReplyOf(*waiter);
  while (!reply) {
    co_await waiter->timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    reply = shard->ReplyOf(*waiter);
  }
  co_return *reply;
}

void OnceLedger::Post(std::size_t aBucket, OnceOp aOp)
{
  shards_.at(aBucket)->Submit(std::move(aOp), nullptr);
}

bool OnceLedger::Idle() const
{
  return std::all_of(shards_.begin(), shards_.end(), [](const auto& aShard) {
    return aShard->Idle();
  });
}

} // namespace gooseberrylift
