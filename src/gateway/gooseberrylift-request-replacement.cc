// The part of RequestRun that replaces a stalled attempt. The stalled one stays
// open until another one has begun: silence does not show that a response is
// lost, and the other one may be refused, fail or be as silent.

#include "gooseberrylift/internal/gooseberrylift-request-run.h"

#include "gooseberrylift-request-errors.h"
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

// How far the attempt that may replace a stalled one has come.
struct RequestRun::Replacement
{
  bool isSent_ = false;
};

// Returns when an endpoint exceeds its stall timeout if it stays silent from
// now on. One that uses memory of others is checked for signs of life.
TimePoint RequestRun::StallDeadline(const RequestAttempt& aAttempt) const
{
  if (aAttempt.reservation_) {
    return NextStallCheck();
  }
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

// Handles a stall timeout of an attempt. Returns once reading may continue;
// replacement_ is set if another attempt has begun instead.
asio::awaitable<void> RequestRun::OnStallTimeout(RequestAttempt& aAttempt)
{
  aAttempt.call_->SetDeadline(NextStallCheck());
  const bool hasLapsed =
    aAttempt.reservation_ && aAttempt.reservation_->HasLapsed();
  const bool isLost =
    hasLapsed || (aAttempt.reservation_ && aAttempt.reservation_->IsUserLost());
  if (!isLost && !aAttempt.Target().IsStalled()) {
    co_return;
  }
  // The host that relayed a request has the other attempts.
  const bool mayReplace = !request_.relay_ && !aAttempt.isBeingReplaced_ &&
                          MayRetryElsewhere(aAttempt);
  if (!aAttempt.isStalled_) {
    RecordStalled(aAttempt, mayReplace ? "replace" : "no-attempt-left");
  }
  aAttempt.isStalled_ = true;
  if (hasLapsed || (isLost && mayReplace)) {
    // It can't go on, or the next attempt needs the memory that it holds.
    aAttempt.failure_ = MakeStallError();
    co_return;
  }
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
  aStalled.isBeingReplaced_ = true;
  co_await RunUntilOneEnds([&] { return AwaitStalled(aStalled, replacement); },
                           [&] { return PrepareReplacement(replacement); });
  aStalled.isBeingReplaced_ = false;
  if (!replacement_) {
    retry_.OnRelayEnded(true);
    retry_.Release();
    if (!aStalled.failure_) {
      Include(aStalled); // it has gone on
    }
  }
  aStalled.call_->SetDeadline(StallDeadline(aStalled));
}

void RequestRun::Exclude(const RequestAttempt& aAttempt)
{
  if (aAttempt.relay_) {
    silentPeers_.insert(aAttempt.relay_->Peer().host_);
    unavailable_.erase(aAttempt.EndpointId());
  }
  if (!aAttempt.EndpointId().empty()) {
    tried_.insert(aAttempt.EndpointId());
  }
}

void RequestRun::Include(const RequestAttempt& aAttempt)
{
  if (aAttempt.relay_) {
    silentPeers_.erase(aAttempt.relay_->Peer().host_);
  }
  tried_.erase(aAttempt.EndpointId());
}

// Returns when the stalled attempt goes on, or has failed and no replacement
// was sent yet.
asio::awaitable<void> RequestRun::AwaitStalled(RequestAttempt& aStalled,
                                               const Replacement& aReplacement)
{
  const auto begun = co_await AwaitData(aStalled);
  if (begun || replacement_) {
    co_return;
  }
  co_await ThrowIfCancelled();
  aStalled.failure_ = begun.error();
  while (aReplacement.isSent_) {
    co_await TimerService::SleepFor(kReplacementPoll);
  }
}

// Returns when another attempt has begun.
asio::awaitable<void> RequestRun::PrepareReplacement(Replacement& aReplacement)
{
  Next next = Next::kTryAgain;
  while (next == Next::kTryAgain && !replacement_) {
    auto opened = co_await OpenAttempt();
    if (!opened) {
      break;
    }
    RequestAttempt& attempt = *opened.value();
    aReplacement.isSent_ = true;
    const auto begun = co_await AwaitData(attempt);
    if (begun) {
      replacement_ = std::move(opened.value());
      co_return;
    }
    co_await ThrowIfCancelled();
    aReplacement.isSent_ = false;
    next = OnAttemptFailed(attempt, begun.error());
  }
  if (!replacement_) {
    co_await TimerService::SleepUntil(request_.deadline_);
  }
}

// Reads a response until a part of it can be forwarded.
asio::awaitable<Outcome<void>> RequestRun::AwaitData(RequestAttempt& aAttempt)
{
  bool isReady = false;
  while (!isReady) {
    const auto read = co_await Read(aAttempt);
    if (!read) {
      co_return read;
    }
    isReady = aAttempt.ended_ || !aAttempt.events_.empty() ||
              aAttempt.body_.size() > kMaxBufferedBytes;
  }
  if (const auto error = CheckData(aAttempt)) {
    co_return *error;
  }
  co_return boost::outcome_v2::success();
}

// Returns why the response is not preferred to that of another attempt; nothing
// if it is.
std::optional<Error> RequestRun::CheckData(const RequestAttempt& aAttempt)
{
  const HttpCall& call = *aAttempt.call_;
  if (!IsStream(aAttempt)) {
    return CheckBody(aAttempt);
  }
  if (aAttempt.events_.empty()) {
    const bool isWhole =
      call.HasExplicitEnd() && aAttempt.splitter_.Pending() == 0;
    return isWhole ? std::nullopt
                   : std::optional(MakeBrokenError("the stream broke off"));
  }
  EventSequence next = events_;
  if (next.Take(aAttempt.events_.front()) == EventSequence::Verdict::kGap) {
    return MakeBrokenError("an event of the stream is missing");
  }
  return std::nullopt;
}

std::optional<Error> RequestRun::CheckBody(const RequestAttempt& aAttempt)
{
  if (auto error = CheckContinues(aAttempt)) {
    return error;
  }
  const int status = aAttempt.call_->Head().status_;
  if (status < 500) {
    return std::nullopt;
  }
  savedFailure_ = MakeHead(aAttempt);
  savedFailure_->body_ = aAttempt.body_;
  return Error{ .code_ = ResultCode::kEndpointFailed,
                .text_ = "status " + std::to_string(status),
                .ran_ = RanState::kYes };
}

void RequestRun::RecordStalled(const RequestAttempt& aAttempt,
                               std::string_view aDecision)
{
  if (aAttempt.active_) {
    // The link may be what is silent; probes tell.
    parts_.links_.OnFailed(aAttempt.active_->Placement().endpoint_,
                           LinkFailure::kResponse);
  }
  const AttemptTarget& target = aAttempt.Target();
  const EndpointActivity activity = target.Activity();
  Log(LogEvent::kAttemptStalled,
      { { "request_id", request_.facts_.attemptId_ },
        { "target", target.Name() },
        { "endpoint", aAttempt.EndpointId() },
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
