#include "gooseberrylift/internal/gooseberrylift-http-client.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <deque>
#include <map>
#include <mutex>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include "gooseberrylift-request-head.h"
#include "gooseberrylift-response-head.h"
#include "gooseberrylift-unparsed-limit.h"
#include "gooseberrylift/internal/gooseberrylift-socket-deadline.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kReadBufferBytes = 16 * 1024;

struct Connection
{
  explicit Connection(const asio::any_io_executor& aExecutor)
    : socket_(aExecutor)
  {
  }
  tcp::socket socket_;
  beast::flat_buffer buffer_{ kMaxUnparsedBytes };
  TimePoint idleSince_;
  TimePoint idleUntil_;
};

// Returns how long a connection may stay idle: at most 3/4 of the Keep-Alive
// timeout of the server, because a request that reaches the server while it
// closes the connection is lost.
std::chrono::milliseconds ComputeIdleTimeout(const HttpResponse& aHead,
                                             std::chrono::milliseconds aDefault)
{
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view field = aHead.Field("Keep-Alive");
  const std::size_t at = field.find(kTimeout);
  if (at == std::string_view::npos) {
    return aDefault;
  }
  const std::chrono::seconds keepAliveSeconds(
    std::atoi(std::string(field.substr(at + kTimeout.size())).c_str()));
  const std::chrono::milliseconds keepAliveTimeout(keepAliveSeconds);
  return std::min(aDefault, keepAliveTimeout * 3 / 4);
}

// Returns whether an idle connection can be reused. It can't if the socket is
// readable, because the server has closed the connection or sent unexpected
// data.
bool IsReusable(tcp::socket& aSocket)
{
  char byte = 0;
  boost::system::error_code code;
  aSocket.non_blocking(true, code);
  aSocket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, code);
  return code == asio::error::would_block;
}

Outcome<tcp::endpoint> ParseAddress(const std::string& aAddress)
{
  const Error error{ .code_ = ResultCode::kEndpointUnreachable,
                     .text_ =
                       "invalid address, expected IP:port: " + aAddress };
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return error;
  }
  boost::system::error_code code;
  const auto ip = asio::ip::make_address(aAddress.substr(0, colon), code);
  std::uint16_t port = 0;
  const char* const end = aAddress.data() + aAddress.size();
  const auto parsed = std::from_chars(aAddress.data() + colon + 1, end, port);
  if (code || parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
    return error;
  }
  // The text is sent in the field Host, and an IPv6 scope may be any text.
  const bool isPrintable =
    std::all_of(aAddress.begin(), aAddress.end(), [](unsigned char aCharacter) {
      return std::isgraph(aCharacter) != 0;
    });
  if (!isPrintable) {
    return error;
  }
  return tcp::endpoint(ip, port);
}

} // namespace

