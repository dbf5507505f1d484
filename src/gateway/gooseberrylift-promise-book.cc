#include "gooseberrylift/internal/gooseberrylift-promise-book.h"

#include <charconv>

#include "gooseberrylift-request-errors.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr const char* kPromisesMetric = "gooseberrylift_return_promises_total";
constexpr const char* kClaimsMetric = "gooseberrylift_return_claims_total";
constexpr const char* kUnusedMetric =
  "gooseberrylift_return_promises_unused_total";

// A fingerprint is a hash of 64 bits in hexadecimal digits.
std::uint64_t HashOf(const std::string& aFingerprint)
{
  constexpr int kHexadecimal = 16;
  std::uint64_t hash = 0;
  std::from_chars(aFingerprint.data(),
                  aFingerprint.data() + aFingerprint.size(),
                  hash,
                  kHexadecimal);
  return hash;
}

} // namespace

void PromiseBook::SetHosts(std::size_t aHosts)
{
  const std::lock_guard lock(mutex_);
  promises_.SetHosts(aHosts);
}

milliseconds PromiseBook::Promise(const Rejection& aRejection)
{
  GivenPromise given;
  {
    const std::lock_guard lock(mutex_);
    given = promises_.Promise({ .request_ = HashOf(aRejection.fingerprint_),
                                .service_ = NameHash(aRejection.service_),
                                .expectedWait_ = aRejection.expectedWait_,
                                .maxDelay_ = aRejection.maxDelay_,
                                .prefill_ = aRejection.prefill_,
                                .engines_ = aRejection.engines_,
                                .firstArrived_ = aRejection.firstArrived_ },
                              RandomNumber(),
                              TimerService::Now());
  }
  if (given.isNew_) {
    metrics_.Count(kPromisesMetric);
  }
  Log(LogEvent::kReturnPromised,
      { { "request_id", aRejection.attemptId_ },
        { "fingerprint", aRejection.fingerprint_ },
        { "service", aRejection.service_ },
        { "expected_ms", aRejection.expectedWait_.count() },
        { "due_ms", given.delay_.count() },
        { "new", given.isNew_ },
        { "due_with_it", given.dueWithIt_ },
        { "news_age_ms", given.newsAge_ ? given.newsAge_->count() : -1 },
        { "since_first_ms",
          duration_cast<milliseconds>(TimerService::Now() -
                                      aRejection.firstArrived_)
            .count() } });
  return given.delay_;
}

ArrivedReturn PromiseBook::OnArrived(const std::string& aAttemptId,
                                     const std::string& aFingerprint)
{
  const TimePoint now = TimerService::Now();
  ArrivedReturn arrived;
  {
    const std::lock_guard lock(mutex_);
    arrived = promises_.OnArrived(HashOf(aFingerprint), now);
  }
  if (arrived.kind_ == ReturnKind::kClaim) {
    metrics_.Count(kClaimsMetric);
    Log(
      LogEvent::kReturnClaimed,
      { { "request_id", aAttemptId },
        { "fingerprint", aFingerprint },
        { "late_ms", arrived.late_.count() },
        { "since_first_ms",
          duration_cast<milliseconds>(now - arrived.firstArrived_).count() } });
  }
  return arrived;
}

microseconds PromiseBook::KeptPrefill(const std::string& aService,
                                      microseconds aWithin)
{
  const std::lock_guard lock(mutex_);
  return promises_.KeptPrefill(
    NameHash(aService), aWithin, TimerService::Now());
}

void PromiseBook::OnLoadMessage(const LoadMessage& aMessage)
{
  const std::lock_guard lock(mutex_);
  promises_.OnPeer(
    aMessage.promises_, aMessage.zone_.empty(), TimerService::Now());
}

std::vector<ReturnPromise> PromiseBook::TakeOwnNews()
{
  const std::lock_guard lock(mutex_);
  return promises_.TakeOwnNews(kMaxReturnPromises, TimerService::Now());
}

std::vector<ReturnPromise> PromiseBook::TakeZoneNews()
{
  const std::lock_guard lock(mutex_);
  return promises_.TakeZoneNews(kMaxReturnPromises, TimerService::Now());
}

void PromiseBook::Sweep()
{
  const std::lock_guard lock(mutex_);
  for (auto unused = promises_.TakeUnused(TimerService::Now()); unused > 0;
       --unused) {
    metrics_.Count(kUnusedMetric);
  }
}

} // namespace gooseberrylift
