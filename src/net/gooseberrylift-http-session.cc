#include "gooseberrylift-http-session.h"

#include <poll.h>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include "gooseberrylift/internal/gooseberrylift-socket-deadline.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

Error MakeReadError(const boost::system::error_code& aCode)
{
  if (aCode == http::error::body_limit) {
    return { .code_ = ResultCode::kBodyTooLarge };
  }
  if (aCode == http::error::header_limit ||
      aCode == http::error::buffer_overflow) {
    return { .code_ = ResultCode::kHeadersTooLarge };
  }
  return { .code_ = ResultCode::kMalformedHttp, .text_ = aCode.message() };
}

HttpRequest ToHttpRequest(http::request<http::string_body>&& aMessage)
{
  HttpRequest request{ .method_ = std::string(aMessage.method_string()),
                       .target_ = std::string(aMessage.target()) };
  for (const auto& field : aMessage) {
    request.fields_.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  request.body_ = std::move(aMessage.body());
  return request;
}

template<typename Body>
void CopyHead(http::response<Body>& aMessage, const HttpResponse& aResponse)
{
  aMessage.result(static_cast<unsigned>(aResponse.status_));
  for (const HttpField& field : aResponse.fields_) {
    aMessage.insert(field.name_, field.value_);
  }
}

// A connection. All members run on the socket's strand except the constructor,
// the destructor and the Post functions.
class Connection
  : public HttpExchange
  , public HttpSession
  , public std::enable_shared_from_this<Connection>
{
public:
  Connection(std::shared_ptr<HttpServerState> aServer, tcp::socket aSocket)
    : server_(std::move(aServer))
    , socket_(std::move(aSocket))
  {
    boost::system::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    const tcp::endpoint peer = socket_.remote_endpoint(ignored);
    peer_ = peer.address().to_string() + ":" + std::to_string(peer.port());
    const std::lock_guard lock(server_->mutex_);
    server_->sessions_.insert(this);
  }

  ~Connection() override
  {
    const std::lock_guard lock(server_->mutex_);
    server_->sessions_.erase(this);
  }

  asio::awaitable<void> Run()
  {
    bool hasRequest = co_await ReadRequest();
    while (hasRequest) {
      co_await Handle();
      SetBusy(false);
      hasRequest = reusable_ && !server_->draining_;
      if (hasRequest) {
        hasRequest = co_await ReadRequest();
      }
    }
    SetBusy(false);
    co_await Linger();
  }

  void PostClose(bool aOnlyIdle) override
  {
    asio::post(socket_.get_executor(), [self = weak_from_this(), aOnlyIdle] {
      const auto session = self.lock();
      if (!session || (aOnlyIdle && !session->IsIdle())) {
        return;
      }
      boost::system::error_code ignored;
      session->socket_.close(ignored);
    });
  }

  void PostAbort(AbortReason aReason) override
  {
    asio::post(socket_.get_executor(), [self = weak_from_this(), aReason] {
      if (const auto session = self.lock()) {
        session->Abort(aReason);
      }
    });
  }

  const HttpRequest& Request() const override { return request_; }
  HttpRequest& MutableRequest() override { return request_; }
  const std::string& Peer() const override { return peer_; }
  bool ResponseStarted() const override { return started_; }
  AbortReason Reason() const override { return reason_; }
  void KeepRunningWithoutCaller() override { keepRunning_ = true; }

  void Disconnect() override
  {
    started_ = true; // prevents further responses
    reusable_ = false;
    boost::system::error_code ignored;
    socket_.close(ignored);
  }

  bool HasCallerLeft() override
  {
    const bool isClosed = IsClosedByCaller();
    if (isClosed && reason_ == AbortReason::kNone) {
      reason_ = AbortReason::kCallerLeft;
    }
    return isClosed;
  }

  void SetDeadline(TimePoint aDeadline) override
  {
    deadline_ = TimerService::At(
      aDeadline, socket_.get_executor(), [self = weak_from_this()] {
        if (const auto session = self.lock()) {
          session->Abort(AbortReason::kDeadline);
        }
      });
  }

  asio::awaitable<bool> Send(HttpResponse aResponse) override
  {
    http::response<http::string_body> message;
    message.version(11);
    CopyHead(message, aResponse);
    message.keep_alive(keepAlive_ && !server_->draining_);
    message.body() = std::move(aResponse.body_);
    message.content_length(message.body().size());
    started_ = true;
    http::response_serializer<http::string_body> serializer(message);
    serializer.split(false);
    if (request_.method_ == "HEAD") {
      message.body().clear();
    }
    const SocketDeadline guard = WriteGuard();
    const auto [code, size] =
      co_await http::async_write(socket_, serializer, kAwait);
    RecordWriteTimeout(guard);
    reusable_ = !code && message.keep_alive();
    co_return !code;
  }

  asio::awaitable<bool> StartStream(HttpResponse aHead) override
  {
    http::response<http::empty_body> message;
    message.version(11);
    CopyHead(message, aHead);
    message.keep_alive(keepAlive_ && !server_->draining_);
    message.chunked(true);
    started_ = true;
    streamKeepAlive_ = message.keep_alive();
    http::response_serializer<http::empty_body> serializer(message);
    const SocketDeadline guard = WriteGuard();
    const auto [code, size] =
      co_await http::async_write_header(socket_, serializer, kAwait);
    RecordWriteTimeout(guard);
    co_return !code;
  }

  asio::awaitable<bool> Write(std::string_view aChunk) override
  {
    if (aChunk.empty()) {
      co_return true; // an empty chunk would end the stream
    }
    const SocketDeadline guard = WriteGuard();
    const auto [code, size] = co_await asio::async_write(
      socket_,
      http::make_chunk(asio::const_buffer(aChunk.data(), aChunk.size())),
      kAwait);
    RecordWriteTimeout(guard);
    co_return !code;
  }

  asio::awaitable<bool> Finish() override
  {
    const SocketDeadline guard = WriteGuard();
    const auto [code, size] =
      co_await asio::async_write(socket_, http::make_chunk_last(), kAwait);
    RecordWriteTimeout(guard);
    reusable_ = !code && streamKeepAlive_;
    co_return !code;
  }

private:
  // A connection is busy from the first byte of a request to the last byte of
  // its response, so that Drain waits for a body that is still being received
  // as well as for a running handler.
  void SetBusy(bool aBusy)
  {
    if (busy_ != aBusy) {
      busy_ = aBusy;
      server_->active_ += aBusy ? 1 : -1;
    }
  }

  // A connection with unread bytes is not idle. The bytes belong to a request,
  // which a close would reset.
  bool IsIdle() const
  {
    boost::system::error_code ignored;
    return idle_ && socket_.available(ignored) == 0;
  }

  // Sees a close even if unread bytes precede it.
  bool IsClosedByCaller()
  {
    pollfd closed{ .fd = socket_.native_handle(), .events = POLLRDHUP };
    return socket_.is_open() && ::poll(&closed, 1, 0) > 0 &&
           closed.revents != 0;
  }

  SocketDeadline WriteGuard()
  {
    return { socket_,
             socket_.get_executor(),
             TimerService::Now() + server_->options_.writeTimeout_ };
  }

  void RecordWriteTimeout(const SocketDeadline& aGuard)
  {
    if (aGuard.Expired() && reason_ == AbortReason::kNone) {
      reason_ = AbortReason::kCallerStalled;
    }
  }

  // Reads the next request. Returns false if the connection has to be closed.
  asio::awaitable<bool> ReadRequest()
  {
    if (buffer_.size() == 0) {
      const bool arrived = co_await WaitForBytes();
      if (!arrived) {
        co_return false;
      }
    }
    SetBusy(true);
    const HttpServer::Limits limits = server_->Limits();
    http::request_parser<http::string_body> parser;
    parser.header_limit(limits.maxHeaderBytes_);
    parser.body_limit(limits.maxBodyBytes_);
    const bool headerRead = co_await ReadHeader(parser);
    if (!headerRead) {
      co_return false;
    }
    const bool bodyRead = co_await ReadBody(parser);
    if (!bodyRead) {
      co_return false;
    }
    keepAlive_ = parser.keep_alive();
    request_ = ToHttpRequest(parser.release());
    started_ = false;
    reusable_ = false;
    keepRunning_ = false;
    reason_ = AbortReason::kNone;
    co_return true;
  }

  asio::awaitable<bool> WaitForBytes()
  {
    idle_ = true;
    const SocketDeadline guard(socket_,
                               socket_.get_executor(),
                               TimerService::Now() +
                                 server_->Limits().idleTimeout_);
    const auto [code, size] =
      co_await socket_.async_read_some(buffer_.prepare(kReadBytes), kAwait);
    idle_ = false;
    buffer_.commit(size);
    co_return !code;
  }

  asio::awaitable<bool> ReadHeader(
    http::request_parser<http::string_body>& aParser)
  {
    const SocketDeadline guard(socket_,
                               socket_.get_executor(),
                               TimerService::Now() +
                                 server_->Limits().headerTimeout_);
    const auto [code, size] =
      co_await http::async_read_header(socket_, buffer_, aParser, kAwait);
    if (code) {
      co_await RejectRequest(code, guard.Expired());
    }
    co_return !code;
  }

  asio::awaitable<bool> ReadBody(
    http::request_parser<http::string_body>& aParser)
  {
    if (beast::iequals(aParser.get()[http::field::expect], "100-continue")) {
      http::response<http::empty_body> continueResponse(http::status::continue_,
                                                        11);
      co_await http::async_write(socket_, continueResponse, kAwait);
    }
    const SocketDeadline guard(socket_,
                               socket_.get_executor(),
                               TimerService::Now() +
                                 server_->options_.bodyTimeout_);
    const auto [code, size] =
      co_await http::async_read(socket_, buffer_, aParser, kAwait);
    if (code) {
      co_await RejectRequest(code, guard.Expired());
    }
    co_return !code;
  }

  // Responds to a request that could not be read.
  asio::awaitable<void> RejectRequest(boost::system::error_code aCode,
                                      bool aTimedOut)
  {
    keepAlive_ = false;
    request_ = {};
    if (aTimedOut) {
      co_await Send(ErrorResponse(MakeError(ResultCode::kCallerTooSlow), {}));
    } else if (aCode.category() ==
                 http::make_error_code(http::error::bad_method).category() &&
               aCode != http::error::end_of_stream) {
      co_await Send(ErrorResponse(MakeReadError(aCode), {}));
    }
  }

  asio::awaitable<void> Handle()
  {
    handlerToken_ = std::make_shared<bool>(true);
    WatchForDisconnect();
    const auto [exception] = co_await asio::co_spawn(
      socket_.get_executor(),
      server_->handler_(*this),
      asio::bind_cancellation_slot(signal_.slot(),
                                   asio::as_tuple(asio::use_awaitable)));
    ReportTaskFailure(
      asio::query(socket_.get_executor(), asio::execution::context), exception);
    deadline_.Cancel();
    disconnectCheck_.Cancel();
    handlerToken_.reset();
    boost::system::error_code ignored;
    socket_.cancel(ignored);
    if (!started_ && reason_ != AbortReason::kCallerLeft) {
      Error error = MakeError(ResultCodeOf(reason_, ResultCode::kInternal));
      error.ran_ = RanState::kUnknown;
      co_await Send(ErrorResponse(error, {}));
    }
  }

  // Detects that the caller closes the connection while its request is being
  // handled.
  void WatchForDisconnect()
  {
    socket_.async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this(), handlerToken = std::weak_ptr(handlerToken_)](
        const boost::system::error_code& aCode) {
        if (aCode || handlerToken.expired()) {
          return;
        }
        if (self->IsClosedByCaller()) {
          self->Abort(AbortReason::kCallerLeft);
        } else {
          self->WatchAgainLater();
        }
      });
  }

  // Bytes of the next request keep the socket readable until they are read.
  void WatchAgainLater()
  {
    disconnectCheck_ = TimerService::At(
      TimerService::Now() + kDisconnectCheckInterval,
      socket_.get_executor(),
      [self = weak_from_this(), handlerToken = std::weak_ptr(handlerToken_)] {
        const auto session = self.lock();
        if (session && !handlerToken.expired()) {
          session->WatchForDisconnect();
        }
      });
  }

  void Abort(AbortReason aReason)
  {
    if (!handlerToken_ || reason_ != AbortReason::kNone) {
      return;
    }
    reason_ = aReason;
    if (aReason == AbortReason::kCallerLeft && keepRunning_) {
      return;
    }
    signal_.emit(asio::cancellation_type::terminal);
  }

  // Closes the connection after reading and discarding what the caller still
  // sends. Closing a socket with unread bytes resets the connection, and the
  // caller may lose a response that is in transit.
  asio::awaitable<void> Linger()
  {
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    const SocketDeadline guard(
      socket_, socket_.get_executor(), TimerService::Now() + kLingerTimeout);
    std::array<char, kReadBytes> discarded;
    while (true) {
      const auto [code, size] =
        co_await socket_.async_read_some(asio::buffer(discarded), kAwait);
      if (code) {
        break;
      }
    }
    socket_.close(ignored);
  }

  static constexpr std::size_t kReadBytes = 4096;
  static constexpr std::chrono::milliseconds kLingerTimeout{ 1000 };
  static constexpr std::chrono::milliseconds kDisconnectCheckInterval{ 100 };

  std::shared_ptr<HttpServerState> server_;
  tcp::socket socket_;
  std::string peer_;
  beast::flat_buffer buffer_;
  HttpRequest request_;
  asio::cancellation_signal signal_;
  std::shared_ptr<bool> handlerToken_;
  TimerSubscription deadline_;
  TimerSubscription disconnectCheck_;
  AbortReason reason_ = AbortReason::kNone;
  bool idle_ = false;
  bool busy_ = false;
  bool keepAlive_ = true;
  bool started_ = false;
  bool reusable_ = false;
  bool streamKeepAlive_ = false;
  bool keepRunning_ = false;
};

} // namespace

void StartHttpSession(std::shared_ptr<HttpServerState> aState,
                      tcp::socket aSocket)
{
  const auto executor = aSocket.get_executor();
  auto connection =
    std::make_shared<Connection>(std::move(aState), std::move(aSocket));
  SpawnTask(executor, [connection]() -> asio::awaitable<void> {
    co_await connection->Run();
  });
}

} // namespace gooseberrylift
