#include "gooseberrylift/internal/gooseberrylift-memory-reservation.h"

#include <algorithm>

#include "gooseberrylift/internal/gooseberrylift-tasks.h"

namespace gooseberrylift {

namespace asio = boost::asio;

MemoryReservation::MemoryReservation(Parts aParts,
                                     std::string aTicketId,
                                     std::uint64_t aTokens,
                                     Options aOptions)
  : parts_(std::move(aParts))
  , reservationId_(std::move(aTicketId))
  , release_(parts_.dialect_.MakeReleaseRequest(reservationId_))
  , tokens_(aTokens)
  , options_(aOptions)
  , self_(std::make_shared<MemoryReservation*>(this))
{
}

MemoryReservation::~MemoryReservation()
{
  renewal_.Cancel();
  const TimePoint deadline = TimerService::Now() + options_.callTimeout_;
  for (const ListedEndpoint& endpoint : endpoints_) {
    SpawnCleanup(parts_.executor_,
                 SendBestEffort(parts_, endpoint, release_, deadline));
  }
}

asio::awaitable<Outcome<std::unique_ptr<MemoryReservation>>>
MemoryReservation::Acquire(Parts aParts,
                           std::string aTicketId,
                           std::vector<ListedEndpoint> aEndpoints,
                           std::uint64_t aTokens,
                           Options aOptions)
{
  std::sort(aEndpoints.begin(),
            aEndpoints.end(),
            [](const ListedEndpoint& aLeft, const ListedEndpoint& aRight) {
              return aLeft.id_ < aRight.id_;
            });
  std::unique_ptr<MemoryReservation> reservation(
    new MemoryReservation(aParts, std::move(aTicketId), aTokens, aOptions));
  const BootTime start = TimerService::BootNow();
  for (const ListedEndpoint& endpoint : aEndpoints) {
    // Recorded before the call, which may take effect even if its response is
    // lost.
    reservation->endpoints_.push_back(endpoint);
    const auto reserved = co_await reservation->Reserve(endpoint);
    if (!reserved) {
      if (reserved.error().code_ == ResultCode::kEndpointWithdrawn) {
        reservation->endpoints_.pop_back(); // nothing was sent
      }
      Error refusal = reserved.error();
      refusal.text_ = endpoint.id_ + ": " + refusal.text_;
      co_return refusal;
    }
  }
  reservation->renewedAt_ = start;
  MemoryReservation* self = reservation.get();
  reservation->renewal_ = TimerService::Every(
    aOptions.renewInterval_, aParts.executor_, [self] { self->Renew(); });
  co_return std::move(reservation);
}

asio::awaitable<Outcome<void>> MemoryReservation::Reserve(
  ListedEndpoint aEndpoint)
{
  HttpRequest request = parts_.dialect_.MakeReserveRequest(
    reservationId_, tokens_, options_.duration_);
  const EndpointClient::CallOptions options{ .requestId_ = reservationId_ };
  const auto answer =
    co_await parts_.client_.Fetch(std::move(aEndpoint),
                                  std::move(request),
                                  TimerService::Now() + options_.callTimeout_,
                                  options);
  if (!answer && answer.error().code_ == ResultCode::kEndpointWithdrawn) {
    co_return answer.error();
  }
  if (!answer || answer.value().status_ != 200) {
    co_return Error{ .code_ = ResultCode::kEndpointRefused,
                     .text_ = answer ? "no room, status " +
                                         std::to_string(answer.value().status_)
                                     : answer.error().text_,
                     .retryAfter_ = options_.callTimeout_ };
  }
  co_return boost::outcome_v2::success();
}

bool MemoryReservation::HasLapsed() const
{
  return TimerService::BootNow() - renewedAt_ > options_.duration_;
}

void MemoryReservation::Renew()
{
  if (HasLapsed()) {
    return;
  }
  if (parts_.userSilence_() < options_.renewInterval_) {
    missedSigns_ = 0;
    SendRenewals();
    return;
  }
  SpawnTask(parts_.executor_, RenewIfUserResponds(self_));
}

asio::awaitable<void> MemoryReservation::RenewIfUserResponds(
  std::weak_ptr<MemoryReservation*> aSelf)
{
  const EndpointClient::CallOptions options{ .purpose_ =
                                               EndpointPurpose::kUpkeep };
  EndpointClient& client = parts_.client_;
  const auto report =
    co_await client.Fetch(parts_.user_,
                          parts_.dialect_.MakeProbeRequest(),
                          TimerService::Now() + options_.callTimeout_,
                          options);
  const auto self = aSelf.lock();
  if (!self) {
    co_return;
  }
  if (report && !(*self)->HasLapsed()) {
    missedSigns_ = 0;
    SendRenewals();
  } else {
    ++missedSigns_;
  }
}

void MemoryReservation::SendRenewals()
{
  renewedAt_ = TimerService::BootNow();
  const TimePoint deadline = TimerService::Now() + options_.callTimeout_;
  for (const ListedEndpoint& endpoint : endpoints_) {
    SpawnTask(parts_.executor_,
              SendBestEffort(parts_,
                             endpoint,
                             parts_.dialect_.MakeReserveRequest(
                               reservationId_, tokens_, options_.duration_),
                             deadline));
  }
}

// The result is ignored: if the request is lost, the engine releases the memory
// when the reservation expires.
asio::awaitable<void> MemoryReservation::SendBestEffort(
  Parts aParts,
  ListedEndpoint aEndpoint,
  HttpRequest aRequest,
  TimePoint aDeadline)
{
  const EndpointClient::CallOptions options{ .purpose_ =
                                               EndpointPurpose::kUpkeep };
  (void)co_await aParts.client_.Fetch(
    std::move(aEndpoint), std::move(aRequest), aDeadline, options);
}

} // namespace gooseberrylift