class HttpClient::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(asio::any_io_executor aExecutor, Options aOptions)
    : executor_(std::move(aExecutor))
    , options_(aOptions)
  {
  }

  std::unique_ptr<Connection> TakeIdle(const std::string& aAddress,
                                       std::chrono::milliseconds aMaxIdle)
  {
    const std::lock_guard lock(mutex_);
    const auto found = idle_.find(aAddress);
    if (found == idle_.end()) {
      return nullptr;
    }
    const TimePoint now = TimerService::Now();
    while (!found->second.empty()) {
      std::unique_ptr<Connection> connection = std::move(found->second.back());
      found->second.pop_back();
      if (now < connection->idleUntil_ &&
          now - connection->idleSince_ <= aMaxIdle &&
          IsReusable(connection->socket_)) {
        return connection;
      }
    }
    idle_.erase(found);
    return nullptr;
  }

  void PutIdle(const std::string& aAddress,
               std::unique_ptr<Connection> aConnection,
               std::chrono::milliseconds aIdleTimeout)
  {
    aConnection->idleSince_ = TimerService::Now();
    aConnection->idleUntil_ = aConnection->idleSince_ + aIdleTimeout;
    const std::lock_guard lock(mutex_);
    auto& connections = idle_[aAddress];
    if (connections.size() >= options_.idlePerAddress_) {
      connections.pop_front();
    }
    connections.push_back(std::move(aConnection));
  }

  // Connects a socket before the deadline.
  static asio::awaitable<boost::system::error_code>
  Open(Connection& aConnection, tcp::endpoint aEndpoint, TimePoint aDeadline)
  {
    const SocketDeadline guard(
      aConnection.socket_, co_await asio::this_coro::executor, aDeadline);
    const auto [code] =
      co_await aConnection.socket_.async_connect(aEndpoint, kAwait);
    co_return guard.Expired() ? asio::error::timed_out : code;
  }

  asio::awaitable<Outcome<std::unique_ptr<Connection>>> Connect(
    const std::string& aAddress,
    std::chrono::milliseconds aTimeout,
    TimePoint aDeadline)
  {
    const auto endpoint = ParseAddress(aAddress);
    if (!endpoint) {
      co_return endpoint.error();
    }
    auto connection =
      std::make_unique<Connection>(co_await asio::this_coro::executor);
    const TimePoint connectDeadline =
      std::min(aDeadline, TimerService::Now() + aTimeout);
    const boost::system::error_code code =
      co_await Open(*connection, endpoint.value(), connectDeadline);
    if (code == asio::error::operation_aborted) {
      co_return Error{ .code_ = ResultCode::kCallerLeft };
    }
    if (code) {
      co_return Error{ .code_ = ResultCode::kEndpointUnreachable,
                       .text_ = aAddress + ": " + code.message() };
    }
    boost::system::error_code ignored;
    connection->socket_.set_option(tcp::no_delay(true), ignored);
    co_return std::move(connection);
  }

  asio::any_io_executor executor_;
  Options options_;
  std::mutex mutex_;
  std::map<std::string, std::deque<std::unique_ptr<Connection>>> idle_;
};

namespace {

// A message that refers to a body without a copy of it.
struct OutgoingRequest
{
  HttpBody body_;
  http::request<http::span_body<const char>> message_;
};

OutgoingRequest MakeMessage(const std::string& aAddress,
                            const HttpRequest& aRequest)
{
  OutgoingRequest outgoing{ .body_ = aRequest.body_ };
  auto& message = outgoing.message_;
  message.version(11);
  message.method_string(aRequest.method_);
  message.target(aRequest.target_);
  if (aRequest.Field("Host").empty()) {
    message.set(http::field::host, aAddress);
  }
  for (const HttpField& field : aRequest.fields_) {
    message.insert(field.name_, field.value_);
  }
  const std::string& text = outgoing.body_.Text();
  message.body() = { text.data(), text.size() };
  message.prepare_payload();
  return outgoing;
}

} // namespace

// Implements HttpCall on a connection that it owns.
class ClientCall : public HttpCall
{
public:
  using ReturnConnection =
    std::function<void(std::unique_ptr<Connection> aConnection,
                       const HttpResponse& aHead)>;

  ClientCall(std::unique_ptr<Connection> aConnection,
             TimePoint aDeadline,
             std::uint64_t aMaxBody,
             ReturnConnection aReturnConnection)
    : connection_(std::move(aConnection))
    , deadline_(aDeadline)
    , returnConnection_(std::move(aReturnConnection))
    , readBuffer_(kReadBufferBytes, '\0')
  {
    parser_.body_limit(aMaxBody);
  }

  // A plain close still delivers what the server has not received, as soon as
  // the path to it lets data through again.
  ~ClientCall() override
  {
    if (connection_ && !parser_.is_done()) {
      boost::system::error_code ignored;
      connection_->socket_.set_option(asio::socket_base::linger(true, 0),
                                      ignored);
      // The socket's destructor would reset the option.
      connection_->socket_.close(ignored);
    }
  }
  ClientCall(const ClientCall&) = delete;
  ClientCall& operator=(const ClientCall&) = delete;

