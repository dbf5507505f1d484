// Reserves memory at several engines for a prompt that doesn't fit into the
// memory of a single one.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_MEMORY_RESERVATION_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_MEMORY_RESERVATION_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/internal/gooseberrylift-endpoint-client.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
#include "gooseberrylift/internal/gooseberrylift-wire-dialect.h"

namespace gooseberrylift {

// Reserves memory at all of the engines or at none. All hosts reserve in the
// same order of endpoint ids, so that two hosts never each hold a part that the
// other one needs. The destructor releases the memory. If this host crashes or
// is disconnected, the engines release it themselves, because a reservation is
// short and renewed while the request runs. It is not renewed without a sign of
// life of the engine that uses the memory: if that one is lost, so is the
// request, although its connection stays open. Once it has lapsed it is never
// renewed, since the engines have cut off the request.
class MemoryReservation
{
public:
  struct Options
  {
    // How long an engine keeps a reservation that isn't renewed. Less than the
    // 4 s after which unused reserved memory counts as leaked.
    std::chrono::milliseconds duration_{ 3'000 };
    // Two consecutive renewals may be lost before a reservation expires.
    std::chrono::milliseconds renewInterval_{ 900 };
    std::chrono::milliseconds callTimeout_{ 400 };
  };

  struct Parts
  {
    EndpointClient& client_;
    const WireDialect& dialect_;
    boost::asio::any_io_executor executor_;
    ListedEndpoint user_; // the engine that uses the memory
    // Returns the time since the user last sent data to this host.
    std::function<std::chrono::milliseconds()> userSilence_;
  };

  /// Reserves memory.
  /// @param aTicketId identifies the reservation; unique to the request, the
  /// same at all engines, and of characters that need no encoding in a URI
  /// @param aEndpoints the engines
  /// @param aTokens the amount at each engine
  /// @return the reservation; or kEndpointRefused or kEndpointWithdrawn with
  /// the id of the endpoint that failed, after which the memory reserved so far
  /// is released
  static boost::asio::awaitable<Outcome<std::unique_ptr<MemoryReservation>>>
  Acquire(Parts aParts,
          std::string aTicketId,
          std::vector<ListedEndpoint> aEndpoints,
          std::uint64_t aTokens,
          Options aOptions);

  ~MemoryReservation();
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;

  const std::string& TicketId() const { return reservationId_; }

  /// Returns whether the engine that uses the memory has shown no sign of life
  /// at two consecutive renewals.
  bool IsUserLost() const { return missedSigns_ >= kMaxMissedSigns; }

  /// Returns whether the engines have released the memory because it wasn't
  /// renewed in time. The request that used it is lost then.
  bool HasLapsed() const;

private:
  MemoryReservation(Parts aParts,
                    std::string aTicketId,
                    std::uint64_t aTokens,
                    Options aOptions);

  static constexpr int kMaxMissedSigns = 2;

  void Renew();
  void SendRenewals();
  boost::asio::awaitable<void> RenewIfUserResponds(
    std::weak_ptr<MemoryReservation*> aSelf);
  boost::asio::awaitable<Outcome<void>> Reserve(ListedEndpoint aEndpoint);
  static boost::asio::awaitable<void> SendBestEffort(Parts aParts,
                                                     ListedEndpoint aEndpoint,
                                                     HttpRequest aRequest,
                                                     TimePoint aDeadline);

  Parts parts_;
  std::string reservationId_;
  // Made with the reservation, since making it can throw.
  HttpRequest release_;
  std::uint64_t tokens_;
  Options options_;
  std::vector<ListedEndpoint> endpoints_; // where memory may be reserved
  TimerSubscription renewal_;
  int missedSigns_ = 0;  // since the last sign of life of the user
  BootTime renewedAt_{}; // or reserved
  // Expires with this object, for calls that are awaited meanwhile.
  std::shared_ptr<MemoryReservation*> self_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_MEMORY_RESERVATION_H_
