#include "gooseberrylift-http-session.h"

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

Error ErrorOfRead(const boost::system::error_code& aCode)
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

HttpRequest RequestOf(http::request<http::string_body>&& aMessage)
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
void FillHead(http::response<Body>& aMessage, const HttpResponse& aResponse)
{
  aMessage.result(static_cast<unsigned>(aResponse.status_));
  for (const HttpField& field : aResponse.fields_) {
    aMessage.insert(field.name_, field.value_);
  }
}

// One connection. Everything in it runs on the socket's strand.
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
    bool going = co_await ReadRequest();
    while (going) {
      co_await Handle();
      SetBusy(false);
      going = reusable_ && !server_->draining_;
      if (going) {
        going = co_await ReadRequest();
      }
    }
    SetBusy(false);
    co_await Linger();
  }

  void CloseFromOutside(bool aOnlyIdle) override
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

  void AbortFromOutside(AbortReason aReason) override
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
    started_ = true; // nothing is to be sent any more
    reusable_ = false;
    boost::system::error_code ignored;
    socket_.close(ignored);
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
    FillHead(message, aResponse);
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
    NoteStall(guard);
    reusable_ = !code && message.keep_alive();
    co_return !code;
  }

  asio::awaitable<bool> StartStream(HttpResponse aHead) override
  {
    http::response<http::empty_body> message;
    message.version(11);
    FillHead(message, aHead);
    message.keep_alive(keepAlive_ && !server_->draining_);
    message.chunked(true);
    started_ = true;
    streamKeepsAlive_ = message.keep_alive();
    http::response_serializer<http::empty_body> serializer(message);
    const SocketDeadline guard = WriteGuard();
    const auto [code, size] =
      co_await http::async_write_header(socket_, serializer, kAwait);
    co_return !code;
  }

  asio::awaitable<bool> Write(std::string_view aPiece) override
  {
    if (aPiece.empty()) {
      co_return true; // an empty chunk would end the stream
    }
    const SocketDeadline guard = WriteGuard();
    const auto [code, size] = co_await asio::async_write(
      socket_,
      http::make_chunk(asio::const_buffer(aPiece.data(), aPiece.size())),
      kAwait);
    NoteStall(guard);
    co_return !code;
  }

  asio::awaitable<bool> Finish() override
  {
    const SocketDeadline guard = WriteGuard();
    const auto [code, size] =
      co_await asio::async_write(socket_, http::make_chunk_last(), kAwait);
    reusable_ = !code && streamKeepsAlive_;
    co_return !code;
  }

