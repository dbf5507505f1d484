// A deadline for socket operations that leaves the socket open, so that a
// server can still send an error response.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SOCKET_DEADLINE_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SOCKET_DEADLINE_H_

#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "gooseberrylift/gooseberrylift-endpoint.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

// Cancels the pending operations of a socket at a deadline, unless it is
// destroyed first. If this process did not run at the deadline, the operations
// get a short time to complete, since the peer was not the one that was late.
// Must be created and destroyed on the socket's strand.
class SocketDeadline
{
public:
  SocketDeadline(boost::asio::ip::tcp::socket& aSocket,
                 const boost::asio::any_io_executor& aStrand,
                 TimePoint aDeadline)
    : state_(std::make_shared<State>(aSocket, aStrand))
  {
    state_->Start(aDeadline);
  }

  ~SocketDeadline()
  {
    state_->socket_ = nullptr;
    state_->timer_.cancel();
  }

  SocketDeadline(const SocketDeadline&) = delete;
  SocketDeadline& operator=(const SocketDeadline&) = delete;

  bool Expired() const { return state_->expired_; }

private:
  // A timer that is later than this shows that the process did not run.
  static constexpr std::chrono::milliseconds kMaxTimerDelay{ 200 };
  // Peers that stood still for the same reason resume within this time.
  static constexpr std::chrono::milliseconds kGraceAfterPause{ 200 };

  struct State : std::enable_shared_from_this<State>
  {
    State(boost::asio::ip::tcp::socket& aSocket,
          const boost::asio::any_io_executor& aStrand)
      : timer_(aStrand)
      , socket_(&aSocket)
    {
    }

    void Start(TimePoint aDeadline)
    {
      timer_.expires_at(aDeadline);
      timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& aCode) {
          if (!aCode && self->socket_ != nullptr) {
            self->OnExpired();
          }
        });
    }

    void OnExpired()
    {
      const TimePoint now = TimerService::Now();
      if (!extended_ && now - timer_.expiry() > kMaxTimerDelay) {
        extended_ = true;
        Start(now + kGraceAfterPause);
        return;
      }
      expired_ = true;
      boost::system::error_code ignored;
      socket_->cancel(ignored);
    }

    boost::asio::steady_timer timer_;
    boost::asio::ip::tcp::socket* socket_;
    bool extended_ = false;
    bool expired_ = false;
  };

  std::shared_ptr<State> state_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SOCKET_DEADLINE_H_
