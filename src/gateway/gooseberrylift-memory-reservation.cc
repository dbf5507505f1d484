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
  , tokens_(aTokens)
  , options_(aOptions)
{
}

MemoryReservation::~MemoryReservation()
{
  renewal_.Cancel();
  const TimePoint deadline = TimerService::Now() + options_.callTimeout_;
  for (const std::string& address : addresses_) {
    SpawnCleanup(
      parts_.executor_,
      SendBestEffort(parts_,
                     address,
                     parts_.dialect_.MakeReleaseRequest(reservationId_),
                     deadline));
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
  for (const ListedEndpoint& endpoint : aEndpoints) {
    // Recorded before the call, which may take effect even if its response is
    // lost.
    reservation->addresses_.push_back(endpoint.address_);
    const auto reserved = co_await reservation->Reserve(endpoint.address_);
    if (!reserved) {
      Error refusal = reserved.error();
      refusal.text_ = endpoint.id_ + ": " + refusal.text_;
      co_return refusal;
    }
  }
  MemoryReservation* self = reservation.get();
  reservation->renewal_ = TimerService::Every(
    aOptions.renewInterval_, aParts.executor_, [self] { self->Renew(); });
  co_return std::move(reservation);
}

asio::awaitable<Outcome<void>> MemoryReservation::Reserve(std::string aAddress)
{
  HttpRequest request = parts_.dialect_.MakeReserveRequest(
    reservationId_, tokens_, options_.duration_);
  const auto answer =
    co_await parts_.client_.Fetch(std::move(aAddress),
                                  std::move(request),
                                  TimerService::Now() + options_.callTimeout_);
  if (!answer || answer.value().status_ != 200) {
    co_return Error{ .code_ = ResultCode::kEndpointRefused,
                     .text_ = answer ? "no room, status " +
                                         std::to_string(answer.value().status_)
                                     : answer.error().text_,
                     .retryAfter_ = options_.callTimeout_ };
  }
  co_return boost::outcome_v2::success();
}

void MemoryReservation::Renew()
{
  const TimePoint deadline = TimerService::Now() + options_.callTimeout_;
  for (const std::string& address : addresses_) {
    SpawnTask(parts_.executor_,
              SendBestEffort(parts_,
                             address,
                             parts_.dialect_.MakeReserveRequest(
                               reservationId_, tokens_, options_.duration_),
                             deadline));
  }
}

// The result is ignored: if the request is lost, the engine releases the memory
// when the reservation expires.
asio::awaitable<void> MemoryReservation::SendBestEffort(Parts aParts,
                                                        std::string aAddress,
                                                        HttpRequest aRequest,
                                                        TimePoint aDeadline)
{
  (void)co_await aParts.client_.Fetch(
    std::move(aAddress), std::move(aRequest), aDeadline);
}

} // namespace gooseberrylift
