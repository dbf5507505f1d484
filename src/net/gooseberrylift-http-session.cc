#include "gooseberrylift-http-session.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <optional>
#include <utility>

#include <poll.h>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include "gooseberrylift-http-message.h"
#include "gooseberrylift-transfer-coding.h"
#include "gooseberrylift-unparsed-limit.h"
#include "gooseberrylift/internal/gooseberrylift-listener.h"
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
    server_->drainCounts_.OnAccepted(server_->phase_);
    const std::lock_guard lock(server_->mutex_);
    server_->sessions_.insert(this);
  }

  ~Connection() override
  {
    const std::lock_guard lock(server_->mutex_);
    server_->sessions_.erase(this);
    StopMakingRoom();
  }

  asio::awaitable<void> Run()
  {
    bool hasRequest = co_await ReadRequest();
    while (hasRequest) {
      co_await Handle();
      Release();
      SetBusy(false);
      hasRequest = reusable_;
      if (hasRequest) {
        hasRequest = co_await ReadRequest();
      }
    }
    Release();
    SetBusy(false);
    co_await Linger();
  }

  void PostClose() override
  {
    asio::post(socket_.get_executor(), [self = weak_from_this()] {
      boost::system::error_code ignored;
      if (const auto session = self.lock()) {
        session->socket_.close(ignored);
      }
    });
  }

  void PostPhase() override
  {
    asio::post(socket_.get_executor(), [self = weak_from_this()] {
      if (const auto session = self.lock()) {
        session->OnPhase();
      }
    });
  }

  std::optional<WaitingConnection> Waiting() const override
  {
    const Stage stage = stage_;
    if (makesRoom_ || (stage != Stage::kIdle && stage != Stage::kReading)) {
      return std::nullopt;
    }
    return WaitingConnection{ .isIdle_ = stage == Stage::kIdle,
                              .since_ = stageSince_ };
  }

  void PostMakeRoom() override
  {
    makesRoom_ = true;
    ++server_->makingRoom_;
    asio::post(socket_.get_executor(), [self = weak_from_this()] {
      if (const auto session = self.lock()) {
        session->MakeRoom();
      }
    });
  }

  const HttpRequest& Request() const override { return request_; }
  HttpRequest& MutableRequest() override { return request_; }
  const std::string& Peer() const override { return peer_; }
  bool ResponseStarted() const override { return started_; }
  AbortReason Reason() const override { return reason_; }
  std::optional<TimePoint> LatestEnd() const override { return latestEnd_; }
  void KeepRunningWithoutCaller() override { keepRunning_ = true; }

  bool TryHoldMemory(std::uint64_t aBytes) override
  {
    const std::uint64_t before = std::exchange(held_.handler_, aBytes);
    const bool fits = TryHold();
    held_.handler_ = fits ? aBytes : before;
    return fits;
  }

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
    message.keep_alive(KeepsConnection());
    server_->drainCounts_.OnResponse(server_->phase_, aResponse.status_);
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
    reusable_ = !code && message.keep_alive() && !discards_;
    co_return !code;
  }

  asio::awaitable<bool> StartStream(HttpResponse aHead) override
  {
    http::response<http::empty_body> message;
    message.version(11);
    CopyHead(message, aHead);
    message.keep_alive(KeepsConnection());
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
    reusable_ = !code && streamKeepAlive_ && !discards_;
    co_return !code;
  }

