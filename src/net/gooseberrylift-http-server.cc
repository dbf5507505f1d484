#include "gooseberrylift/internal/gooseberrylift-http-server.h"

#include <algorithm>
#include <atomic>
#include <vector>

#include <boost/asio.hpp>

#include "gooseberrylift-http-session.h"
#include "gooseberrylift-listener-close.h"
#include "gooseberrylift/internal/gooseberrylift-listener.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// How long handshakes under way may take once new ones are dropped. Callers
// whose handshakes are dropped try again after a second.
constexpr std::chrono::milliseconds kHandshakeTime{ 20 };
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
    if (!state_->options_.budget_) {
      state_->options_.budget_ =
        std::make_shared<SharedMemoryBudget>(MemoryBudget::Options{});
    }
    state_->handler_ = std::move(aHandler);
  }

  boost::system::error_code Listen(std::uint16_t aPort);
  asio::awaitable<void> AcceptLoop();
  bool HasRoom();
  bool MakeRoom();
  std::size_t MaxRejections() const;
  asio::awaitable<bool> WaitForRoom();
  void Serve(tcp::socket aSocket);
  void StartRejection(tcp::socket aSocket);
  void StopAccepting();
  asio::awaitable<void> CloseListener();
  void SetPhase(DrainPhase aPhase);
  void CloseSessions();
  std::size_t CountSessions();

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
    // A connection may be accepted just before the acceptor is closed.
    if (code && !acceptor_.is_open()) {
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
    const bool serves = co_await WaitForRoom();
    if (serves) {
      Serve(std::move(socket));
    } else {
      StartRejection(std::move(socket));
    }
  }
}

bool HttpServer::Impl::HasRoom()
{
  return CountSessions() < state_->options_.maxConnections_;
}

// Lets a connection that waits for its client close. Returns false if there is
// none, or if as many close already as may be open beyond the limit.
bool HttpServer::Impl::MakeRoom()
{
  if (state_->makingRoom_ >= MaxRejections()) {
    return false;
  }
  const std::lock_guard lock(state_->mutex_);
  std::vector<HttpSession*> sessions;
  std::vector<WaitingConnection> waiting;
  for (HttpSession* session : state_->sessions_) {
    if (const auto connection = session->Waiting()) {
      sessions.push_back(session);
      waiting.push_back(*connection);
    }
  }
  const auto chosen = ChooseConnectionToClose(waiting, TimerService::Now());
  if (!chosen) {
    return false;
  }
  sessions[*chosen]->PostMakeRoom();
  return true;
}

// The number of connections that may be open beyond the limit, to be rejected
// or to be closed for others.
std::size_t HttpServer::Impl::MaxRejections() const
{
  return std::clamp<std::size_t>(state_->options_.maxConnections_ / 4, 1, 16);
}

// Returns whether the next connection is served rather than rejected. While the
// server can do neither, connections wait in the queue of the operating system,
// where they use no descriptors.
asio::awaitable<bool> HttpServer::Impl::WaitForRoom()
{
  while (true) {
    if (HasRoom() || MakeRoom()) {
      co_return true;
    }
    if (*rejections_ < MaxRejections()) {
      co_return false;
    }
    co_await TimerService::SleepFor(kRoomPollInterval);
  }
}

void HttpServer::Impl::Serve(tcp::socket aSocket)
{
  StartHttpSession(state_, std::move(aSocket));
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

// Must run on the acceptor's strand.
asio::awaitable<void> HttpServer::Impl::CloseListener()
{
  if (acceptor_.is_open() && DropNewHandshakes(acceptor_)) {
    co_await TimerService::SleepFor(kHandshakeTime);
  }
  AcceptQueued(
    acceptor_,
    [this] { return asio::make_strand(executor_); },
    [this](tcp::socket aSocket) {
      if (HasRoom()) {
        Serve(std::move(aSocket));
      } else {
        StartRejection(std::move(aSocket));
      }
    });
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

void HttpServer::Impl::SetPhase(DrainPhase aPhase)
{
  state_->phase_ = aPhase;
  const std::lock_guard lock(state_->mutex_);
  for (HttpSession* session : state_->sessions_) {
    session->PostPhase();
  }
}

void HttpServer::Impl::CloseSessions()
{
  const std::lock_guard lock(state_->mutex_);
  for (HttpSession* session : state_->sessions_) {
    session->PostClose();
  }
}

std::size_t HttpServer::Impl::CountSessions()
{
  const std::lock_guard lock(state_->mutex_);
  return state_->sessions_.size();
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

asio::awaitable<HttpServer::DrainReport> HttpServer::Drain(
  DrainOptions aOptions)
{
  constexpr std::chrono::milliseconds kPollInterval{ 20 };
  const auto impl = impl_;
  impl->state_->drainLimit_ = aOptions.limit_;
  impl->SetPhase(DrainPhase::kLag);
  co_await TimerService::SleepFor(aOptions.lag_);
  if (aOptions.onClosing_) {
    aOptions.onClosing_(impl->CountSessions());
  }
  impl->state_->closingSince_ = TimerService::Now();
  impl->SetPhase(DrainPhase::kClosing);
  co_await asio::co_spawn(
    impl->acceptor_.get_executor(), impl->CloseListener(), asio::use_awaitable);
  while (impl->CountSessions() > 0 && TimerService::Now() < aOptions.limit_) {
    co_await TimerService::SleepFor(kPollInterval);
  }
  const DrainCounts& counts = impl->state_->drainCounts_;
  const DrainReport report{ .accepted_ = counts.Accepted(),
                            .idleClosed_ = counts.IdleClosed(),
                            .refused_ = counts.Refused(),
                            .active_ = ActiveRequests(),
                            .connections_ = impl->CountSessions() };
  co_return report;
}

std::size_t HttpServer::ActiveRequests() const
{
  return static_cast<std::size_t>(impl_->state_->active_);
}

std::size_t HttpServer::Connections() const
{
  return impl_->CountSessions();
}

void HttpServer::Abort()
{
  impl_->SetPhase(DrainPhase::kEnding);
}

void HttpServer::Close()
{
  impl_->state_->phase_ = DrainPhase::kEnding;
  impl_->StopAccepting();
  impl_->CloseSessions();
}

} // namespace gooseberrylift
