// How long a request run keeps a request before it sends it, and how it refuses
// one that it does not send.

#include "gooseberrylift/internal/gooseberrylift-request-run.h"

#include <algorithm>

#include "gooseberrylift-request-errors.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
#include "gooseberrylift/limits/gooseberrylift-route-admission.h"
#include "gooseberrylift/limits/gooseberrylift-stall-timeout.h"

namespace gooseberrylift {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

// Of what its caller bears, how long a prompt waits for memory: a refusal after
// that still leaves the caller most of its time.
constexpr double kRoomShare = 0.25;

// For so long a request waits for the answer to a question for permits, looking
// at it in steps.
constexpr milliseconds kPermitAnswer{ 100 };
constexpr milliseconds kPermitStep{ 10 };

} // namespace

HoldInput RequestRun::MakeHoldInput(const EngineProfile& aFigures,
                                    microseconds aWait) const
{
  const TimePoint now = TimerService::Now();
  return { .wait_ = aWait,
           .prefill_ = aFigures.PrefillTime(request_.facts_.promptTokens_),
           .sinceArrival_ =
             duration_cast<milliseconds>(now - request_.arrived_),
           .remaining_ = RemainingTime(),
           .callerStallTimeout_ = CallerStallTimeout(*request_.route_),
           .objective_ = request_.route_->objective_ };
}

// Says whether a long prompt is kept here before its engines are looked at
// again.
HoldDecision RequestRun::JudgeHold(const FleetPlacement& aPlacement) const
{
  const EngineProfile* figures = Figures();
  if (!aPlacement.slowsDecoding_ || sends_ > 0 || figures == nullptr) {
    return HoldDecision::kSend;
  }
  HoldInput question = MakeHoldInput(*figures, aPlacement.wait_);
  question.peerLoadUnknown_ = aPlacement.peerLoadUnknown_;
  question.partialPrefill_ = aPlacement.cost_.prefill_;
  return DecideLongPromptHold(question, HoldOptions{});
}

// The same for a prompt for which no engines have room now. Memory is freed by
// every request that ends, so a fleet that could hold the prompt at all is
// worth a while; one that could not is no better later.
std::optional<milliseconds> RequestRun::WaitForRoom()
{
  const EngineProfile* figures = Figures();
  if (sends_ > 0 || figures == nullptr) {
    return std::nullopt;
  }
  const std::uint64_t needed =
    request_.facts_.promptTokens_ + request_.facts_.answerTokens_;
  const std::uint64_t whole =
    parts_.fleet_.CountUsable(request_.service_) * figures->memoryTokens_;
  if (needed > whole) {
    return std::nullopt;
  }
  const HoldOptions options{ .maxHoldShare_ = kRoomShare };
  const HoldDecision verdict =
    DecideLongPromptHold(MakeHoldInput(*figures, microseconds::max()), options);
  return verdict == HoldDecision::kHold
           ? std::optional(options.recheckInterval_)
           : std::nullopt;
}

// Says how long to wait for the answer of the host that grants permits, where
// all endpoints need one. It is there within a round trip, or not at all.
std::optional<milliseconds> RequestRun::WaitForPermit()
{
  const auto opens = parts_.fleet_.TimeUntilPermit(request_.service_);
  const auto waited = TimerService::Now() - request_.arrived_;
  if (!opens || *opens > milliseconds(0) || waited > kPermitAnswer) {
    return std::nullopt;
  }
  return kPermitStep;
}

// Makes the refusal of a request for which there is no endpoint now.
Error RequestRun::NoEndpoint()
{
  const auto opens = parts_.fleet_.TimeUntilPermit(request_.service_);
  Error none =
    MakeError(opens ? ResultCode::kEndpointsLimited : ResultCode::kNoEndpoint);
  none.retryAfter_ = RetrySoon();
  if (opens) {
    none.retryAfter_ = std::min(*none.retryAfter_ + std::max(*opens, {}),
                                MaxRetryDelay(RemainingTime()));
  }
  return none;
}

std::optional<Error> RequestRun::Admit(const FleetPlacement& aPlacement) const
{
  if (sends_ > 0) {
    return std::nullopt; // its first try was admitted
  }
  const TimePoint now = TimerService::Now();
  const AdmissionInput question{
    .predicted_ = aPlacement.firstAnswer_,
    .remaining_ = RemainingTime(),
    .callerStallTimeout_ = CallerStallTimeout(*request_.route_),
    .held_ = duration_cast<milliseconds>(now - request_.arrived_),
    .draw_ = Draw()
  };
  const auto wait = RetryDelayIfRefused(question);
  if (!wait) {
    return std::nullopt;
  }
  return Refusal(aPlacement, *wait);
}

milliseconds RequestRun::RemainingTime() const
{
  return duration_cast<milliseconds>(request_.deadline_ - TimerService::Now());
}

// Makes the refusal of a request that could not come in time where it would go.
Error RequestRun::Refusal(const FleetPlacement& aPlacement,
                          milliseconds aReturn) const
{
  const TimePoint now = TimerService::Now();
  Log(LogEvent::kRequestRefused,
      { { "request_id", request_.facts_.attemptId_ },
        { "service", request_.service_ },
        { "predicted_ms",
          duration_cast<milliseconds>(aPlacement.firstAnswer_).count() },
        { "wait_ms", duration_cast<milliseconds>(aPlacement.wait_).count() },
        { "remaining_ms", RemainingTime().count() },
        { "patience_ms", CallerStallTimeout(*request_.route_).count() },
        { "held_ms",
          duration_cast<milliseconds>(now - request_.arrived_).count() },
        { "candidates", aPlacement.candidates_ },
        { "running", aPlacement.load_.running_ },
        { "retry_after_ms", aReturn.count() } });
  Error refusal = MakeError(ResultCode::kDeadlineUnreachable);
  refusal.retryAfter_ = aReturn;
  return refusal;
}

} // namespace gooseberrylift
