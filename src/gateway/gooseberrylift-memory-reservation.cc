#include "gooseberrylift/internal/gooseberrylift-memory-reservation.h"

#include <algorithm>

#include "gooseberrylift/internal/gooseberrylift-tasks.h"

namespace gooseberrylift {

namespace asio = boost::asio;

MemoryHolds::MemoryHolds(Parts aParts,
                         std::string aTicketId,
                         std::uint64_t aTokens,
                         Options aOptions)
  : parts_(std::move(aParts))
  , reservationId_(std::move(aTicketId))
  , tokens_(aTokens)
  , options_(aOptions)
{
}

MemoryHolds::~MemoryHolds()
{
  renewal_.Cancel();
  const TimePoint deadline = TimerService::Now() + options_.orderTimeout_;
  for (const std::string& address : addresses_) {
    SpawnCleanup(parts_.executor_,
                 SendOrder(parts_,
                           address,
                           parts_.dialect_.MakeReleaseRequest(reservationId_),
                           deadline));
  }
}

asio::awaitable<Outcome<std::unique_ptr<MemoryHolds>>> MemoryHolds::Take(
  Parts aParts,
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
  std::unique_ptr<MemoryHolds> holds(
    new MemoryHolds(aParts, std::move(aTicketId), aTokens, aOptions));
  for (const ListedEndpoint& endpoint : aEndpoints) {
    // Noted first: an order without an answer may have been carried out.
    holds->addresses_.push_back(endpoint.address_);
    const auto reserved = co_await holds->Reserve(endpoint.address_);
    if (!reserved) {
      Error refusal = reserved.error();
      refusal.text_ = endpoint.id_ + ": " + refusal.text_;
      co_return refusal;
    }
  }
  MemoryHolds* self = holds.get();
  holds->renewal_ = TimerService::Every(
    aOptions.renewEvery_, aParts.executor_, [self] { self->Renew(); });
  co_return std::move(holds);
}

asio::awaitable<Outcome<void>> MemoryHolds::Reserve(std::string aAddress)
{
  HttpRequest order = parts_.dialect_.MakeReserveRequest(
    reservationId_, tokens_, options_.holdFor_);
  const auto answer =
    co_await parts_.client_.Fetch(std::move(aAddress),
                                  std::move(order),
                                  TimerService::Now() + options_.orderTimeout_);
  if (!answer || answer.value().status_ != 200) {
    co_return Error{ .code_ = ResultCode::kEndpointRefused,
                     .text_ = answer ? "no room, status " +
                                         std::to_string(answer.value().status_)
                                     : answer.error().text_,
                     .retryAfter_ = options_.orderTimeout_ };
  }
  co_return boost::outcome_v2::success();
}

void MemoryHolds::Renew()
{
  const TimePoint deadline = TimerService::Now() + options_.orderTimeout_;
  for (const std::string& address : addresses_) {
    SpawnTask(parts_.executor_,
              SendOrder(parts_,
                        address,
                        parts_.dialect_.MakeReserveRequest(
                          reservationId_, tokens_, options_.holdFor_),
                        deadline));
  }
}

// The answer is not waited for by anyone: what a lost order leaves undone, the
// engine does itself when the hold runs out.
asio::awaitable<void> MemoryHolds::SendOrder(Parts aParts,
                                             std::string aAddress,
                                             HttpRequest aOrder,
                                             TimePoint aDeadline)
{
  (void)co_await aParts.client_.Fetch(
    std::move(aAddress), std::move(aOrder), aDeadline);
}

} // namespace gooseberrylift