private:
  // From a request's first byte to its answer's last, so that a planned stop
  // waits for a body that is still coming as well as for a running handler.
  void SetBusy(bool aBusy)
  {
    if (busy_ != aBusy) {
      busy_ = aBusy;
      server_->active_ += aBusy ? 1 : -1;
    }
  }

  // Bytes that have arrived and were not read yet are a request as well; a
  // close on top of them would reset it.
  bool IsIdle() const
  {
    boost::system::error_code ignored;
    return idle_ && socket_.available(ignored) == 0;
  }

  SocketDeadline WriteGuard()
  {
    return { socket_,
             socket_.get_executor(),
             TimerService::Now() + server_->options_.writeTimeout_ };
  }

  void NoteStall(const SocketDeadline& aGuard)
  {
    if (aGuard.Expired() && reason_ == AbortReason::kNone) {
      reason_ = AbortReason::kCallerStalled;
    }
  }

  // Reads the next request. False when the connection is done with.
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
    request_ = RequestOf(parser.release());
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
      co_await RefuseRead(code, guard.Expired());
    }
    co_return !code;
  }

  asio::awaitable<bool> ReadBody(
    http::request_parser<http::string_body>& aParser)
  {
    if (beast::iequals(aParser.get()[http::field::expect], "100-continue")) {
      http::response<http::empty_body> proceed(http::status::continue_, 11);
      co_await http::async_write(socket_, proceed, kAwait);
    }
    const SocketDeadline guard(socket_,
                               socket_.get_executor(),
                               TimerService::Now() +
                                 server_->options_.bodyTimeout_);
    const auto [code, size] =
      co_await http::async_read(socket_, buffer_, aParser, kAwait);
    if (code) {
      co_await RefuseRead(code, guard.Expired());
    }
    co_return !code;
  }

  // Answers a request that could not be read.
  asio::awaitable<void> RefuseRead(boost::system::error_code aCode,
                                   bool aTooSlow)
  {
    keepAlive_ = false;
    request_ = {};
    if (aTooSlow) {
      co_await Send(ErrorResponse(MakeError(ResultCode::kCallerTooSlow), {}));
    } else if (aCode.category() ==
                 http::make_error_code(http::error::bad_method).category() &&
               aCode != http::error::end_of_stream) {
      co_await Send(ErrorResponse(ErrorOfRead(aCode), {}));
    }
  }

  asio::awaitable<void> Handle()
  {
    WatchCaller();
    const auto [failure] = co_await asio::co_spawn(
      socket_.get_executor(),
      server_->handler_(*this),
      asio::bind_cancellation_slot(signal_.slot(),
                                   asio::as_tuple(asio::use_awaitable)));
    deadline_.Cancel();
    watching_.reset();
    boost::system::error_code ignored;
    socket_.cancel(ignored);
    if (!started_ && reason_ != AbortReason::kCallerLeft) {
      Error error = MakeError(ResultCodeOf(reason_, ResultCode::kInternal));
      error.ran_ = RanState::kUnknown;
      co_await Send(ErrorResponse(error, {}));
    }
  }

  // Notices that the caller closed while its request is in work. Bytes that
  // arrive meanwhile are the next request; they end the watch, since a close
  // behind them can't be seen without reading them.
  void WatchCaller()
  {
    watching_ = std::make_shared<bool>(true);
    if (buffer_.size() > 0) {
      return;
    }
    socket_.async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this(), watching = std::weak_ptr(watching_)](
        const boost::system::error_code& aCode) {
        if (aCode || watching.expired()) {
          return;
        }
        char byte = 0;
        boost::system::error_code code;
        self->socket_.non_blocking(true, code);
        const std::size_t size = self->socket_.receive(
          asio::buffer(&byte, 1), tcp::socket::message_peek, code);
        if (size == 0 && code != asio::error::would_block) {
          self->Abort(AbortReason::kCallerLeft);
        }
      });
  }

  void Abort(AbortReason aReason)
  {
    if (!watching_ || reason_ != AbortReason::kNone) {
      return;
    }
    reason_ = aReason;
    if (aReason == AbortReason::kCallerLeft && keepRunning_) {
      return;
    }
    signal_.emit(asio::cancellation_type::terminal);
  }

  // Closes so that the last answer arrives: a close with unread bytes in the
  // socket resets the connection and can destroy an answer under way.
  asio::awaitable<void> Linger()
  {
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    const SocketDeadline guard(
      socket_, socket_.get_executor(), TimerService::Now() + kLinger);
    std::array<char, kReadBytes> sink;
    while (true) {
      const auto [code, size] =
        co_await socket_.async_read_some(asio::buffer(sink), kAwait);
      if (code) {
        break;
      }
    }
    socket_.close(ignored);
  }

  static constexpr std::size_t kReadBytes = 4096;
  static constexpr std::chrono::milliseconds kLinger{ 1000 };

  std::shared_ptr<HttpServerState> server_;
  tcp::socket socket_;
  std::string peer_;
  beast::flat_buffer buffer_;
  HttpRequest request_;
  asio::cancellation_signal signal_;
  std::shared_ptr<bool> watching_;
  TimerSubscription deadline_;
  AbortReason reason_ = AbortReason::kNone;
  bool idle_ = false;
  bool busy_ = false;
  bool keepAlive_ = true;
  bool started_ = false;
  bool reusable_ = false;
  bool streamKeepsAlive_ = false;
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