  asio::awaitable<Outcome<void>> Send(OutgoingRequest aRequest)
  {
    const auto& message = aRequest.message_;
    const SocketDeadline guard(
      connection_->socket_, co_await asio::this_coro::executor, deadline_);
    const auto [code, size] =
      co_await http::async_write(connection_->socket_, message, kAwait);
    if (code) {
      // The server may have received and run what was passed to the socket.
      co_return MakeTransferError(code, guard.Expired());
    }
    parser_.skip(message.method() == http::verb::head);
    co_return boost::outcome_v2::success();
  }

  asio::awaitable<Outcome<void>> ReadHead() override
  {
    const SocketDeadline guard(
      connection_->socket_, co_await asio::this_coro::executor, deadline_);
    const auto [code, size] = co_await http::async_read_header(
      connection_->socket_, connection_->buffer_, parser_, kAwait);
    if (code) {
      co_return MakeTransferError(code, guard.Expired());
    }
    if (auto fault = CheckResponseHead(parser_.get())) {
      co_return *fault;
    }
    head_.status_ = static_cast<int>(parser_.get().result_int());
    for (const auto& field : parser_.get()) {
      head_.fields_.push_back(
        { std::string(field.name_string()), std::string(field.value()) });
    }
    co_return boost::outcome_v2::success();
  }

  const HttpResponse& Head() const override { return head_; }

  bool HasExplicitEnd() const override { return !parser_.need_eof(); }

  void SetDeadline(TimePoint aDeadline) override { deadline_ = aDeadline; }

  asio::awaitable<Outcome<std::optional<std::string>>> ReadSome() override
  {
    const SocketDeadline guard(
      connection_->socket_, co_await asio::this_coro::executor, deadline_);
    while (!parser_.is_done()) {
      parser_.get().body().data = readBuffer_.data();
      parser_.get().body().size = readBuffer_.size();
      auto [code, size] = co_await http::async_read_some(
        connection_->socket_, connection_->buffer_, parser_, kAwait);
      if (code == http::error::need_buffer) {
        code = {};
      }
      if (code) {
        co_return MakeTransferError(code, guard.Expired());
      }
      const std::size_t received =
        readBuffer_.size() - parser_.get().body().size;
      if (received > 0) {
        co_return std::optional<std::string>(readBuffer_.substr(0, received));
      }
    }
    ReleaseConnection();
    co_return std::optional<std::string>();
  }

private:
  static ResultCode ResultOf(boost::system::error_code aCode)
  {
    if (aCode == asio::error::operation_aborted) {
      return ResultCode::kCallerLeft;
    }
    const bool isOverlong = aCode == http::error::header_limit ||
                            aCode == http::error::body_limit ||
                            aCode == http::error::buffer_overflow;
    return isOverlong ? ResultCode::kEndpointOverlong
                      : ResultCode::kEndpointBroken;
  }

  static Error MakeTransferError(boost::system::error_code aCode, bool aExpired)
  {
    if (aExpired) {
      return { .code_ = ResultCode::kDeadlineExceeded,
               .text_ = "the server did not respond before the deadline",
               .ran_ = RanState::kUnknown };
    }
    return { .code_ = ResultOf(aCode),
             .text_ = aCode.message(),
             .ran_ = RanState::kUnknown };
  }

  void ReleaseConnection()
  {
    const bool reusable = parser_.keep_alive() && !parser_.need_eof() &&
                          connection_->buffer_.size() == 0;
    if (reusable) {
      returnConnection_(std::move(connection_), head_);
    }
  }

  std::unique_ptr<Connection> connection_;
  TimePoint deadline_;
  ReturnConnection returnConnection_;
  std::string readBuffer_;
  HttpResponse head_;
  http::response_parser<http::buffer_body> parser_;
};

HttpClient::HttpClient(asio::any_io_executor aExecutor, Options aOptions)
  : impl_(std::make_shared<Impl>(std::move(aExecutor), aOptions))
{
}

HttpClient::~HttpClient() = default;

