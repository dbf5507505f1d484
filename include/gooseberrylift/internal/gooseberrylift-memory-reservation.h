// Memory set aside at several engines for one prompt that no single engine can
// hold.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_MEMORY_RESERVATION_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_MEMORY_RESERVATION_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/internal/gooseberrylift-http-client.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
#include "gooseberrylift/internal/gooseberrylift-wire-dialect.h"

namespace gooseberrylift {

// All or nothing, in one order that all hosts share, so that two hosts never
// wait for each other's half. The memory is freed on every way out: by an order
// when the object goes, and by the engine itself when this host dies or is cut
// off, because it is held for a short time only and renewed while the request
// runs.
class MemoryHolds
{
public:
  struct Options
  {
    // What an engine that hears nothing more keeps aside. Below the 4 s after
    // which memory that nobody uses counts as lost.
    std::chrono::milliseconds holdFor_{ 3'000 };
    // Two renewals may be lost before a hold runs out.
    std::chrono::milliseconds renewEvery_{ 900 };
    std::chrono::milliseconds orderTimeout_{ 400 };
  };

  struct Parts
  {
    HttpClient& client_;
    const WireDialect& dialect_;
    boost::asio::any_io_executor executor_;
  };

  /// Sets memory aside.
  /// @param aTicketId of this request alone, the same at each engine
  /// @param aEndpoints where
  /// @param aTokens how much at each
  /// @return the holds, or kEndpointRefused with the endpoint that had no room;
  /// what was set aside till then is freed
  static boost::asio::awaitable<Outcome<std::unique_ptr<MemoryHolds>>> Take(
    Parts aParts,
    std::string aTicketId,
    std::vector<ListedEndpoint> aEndpoints,
    std::uint64_t aTokens,
    Options aOptions);

  ~MemoryHolds();
  MemoryHolds(const MemoryHolds&) = delete;
  MemoryHolds& operator=(const MemoryHolds&) = delete;

  const std::string& TicketId() const { return reservationId_; }

private:
  MemoryHolds(Parts aParts,
              std::string aTicketId,
              std::uint64_t aTokens,
              Options aOptions);

  void Renew();
  boost::asio::awaitable<Outcome<void>> Reserve(std::string aAddress);
  static boost::asio::awaitable<void> SendOrder(Parts aParts,
                                                std::string aAddress,
                                                HttpRequest aOrder,
                                                TimePoint aDeadline);

  Parts parts_;
  std::string reservationId_;
  std::uint64_t tokens_;
  Options options_;
  std::vector<std::string> addresses_; // where memory is or may be set aside
  TimerSubscription renewal_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_MEMORY_RESERVATION_H_
