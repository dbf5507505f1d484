// Bounds socket operations in time without closing the socket, so that a
// server can still say why it gave up.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SOCKET_DEADLINE_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SOCKET_DEADLINE_H_

#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// Cancels what a socket awaits when a time comes, while it lives. It must live
// and die on the socket's strand.
class SocketDeadline
{
public:
  SocketDeadline(boost::asio::ip::tcp::socket& aSocket,
                 const boost::asio::any_io_executor& aStrand,
                 TimePoint aDeadline)
    : state_(std::make_shared<State>(aSocket, aStrand))
  {
    state_->timer_.expires_at(aDeadline);
    state_->timer_.async_wait(
      [state = state_](const boost::system::error_code& aCode) {
        if (aCode || state->socket_ == nullptr) {
          return;
        }
        state->expired_ = true;
        boost::system::error_code ignored;
        state->socket_->cancel(ignored);
      });
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
  struct State
  {
    State(boost::asio::ip::tcp::socket& aSocket,
          const boost::asio::any_io_executor& aStrand)
      : timer_(aStrand)
      , socket_(&aSocket)
    {
    }
    boost::asio::steady_timer timer_;
    boost::asio::ip::tcp::socket* socket_;
    bool expired_ = false;
  };

  std::shared_ptr<State> state_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_SOCKET_DEADLINE_H_
