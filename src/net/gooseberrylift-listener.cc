#include "gooseberrylift/internal/gooseberrylift-listener.h"

#include <algorithm>
#include <array>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include "gooseberrylift/internal/gooseberrylift-http.h"
#include "gooseberrylift/internal/gooseberrylift-socket-deadline.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::errc::errc_t;
using std::chrono::milliseconds;
using tcp = asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Rejected connections use descriptors beyond the limit, so they are closed
// soon.
constexpr milliseconds kRequestTimeout{ 500 };
constexpr milliseconds kCloseTimeout{ 500 };
constexpr milliseconds kRejectionRetryDelay{ 1000 };

constexpr std::array kTransientErrors = {
  errc_t::address_in_use,      errc_t::address_not_available,
  errc_t::too_many_files_open, errc_t::too_many_files_open_in_system,
  errc_t::no_buffer_space,     errc_t::not_enough_memory,
};

http::response<http::string_body> MakeRejection()
{
  HttpResponse response = ErrorResponse(MakeConnectionLimitError(), {});
  http::response<http::string_body> message;
  message.version(11);
  message.result(static_cast<unsigned>(response.status_));
  for (const HttpField& field : response.fields_) {
    message.insert(field.name_, field.value_);
  }
  message.keep_alive(false);
  message.body() = std::move(response.body_);
  message.prepare_payload();
  return message;
}

// Reads and discards what a caller sends until it closes the connection, or
// only its first bytes.
asio::awaitable<void> Discard(tcp::socket& aSocket,
                              milliseconds aTimeout,
                              bool aFirstOnly)
{
  const SocketDeadline guard(
    aSocket, aSocket.get_executor(), TimerService::Now() + aTimeout);
  std::array<char, 4096> discarded;
  while (true) {
    const auto [code, size] =
      co_await aSocket.async_read_some(asio::buffer(discarded), kAwait);
    if (code || aFirstOnly) {
      co_return;
    }
  }
}

} // namespace

Error MakeConnectionLimitError()
{
  Error error = MakeError(ResultCode::kConnectionLimit);
  error.retryAfter_ = kRejectionRetryDelay;
  return error;
}

bool IsTransientListenError(const boost::system::error_code& aError)
{
  return std::any_of(
    kTransientErrors.begin(),
    kTransientErrors.end(),
    [&aError](errc_t aTransient) {
      return aError == boost::system::errc::make_error_condition(aTransient);
    });
}

boost::system::error_code OpenAcceptor(tcp::acceptor& aAcceptor,
                                       const std::string& aAddress,
                                       std::uint16_t aPort)
{
  boost::system::error_code code;
  const tcp::endpoint endpoint(asio::ip::make_address(aAddress, code), aPort);
  if (!code) {
    aAcceptor.open(endpoint.protocol(), code);
  }
  if (!code) {
    aAcceptor.set_option(tcp::acceptor::reuse_address(true), code);
  }
  if (!code) {
    aAcceptor.bind(endpoint, code);
  }
  if (!code) {
    aAcceptor.listen(asio::socket_base::max_listen_connections, code);
  }
  if (code) {
    boost::system::error_code ignored;
    aAcceptor.close(ignored);
  }
  return code;
}

asio::awaitable<void> RejectConnection(tcp::socket aSocket)
{
  co_await Discard(aSocket, kRequestTimeout, true);
  const auto message = MakeRejection();
  co_await http::async_write(aSocket, message, kAwait);
  boost::system::error_code ignored;
  aSocket.shutdown(tcp::socket::shutdown_send, ignored);
  co_await Discard(aSocket, kCloseTimeout, false);
}

} // namespace gooseberrylift