asio::awaitable<Outcome<std::unique_ptr<HttpCall>>> HttpClient::Send(
  std::string aAddress,
  HttpRequest aRequest,
  TimePoint aDeadline,
  CallOptions aOptions)
{
  if (const auto error = CheckRequestHead(aRequest)) {
    co_return *error;
  }
  const std::shared_ptr<Impl> impl = impl_;
  std::unique_ptr<Connection> connection;
  if (!aOptions.forceNewConnection_) {
    connection = impl->TakeIdle(aAddress, aOptions.maxIdle_);
  }
  if (!connection) {
    auto connected = co_await impl->Connect(
      aAddress,
      aOptions.connectTimeout_.value_or(impl->options_.connectTimeout_),
      aDeadline);
    if (!connected) {
      co_return connected.error();
    }
    connection = std::move(connected.value());
    if (aOptions.onConnected_) {
      aOptions.onConnected_();
    }
  }
  // The process may have been suspended while connecting; a request must not be
  // sent after its deadline.
  if (TimerService::Now() >= aDeadline) {
    co_return Error{ .code_ = ResultCode::kDeadlineExceeded };
  }
  if (aOptions.checkBeforeWrite_) {
    if (const auto error = aOptions.checkBeforeWrite_()) {
      co_return *error;
    }
  }
  auto call = std::make_unique<ClientCall>(
    std::move(connection),
    aDeadline,
    impl->options_.maxBodyBytes_,
    [impl, aAddress](std::unique_ptr<Connection> aConnection,
                     const HttpResponse& aHead) {
      impl->PutIdle(aAddress,
                    std::move(aConnection),
                    ComputeIdleTimeout(aHead, impl->options_.idleTimeout_));
    });
  const auto sent = co_await call->Send(MakeMessage(aAddress, aRequest));
  if (!sent) {
    co_return sent.error();
  }
  co_return std::unique_ptr<HttpCall>(std::move(call));
}

asio::awaitable<ConnectResult> HttpClient::TryConnect(
  std::string aAddress,
  std::chrono::milliseconds aTimeout)
{
  const auto endpoint = ParseAddress(aAddress);
  if (!endpoint) {
    co_return ConnectResult::kNoAnswer;
  }
  Connection connection(co_await asio::this_coro::executor);
  const auto code = co_await Impl::Open(
    connection, endpoint.value(), TimerService::Now() + aTimeout);
  if (!code) {
    co_return ConnectResult::kAccepted;
  }
  co_return code == asio::error::connection_refused ? ConnectResult::kRefused
                                                    : ConnectResult::kNoAnswer;
}

asio::awaitable<Outcome<std::unique_ptr<HttpCall>>> HttpClient::Start(
  std::string aAddress,
  HttpRequest aRequest,
  TimePoint aDeadline,
  CallOptions aOptions)
{
  auto call = co_await Send(
    std::move(aAddress), std::move(aRequest), aDeadline, aOptions);
  if (!call) {
    co_return call.error();
  }
  const auto read = co_await call.value()->ReadHead();
  if (!read) {
    co_return read.error();
  }
  co_return std::move(call.value());
}

asio::awaitable<Outcome<HttpResponse>> HttpClient::Fetch(std::string aAddress,
                                                         HttpRequest aRequest,
                                                         TimePoint aDeadline)
{
  const CallOptions options;
  return Fetch(std::move(aAddress), std::move(aRequest), aDeadline, options);
}

asio::awaitable<Outcome<HttpResponse>> HttpClient::Fetch(std::string aAddress,
                                                         HttpRequest aRequest,
                                                         TimePoint aDeadline,
                                                         CallOptions aOptions)
{
  auto call = co_await Send(
    std::move(aAddress), std::move(aRequest), aDeadline, aOptions);
  if (!call) {
    co_return call.error();
  }
  co_return co_await ReadResponse(*call.value());
}

asio::awaitable<Outcome<HttpResponse>> ReadResponse(HttpCall& aCall)
{
  const auto read = co_await aCall.ReadHead();
  if (!read) {
    co_return read.error();
  }
  HttpResponse response = aCall.Head();
  while (true) {
    auto part = co_await aCall.ReadSome();
    if (!part) {
      co_return part.error();
    }
    if (!part.value()) {
      co_return response;
    }
    response.body_ += *part.value();
  }
}

} // namespace gooseberrylift