private:
  // What the connection awaits.
  enum class Stage
  {
    kIdle,
    kReading,
    kHandling,
    kLingering
  };

  void SetStage(Stage aStage)
  {
    stage_ = aStage;
    stageSince_ = TimerService::Now();
  }

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

  // Applies the present phase to what this connection awaits.
  void OnPhase()
  {
    const bool ending = server_->phase_ == DrainPhase::kEnding;
    if (stage_ == Stage::kIdle || stage_ == Stage::kLingering ||
        (ending && stage_ == Stage::kReading)) {
      boost::system::error_code ignored;
      socket_.cancel(ignored);
    }
    if (ending) {
      Abort(AbortReason::kStopping);
    }
  }

  bool HasUnreadBytes() const
  {
    boost::system::error_code ignored;
    return buffer_.size() > 0 || socket_.available(ignored) > 0;
  }

  bool KeepsConnection() const
  {
    const DrainPhase phase = server_->phase_;
    return keepAlive_ && !discards_ &&
           gooseberrylift::KeepsConnection(
             phase, phase != DrainPhase::kServing && HasUnreadBytes());
  }

  TimePoint IdleDeadline() const
  {
    const TimePoint idleSince = stageSince_;
    const TimePoint limit = idleSince + server_->Limits().idleTimeout_;
    const auto drainLimit =
      IdleLimit(server_->phase_, idleSince, server_->closingSince_);
    return std::min(limit, drainLimit.value_or(limit));
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

  using Parser = http::request_parser<http::buffer_body>;

  // The bytes that are held for the present request.
  struct HeldBytes
  {
    std::uint64_t buffer_ = 0; // received and not parsed yet
    std::uint64_t fields_ = 0;
    std::uint64_t body_ = 0;
    std::uint64_t handler_ = 0;
    std::uint64_t unread_ = 0; // behind the request, in the socket

    std::uint64_t Sum() const
    {
      return buffer_ + fields_ + body_ + handler_ + unread_;
    }
  };

  // A body that accounts for its bytes as long as it exists.
  struct HeldBody
  {
    std::string text_;
    std::shared_ptr<SharedMemoryBudget::Share> share_;
  };

  bool TryHold() { return share_->TryHold(held_.Sum()); }

  bool TryHoldBody(std::uint64_t aBytes)
  {
    held_.body_ = aBytes;
    return TryHold();
  }

  void OpenShare()
  {
    held_ = {};
    share_ = server_->options_.budget_->Open(
      [executor = socket_.get_executor(), self = weak_from_this()] {
        asio::post(executor, [self] {
          if (const auto session = self.lock()) {
            session->GiveWay();
          }
        });
      });
  }

  // Ends the reading of a request whose bytes others need.
  void GiveWay()
  {
    if (stage_ == Stage::kReading) {
      boost::system::error_code ignored;
      socket_.cancel(ignored);
    }
  }

  // A request that is being read is refused, so that its caller knows when to
  // return.
  void MakeRoom()
  {
    boost::system::error_code ignored;
    if (stage_ == Stage::kReading) {
      socket_.cancel(ignored);
    } else if (stage_ == Stage::kIdle && !HasUnreadBytes()) {
      socket_.close(ignored);
    } else {
      StopMakingRoom();
    }
  }

  // Lets the server choose another connection.
  void StopMakingRoom()
  {
    if (makesRoom_.exchange(false)) {
      --server_->makingRoom_;
    }
  }

  // Frees what was held for a request.
  void Release()
  {
    request_ = {};
    if (buffer_.size() == 0) {
      buffer_.shrink_to_fit();
    }
    share_.reset();
  }

  // Reads the next request. Returns false if the connection has to be closed.
  asio::awaitable<bool> ReadRequest()
  {
    if (buffer_.size() == 0) {
      co_await WaitForBytes();
      if (buffer_.size() == 0) {
        co_return false;
      }
    }
    SetBusy(true);
    SetStage(Stage::kReading);
    latestEnd_ = LatestEndOfNewRequest(server_->phase_, server_->drainLimit_);
    OpenShare();
    const HttpServer::Limits limits = server_->Limits();
    Parser parser;
    parser.header_limit(limits.maxHeaderBytes_);
    parser.body_limit(limits.maxBodyBytes_);
    // The limit may have fallen since the buffered bytes were received.
    buffer_.max_size(std::max({ kMaxUnparsedBytes,
                                std::size_t{ limits.maxHeaderBytes_ },
                                buffer_.size() }) +
                     kReadBytes);
    const bool headerRead = co_await ReadHeader(parser);
    if (!headerRead) {
      co_return false;
    }
    const bool accepted = co_await CheckHead(parser);
    if (!accepted) {
      co_return false;
    }
    const bool bodyRead = co_await ReadBody(parser);
    if (!bodyRead) {
      co_return false;
    }
    SetStage(Stage::kHandling);
    StopMakingRoom(); // the request was received in time
    keepAlive_ = parser.keep_alive();
    started_ = false;
    reusable_ = false;
    keepRunning_ = false;
    reason_ = AbortReason::kNone;
    co_return true;
  }

  asio::awaitable<void> WaitForBytes()
  {
    SetStage(Stage::kIdle);
    bool waits = true;
    while (waits) {
      const SocketDeadline guard(
        socket_, socket_.get_executor(), IdleDeadline());
      const auto [code, size] =
        co_await socket_.async_read_some(buffer_.prepare(kReadBytes), kAwait);
      buffer_.commit(size);
      waits = code == asio::error::operation_aborted && socket_.is_open() &&
              (HasUnreadBytes() || TimerService::Now() < IdleDeadline());
    }
    if (buffer_.size() == 0) {
      server_->drainCounts_.OnIdleClosed(server_->phase_);
    }
  }

  // Reads more bytes into the buffer, which may grow within its maximum.
  asio::awaitable<boost::system::error_code> FillBuffer(
    const SocketDeadline& aGuard)
  {
    if (buffer_.size() + kReadBytes > buffer_.max_size()) {
      co_return http::error::buffer_overflow;
    }
    const std::size_t needed = buffer_.size() + kReadBytes;
    if (needed > buffer_.capacity()) {
      held_.buffer_ = std::max(2 * buffer_.size(), needed);
      if (!TryHold()) {
        co_return asio::error::no_memory;
      }
    }
    // What ends the reading while no operation is pending cancels none.
    if (aGuard.Expired() || makesRoom_ || share_->GaveWay()) {
      co_return asio::error::operation_aborted;
    }
    const auto [code, size] =
      co_await socket_.async_read_some(buffer_.prepare(kReadBytes), kAwait);
    buffer_.commit(size);
    co_return code;
  }

  // Lets the parser consume bytes, and reads more as long as it needs them.
  // Ends with the first part that the parser has consumed, or with an error.
  asio::awaitable<boost::system::error_code> Parse(Parser& aParser,
                                                   const SocketDeadline& aGuard)
  {
    boost::system::error_code code = http::error::need_more;
    while (code == http::error::need_more) {
      if (buffer_.size() > 0) {
        buffer_.consume(aParser.put(buffer_.data(), code));
      }
      if (code == http::error::need_more) {
        const auto readCode = co_await FillBuffer(aGuard);
        if (readCode == asio::error::eof) {
          code = EndOfInput(aParser);
        } else if (readCode) {
          code = readCode;
        }
      }
    }
    co_return code;
  }

  // Returns the error for a connection whose sending half the caller has
  // closed.
  static boost::system::error_code EndOfInput(Parser& aParser)
  {
    if (!aParser.got_some()) {
      return http::error::end_of_stream;
    }
    boost::system::error_code code;
    aParser.put_eof(code);
    return code;
  }

  asio::awaitable<bool> ReadHeader(Parser& aParser)
  {
    const SocketDeadline guard(socket_,
                               socket_.get_executor(),
                               TimerService::Now() +
                                 server_->Limits().headerTimeout_);
    boost::system::error_code code;
    while (!code && !aParser.is_header_done()) {
      code = co_await Parse(aParser, guard);
    }
    // Bytes after such a head would be read as further requests.
    if (!code && !IsTransferCodingSupported(aParser.get())) {
      code = http::error::bad_transfer_encoding;
    }
    if (!code) {
      request_ = ToHttpRequest(aParser.get());
      held_.fields_ = BytesOf(request_.fields_);
      if (!TryHold()) {
        code = asio::error::no_memory;
      }
    }
    if (code) {
      co_await RejectRequest(code, guard.Expired());
    }
    co_return !code;
  }

  // Refuses a request whose head suffices for that. The body of a small one is
  // read all the same, so that the connection stays open.
  asio::awaitable<bool> CheckHead(const Parser& aParser)
  {
    const auto length = aParser.content_length();
    const bool isSmall =
      length ? *length <= kSmallBodyBytes : !aParser.chunked();
    if (isSmall || !server_->options_.checkHead_) {
      co_return true;
    }
    auto refusal = server_->options_.checkHead_(request_, latestEnd_);
    if (!refusal) {
      co_return true;
    }
    keepAlive_ = false;
    SetStage(Stage::kHandling);
    co_await Send(std::move(*refusal));
    co_return false;
  }

  asio::awaitable<bool> ReadBody(Parser& aParser)
  {
    const SocketDeadline guard(socket_,
                               socket_.get_executor(),
                               TimerService::Now() +
                                 server_->options_.bodyTimeout_);
    const auto body = std::make_shared<HeldBody>();
    body->share_ = share_;
    boost::system::error_code code =
      co_await ReadBodyText(aParser, body->text_, guard);
    if (!code && buffer_.size() == 0) {
      buffer_.shrink_to_fit();
      held_.buffer_ = 0;
    }
    if (!code && (!TryHold() || !share_->Keep())) {
      code = asio::error::no_memory;
    }
    if (code) {
      body->text_ = {};
      co_await RejectRequest(code, guard.Expired());
      co_return false;
    }
    if (!body->text_.empty()) {
      request_.body_ =
        HttpBody(std::shared_ptr<const std::string>(body, &body->text_));
    }
    co_return true;
  }

  asio::awaitable<boost::system::error_code> ReadBodyText(
    Parser& aParser,
    std::string& aText,
    const SocketDeadline& aGuard)
  {
    const auto length = static_cast<std::size_t>(
      aParser.is_done() ? 0 : aParser.content_length().value_or(0));
    if (!TryHoldBody(length)) {
      co_return asio::error::no_memory;
    }
    aText.reserve(length);
    if (beast::iequals(request_.Field("Expect"), "100-continue")) {
      http::response<http::empty_body> continueResponse(http::status::continue_,
                                                        11);
      co_await http::async_write(socket_, continueResponse, kAwait);
    }
    aParser.eager(true);
    while (!aParser.is_done()) {
      const std::size_t filled = aText.size();
      const std::size_t room = std::min(aText.capacity() - filled,
                                        std::max(buffer_.size(), kReadBytes));
      aText.resize(filled + room);
      aParser.get().body().data = aText.data() + filled;
      aParser.get().body().size = room;
      boost::system::error_code code = co_await Parse(aParser, aGuard);
      aText.resize(filled + room - aParser.get().body().size);
      if (code == http::error::need_buffer) {
        code = {};
        if (room == 0 && !Grow(aText)) {
          code = asio::error::no_memory;
        }
      }
      if (code) {
        co_return code;
      }
    }
    co_return boost::system::error_code();
  }

  // Makes room in a body of unknown length. The text is held twice while it is
  // copied.
  bool Grow(std::string& aText)
  {
    const std::size_t capacity = std::min<std::uint64_t>(
      std::max(2 * aText.capacity(), 2 * kReadBytes),
      std::max<std::uint64_t>(server_->Limits().maxBodyBytes_,
                              aText.size() + kReadBytes));
    if (!TryHoldBody(aText.capacity() + capacity)) {
      return false;
    }
    aText.reserve(capacity);
    return TryHoldBody(aText.capacity());
  }

  static std::uint64_t BytesOf(const HttpFields& aFields)
  {
    std::uint64_t bytes = aFields.capacity() * sizeof(HttpField);
    for (const HttpField& field : aFields) {
      bytes += field.name_.size() + field.value_.size();
    }
    return kFieldCopies * bytes;
  }

  // Responds to a request that could not be read.
  asio::awaitable<void> RejectRequest(boost::system::error_code aCode,
                                      bool aTimedOut)
  {
    if (share_->GaveWay()) {
      aCode = asio::error::no_memory;
      aTimedOut = false;
    }
    keepAlive_ = false;
    SetStage(Stage::kHandling);
    auto error =
      MakeReadError(aCode, aTimedOut, server_->phase_ == DrainPhase::kEnding);
    if (makesRoom_ && aCode == asio::error::operation_aborted && !aTimedOut) {
      error = MakeConnectionLimitError();
    }
    if (error && error->code_ == ResultCode::kMemoryFull &&
        server_->options_.onMemoryFull_) {
      server_->options_.onMemoryFull_(request_, share_->GaveWay());
    }
    request_ = {};
    if (error) {
      co_await Send(ErrorResponse(*error, {}));
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
          self->HoldUnread();
          self->WatchAgainLater();
        }
      });
  }

  // Bytes behind the request stay in the socket, where they take memory too. If
  // that doesn't fit, they are discarded, and the connection closes after the
  // response.
  void HoldUnread()
  {
    boost::system::error_code code;
    held_.unread_ = socket_.available(code);
    if (!discards_ && TryHold()) {
      return;
    }
    discards_ = true;
    std::array<char, kReadBytes> discarded;
    std::size_t left = std::exchange(held_.unread_, 0);
    while (left > 0 && !code) {
      left -= socket_.read_some(
        asio::buffer(discarded.data(), std::min(left, discarded.size())), code);
    }
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
    SetStage(Stage::kLingering);
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    const TimePoint start = TimerService::Now();
    bool unanswered = buffer_.size() > 0;
    buffer_.clear();
    buffer_.shrink_to_fit();
    std::array<char, kReadBytes> discarded;
    bool waits = true;
    while (waits) {
      const SocketDeadline guard(
        socket_, socket_.get_executor(), start + LingerTime(server_->phase_));
      const auto [code, size] =
        co_await socket_.async_read_some(asio::buffer(discarded), kAwait);
      unanswered = unanswered || size > 0;
      waits =
        !code || (code == asio::error::operation_aborted && socket_.is_open() &&
                  TimerService::Now() < start + LingerTime(server_->phase_));
    }
    if (unanswered && server_->options_.onClosedUnread_) {
      server_->options_.onClosedUnread_();
    }
    socket_.close(ignored);
  }

  static constexpr std::size_t kReadBytes = 4096;
  static constexpr std::uint64_t kSmallBodyBytes = 64 * 1024;
  // The fields of a request are copied for the message to the endpoint.
  static constexpr std::uint64_t kFieldCopies = 2;
  static constexpr std::chrono::milliseconds kDisconnectCheckInterval{ 100 };

  std::shared_ptr<HttpServerState> server_;
  tcp::socket socket_;
  std::string peer_;
  beast::flat_buffer buffer_;
  HttpRequest request_;
  std::shared_ptr<SharedMemoryBudget::Share> share_; // of the present request
  HeldBytes held_;
  asio::cancellation_signal signal_;
  std::shared_ptr<bool> handlerToken_;
  TimerSubscription deadline_;
  TimerSubscription disconnectCheck_;
  AbortReason reason_ = AbortReason::kNone;
  // Read by other threads too.
  std::atomic<Stage> stage_ = Stage::kIdle;
  std::atomic<TimePoint> stageSince_ = TimerService::Now();
  std::atomic<bool> makesRoom_ = false;
  std::optional<TimePoint> latestEnd_;
  bool busy_ = false;
  bool keepAlive_ = true;
  bool started_ = false;
  bool reusable_ = false;
  bool streamKeepAlive_ = false;
  bool keepRunning_ = false;
  bool discards_ = false; // bytes behind a request, which thus got no answer
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
