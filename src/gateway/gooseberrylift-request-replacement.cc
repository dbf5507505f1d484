// The part of RequestRun that replaces a stalled attempt. The stalled one stays
// open until another one has begun: silence does not show that a response is
// lost, and the other one may be refused, fail or be as silent.

#include "gooseberrylift/internal/gooseberrylift-request-run.h"

#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
#include "gooseberrylift/limits/gooseberrylift-stall-timeout.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// Interval at which a silent endpoint is checked again after its stall timeout:
// four times in the half of the caller's stall timeout that is then left.
constexpr milliseconds kStallCheckInterval{ 250 };

constexpr milliseconds kReplacementPoll{ 20 };

// Counts a stalled attempt while it exists.
class StalledCount
{
public:
  explicit StalledCount(int& aCount)
    : count_(aCount)
  {
    ++count_;
  }
  ~StalledCount() { --count_; }
  StalledCount(const StalledCount&) = delete;
  StalledCount& operator=(const StalledCount&) = delete;

private:
  int& count_;
};

} // namespace

// Whether the other attempt can't begin any more.
struct RequestRun::Replacement
{
  bool givenUp_ = false;
};

// Returns when an endpoint exceeds its stall timeout if it stays silent from
// now on.
TimePoint RequestRun::StallDeadline() const
{
  return std::min(request_.deadline_,
                  TimerService::Now() + EndpointStallTimeout(*request_.route_));
}

TimePoint RequestRun::NextStallCheck() const
{
  return std::min(request_.deadline_,
                  TimerService::Now() + kStallCheckInterval);
}

// Distinguishes a stall timeout, after which waiting may continue, from the
// request's deadline.
bool RequestRun::IsStallTimeout(const Error& aError) const
{
  return aError.code_ == ResultCode::kDeadlineExceeded &&
         TimerService::Now() < request_.deadline_;
}

// An endpoint that sent data within this time is not affected by what silences
// the stalled one.
milliseconds RequestRun::MaxSilenceOfReplacement() const
{
  return EndpointStallTimeout(*request_.route_) / 2;
}

// Handles a stall timeout of an attempt. Returns once reading may continue;
// replacement_ is set if another attempt has begun instead.
asio::awaitable<void> RequestRun::OnStallTimeout(RequestAttempt& aAttempt)
{
  aAttempt.call_->SetDeadline(NextStallCheck());
  if (!aAttempt.Target().IsStalled()) {
    co_return;
  }
  // The host that relayed a request has the other attempts.
  const bool mayReplace = !request_.relay_ && MayRetryElsewhere();
  LogStalled(aAttempt, mayReplace ? "replace" : "no-attempt-left");
  if (mayReplace) {
    co_await AwaitOrReplace(aAttempt);
  }
}

asio::awaitable<void> RequestRun::AwaitOrReplace(RequestAttempt& aStalled)
{
  const StalledCount count(stalled_);
  // If it was relayed, the other host may have sent it.
  retry_.OnRelayEnded(true);
  Exclude(aStalled);
  Replacement replacement;
  co_await RunUntilOneEnds([&] { return AwaitStalled(aStalled, replacement); },
                           [&] { return PrepareReplacement(replacement); });
  replacementPermit_.reset();
  if (!replacement_) {
    retry_.OnRelayEnded(true);
    retry_.Release();
  }
  aStalled.call_->SetDeadline(StallDeadline());
}

void RequestRun::Exclude(const RequestAttempt& aAttempt)
{
  if (aAttempt.relay_) {
    excludedPeers_.insert(aAttempt.relay_->Peer().host_);
  } else {
    tried_.insert(aAttempt.active_->Placement().endpoint_.id_);
  }
}

// Returns when the stalled attempt goes on, or has failed and can't be
// replaced.
asio::awaitable<void> RequestRun::AwaitStalled(RequestAttempt& aStalled,
                                               const Replacement& aReplacement)
{
  aStalled.call_->SetDeadline(request_.deadline_);
  const bool goesOn = co_await aStalled.call_->WaitForData();
  if (goesOn) {
    co_return;
  }
  while (!aReplacement.givenUp_) {
    co_await TimerService::SleepFor(kReplacementPoll);
  }
}

// Returns when another attempt has begun.
asio::awaitable<void> RequestRun::PrepareReplacement(Replacement& aReplacement)
{
  Next next = Next::kTryAgain;
  while (next == Next::kTryAgain) {
    auto opened = co_await OpenAttempt();
    if (!opened) {
      break;
    }
    const std::unique_ptr<RequestAttempt>& attempt = opened.value();
    const auto begun = co_await AwaitBegin(*attempt);
    if (begun) {
      replacement_ = std::move(opened.value());
      co_return;
    }
    EndAttempt(*attempt, begun);
    next = OnAttemptFailed(*attempt, begun.error());
    if (replacement_) {
      co_return;
    }
    replacementPermit_.reset();
  }
  aReplacement.givenUp_ = true;
  replacementPermit_.reset();
  co_await TimerService::SleepUntil(request_.deadline_);
}

// Reads a response until a part of it could be forwarded.
asio::awaitable<Outcome<void>> RequestRun::AwaitBegin(RequestAttempt& aAttempt)
{
  auto read = co_await ReadHead(aAttempt);
  if (!read) {
    co_return read;
  }
  if (!IsStream(aAttempt)) {
    if (const auto error = CheckContinues(aAttempt)) {
      co_return *error;
    }
    co_return boost::outcome_v2::success();
  }
  while (!aAttempt.HasBegun()) {
    read = co_await ReadEvents(aAttempt);
    if (!read) {
      co_return read;
    }
  }
  co_return boost::outcome_v2::success();
}

void RequestRun::LogStalled(RequestAttempt& aAttempt,
                            std::string_view aDecision) const
{
  if (aAttempt.stallLogged_) {
    return;
  }
  aAttempt.stallLogged_ = true;
  const AttemptTarget& target = aAttempt.Target();
  const EndpointActivity activity = target.Activity();
  Log(LogEvent::kAttemptStalled,
      { { "request_id", request_.facts_.attemptId_ },
        { "target", target.Name() },
        { "decision", aDecision },
        { "last_event", events_.Last().value_or(0) },
        { "silent_ms", activity.requestSilence_.count() },
        { "silent_to_host_ms", activity.hostSilence_.count() },
        { "silent_to_peers_ms",
          activity.peerSilence_ ? activity.peerSilence_->count() : -1 },
        { "overtaken", activity.overtaken_ },
        { "backlog_ms", activity.backlog_.count() },
        { "running", activity.running_ },
        { "send", sends_ } });
}

} // namespace gooseberrylift
