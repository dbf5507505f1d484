// Where an attempt of a request was sent: an endpoint, or another host that
// chooses an endpoint.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ATTEMPT_TARGET_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ATTEMPT_TARGET_H_

#include <chrono>
#include <functional>
#include <optional>

#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/internal/gooseberrylift-endpoint-client.h"
#include "gooseberrylift/internal/gooseberrylift-fleet.h"
#include "gooseberrylift/internal/gooseberrylift-wire-dialect.h"

namespace gooseberrylift {

class AttemptTarget
{
public:
  virtual ~AttemptTarget() = default;

  /// Records that data was received.
  /// @param aFirst whether it began the response
  virtual void OnDataReceived(bool aFirst) = 0;

  /// Returns whether the attempt has received nothing for so long that the
  /// request should be sent elsewhere.
  virtual bool IsStalled() const = 0;

  /// Returns the name of the endpoint or host.
  virtual std::string Name() const = 0;

  /// Returns how recently the target was active.
  virtual EndpointActivity Activity() const = 0;

  /// Returns the error that a response reports; nothing if it is an endpoint's.
  virtual std::optional<Error> FindError(const HttpResponse& aHead) = 0;

  /// Records that an endpoint stated that it did not run the request.
  virtual void OnNotExecuted(const EndpointResponseMetadata& aFacts) = 0;

  /// Returns whether the sender of a response has exited, so that the close of
  /// the connection may have cut the response off.
  virtual boost::asio::awaitable<bool> HasExited() = 0;
};

// An endpoint, reached over a link of this host.
class EndpointTarget : public AttemptTarget
{
public:
  using NotExecuted =
    std::function<void(const EndpointResponseMetadata& aFacts)>;

  /// @param aStallTimeout of the endpoint
  EndpointTarget(EndpointClient& aClient,
                 Fleet::ActiveRequest& aActive,
                 std::chrono::milliseconds aStallTimeout,
                 NotExecuted aOnNotExecuted)
    : client_(aClient)
    , active_(aActive)
    , stallTimeout_(aStallTimeout)
    , onNotExecuted_(std::move(aOnNotExecuted))
  {
  }

  void OnDataReceived(bool aFirst) override { active_.OnDataReceived(aFirst); }

  bool IsStalled() const override
  {
    return IsRequestStalled(active_.CurrentActivity(), stallTimeout_);
  }

  std::string Name() const override
  {
    return active_.Placement().endpoint_.id_;
  }

  EndpointActivity Activity() const override
  {
    return active_.CurrentActivity();
  }

  std::optional<Error> FindError(const HttpResponse& /*aHead*/) override
  {
    return std::nullopt;
  }

  void OnNotExecuted(const EndpointResponseMetadata& aFacts) override
  {
    onNotExecuted_(aFacts);
  }

  boost::asio::awaitable<bool> HasExited() override
  {
    return client_.HasExited(active_.Placement().endpoint_);
  }

private:
  EndpointClient& client_;
  Fleet::ActiveRequest& active_;
  std::chrono::milliseconds stallTimeout_;
  NotExecuted onNotExecuted_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ATTEMPT_TARGET_H_
