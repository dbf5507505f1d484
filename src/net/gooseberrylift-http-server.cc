#include "gooseberrylift/internal/gooseberrylift-http-server.h"

#include <algorithm>
#include <atomic>

#include <boost/asio.hpp>

#include "gooseberrylift-http-session.h"
#include "gooseberrylift/internal/gooseberrylift-listener.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

constexpr std::chrono::milliseconds kAcceptRetryDelay{ 50 };
constexpr std::chrono::milliseconds kRoomPollInterval{ 10 };

} // namespace

std::string_view NameOf(AbortReason aReason)
{
  switch (aReason) {
    case AbortReason::kNone:
      return "none";
    case AbortReason::kCallerLeft:
      return "caller-left";
    case AbortReason::kCallerStalled:
      return "caller-stalled";
    case AbortReason::kDeadline:
      return "deadline";
    case AbortReason::kStopping:
      break;
  }
  return "stopping";
}

ResultCode ResultCodeOf(AbortReason aReason, ResultCode aDefault)
{
  switch (aReason) {
    case AbortReason::kDeadline:
      return ResultCode::kDeadlineExceeded;
    case AbortReason::kStopping:
      return ResultCode::kShuttingDown;
    default:
      return aDefault;
  }
}

class HttpServer::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(asio::any_io_executor aExecutor, Options aOptions, HttpHandler aHandler)
    : executor_(std::move(aExecutor))
    , acceptor_(asio::make_strand(executor_))
  {
    state_->limits_ = { .maxHeaderBytes_ = aOptions.maxHeaderBytes_,
                        .maxBodyBytes_ = aOptions.maxBodyBytes_,
                        .headerTimeout_ = aOptions.headerTimeout_,
                        .idleTimeout_ = aOptions.idleTimeout_ };
    state_->options_ = std::move(aOptions);
    state_->handler_ = std::move(aHandler);
  }

  boost::system::error_code Listen(std::uint16_t aPort);
  asio::awaitable<void> AcceptLoop();
  bool HasRoom();
  asio::awaitable<void> WaitForRoom();
  void StartRejection(tcp::socket aSocket);
  void StopAccepting();
  void CloseSessions(bool aOnlyIdle);
  void AbortSessions();

  asio::any_io_executor executor_;
  std::shared_ptr<HttpServerState> state_ = std::make_shared<HttpServerState>();
  tcp::acceptor acceptor_;
  std::atomic<std::uint16_t> port_ = 0;
  // The number of connections that are being rejected.
  std::shared_ptr<std::atomic<std::size_t>> rejections_ =
    std::make_shared<std::atomic<std::size_t>>(0);
};

boost::system::error_code HttpServer::Impl::Listen(std::uint16_t aPort)
{
  const auto error = OpenAcceptor(acceptor_, state_->options_.address_, aPort);
  if (!error) {
    port_ = acceptor_.local_endpoint().port();
    SpawnLoop(acceptor_.get_executor(),
              [self = shared_from_this()] { return self->AcceptLoop(); });
  }
  return error;
}

asio::awaitable<void> HttpServer::Impl::AcceptLoop()
{
  while (acceptor_.is_open()) {
    auto [code, socket] =
      co_await acceptor_.async_accept(asio::make_strand(executor_), kAwait);
    if (code == asio::error::operation_aborted || !acceptor_.is_open()) {
      co_return;
    }
    if (code) {
      if (state_->options_.onAcceptError_) {
        state_->options_.onAcceptError_(code);
      }
      // Accepting fails while no file descriptors are left. The delay keeps
      // the loop from spinning.
      co_await TimerService::SleepFor(kAcceptRetryDelay);
      continue;
    }
    co_await WaitForRoom();
    if (HasRoom()) {
      StartHttpSession(state_, std::move(socket));
    } else {
      StartRejection(std::move(socket));
    }
  }
}

bool HttpServer::Impl::HasRoom()
{
  const std::lock_guard lock(state_->mutex_);
  return state_->sessions_.size() < state_->options_.maxConnections_;
}

// While the server neither serves nor rejects another connection, further ones
// wait in the queue of the operating system, where they use no descriptors.
asio::awaitable<void> HttpServer::Impl::WaitForRoom()
{
  const std::size_t maxRejections =
    std::clamp<std::size_t>(state_->options_.maxConnections_ / 4, 1, 16);
  while (*rejections_ >= maxRejections && !HasRoom()) {
    co_await TimerService::SleepFor(kRoomPollInterval);
  }
}

void HttpServer::Impl::StartRejection(tcp::socket aSocket)
{
  const auto executor = aSocket.get_executor();
  ++*rejections_;
  const std::shared_ptr<void> counted(
    nullptr, [count = rejections_](void*) { --*count; });
  const auto socket = std::make_shared<tcp::socket>(std::move(aSocket));
  SpawnTask(executor, [counted, socket]() -> asio::awaitable<void> {
    co_await RejectConnection(std::move(*socket));
  });
}

void HttpServer::Impl::StopAccepting()
{
  asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
    boost::system::error_code ignored;
    self->acceptor_.close(ignored);
  });
}

void HttpServer::Impl::CloseSessions(bool aOnlyIdle)
{
  const std::lock_guard lock(state_->mutex_);
  for (HttpSession* session : state_->sessions_) {
    session->PostClose(aOnlyIdle);
  }
}

void HttpServer::Impl::AbortSessions()
{
  const std::lock_guard lock(state_->mutex_);
  for (HttpSession* session : state_->sessions_) {
    session->PostAbort(AbortReason::kStopping);
  }
}

HttpServer::HttpServer(asio::any_io_executor aExecutor,
                       Options aOptions,
                       HttpHandler aHandler)
  : impl_(std::make_shared<Impl>(std::move(aExecutor),
                                 std::move(aOptions),
                                 std::move(aHandler)))
{
}

HttpServer::~HttpServer()
{
  Close();
}

boost::system::error_code HttpServer::Listen()
{
  return Listen(impl_->state_->options_.port_);
}

boost::system::error_code HttpServer::Listen(std::uint16_t aPort)
{
  return impl_->Listen(aPort);
}

void HttpServer::SetLimits(const Limits& aLimits)
{
  const std::lock_guard lock(impl_->state_->mutex_);
  impl_->state_->limits_ = aLimits;
}

std::uint16_t HttpServer::Port() const
{
  return impl_->port_;
}

asio::awaitable<std::size_t> HttpServer::Drain(
  std::chrono::milliseconds aGracePeriod,
  TimePoint aDeadline)
{
  constexpr std::chrono::milliseconds kPollInterval{ 20 };
  impl_->state_->draining_ = true;
  co_await TimerService::SleepFor(aGracePeriod);
  impl_->StopAccepting();
  impl_->CloseSessions(true);
  while (impl_->state_->active_ > 0 && TimerService::Now() < aDeadline) {
    co_await TimerService::SleepFor(kPollInterval);
  }
  co_return ActiveRequests();
}

std::size_t HttpServer::ActiveRequests() const
{
  return static_cast<std::size_t>(impl_->state_->active_);
}

void HttpServer::Abort()
{
  impl_->state_->draining_ = true;
  impl_->AbortSessions();
}

void HttpServer::Close()
{
  impl_->state_->draining_ = true;
  impl_->StopAccepting();
  impl_->CloseSessions(false);
}

} // namespace gooseberrylift
