#include "soak-clients.h"

#include <optional>
#include <random>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "harness-gateway.h"

#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;
using tcp = asio::ip::tcp;

namespace {

constexpr milliseconds kMaxPause{ 150 };
constexpr std::chrono::seconds kResponseTimeout{ 15 };
constexpr int kRequestsPerConnection = 12; // mean, on kept connections

class ClientConnection
{
public:
  explicit ClientConnection(std::uint16_t aPort)
    : socket_(context_)
  {
    boost::system::error_code code;
    socket_.connect({ asio::ip::make_address("127.0.0.1"), aPort }, code);
    connected_ = !code;
  }

  bool Connected() const { return connected_; }
  bool Reusable() const { return reusable_; }
  bool Partial() const { return partial_; }
  int Requests() const { return requests_; }

  // Returns the status, or the error that ended the exchange.
  int Exchange(const HttpRequest& aRequest, boost::system::error_code& aCode)
  {
    ++requests_;
    http::request<http::string_body> request(
      http::string_to_verb(aRequest.method_), aRequest.target_, 11);
    for (const HttpField& field : aRequest.fields_) {
      request.insert(field.name_, field.value_);
    }
    request.body() = aRequest.body_;
    request.prepare_payload();
    http::response_parser<http::string_body> parser;
    http::async_write(socket_, request, [&](auto aWriteError, auto) {
      aCode = aWriteError;
      if (aWriteError) {
        return;
      }
      http::async_read(socket_, buffer_, parser, [&](auto aReadError, auto) {
        aCode = aReadError;
      });
    });
    if (!RunUntilDone()) {
      aCode = asio::error::timed_out;
    }
    partial_ = parser.got_some();
    reusable_ = !aCode && parser.keep_alive();
    return aCode ? 0 : static_cast<int>(parser.get().result_int());
  }

private:
  // Returns false if the response timeout has passed.
  bool RunUntilDone()
  {
    context_.restart();
    context_.run_for(kResponseTimeout);
    if (context_.stopped()) {
      return true;
    }
    boost::system::error_code ignored;
    socket_.close(ignored);
    context_.run();
    return false;
  }

  asio::io_context context_{ 1 };
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  bool connected_ = false;
  bool reusable_ = true;
  bool partial_ = false;
  int requests_ = 0;
};

HttpRequest MakeSoakRequest(const std::string& aAttempt, std::uint64_t aKind)
{
  switch (aKind % 3) {
    case 0:
      return RouteRequest("GET", "/safe/a", aAttempt);
    case 1: {
      HttpRequest request = RouteRequest("POST", "/unsafe/a", aAttempt);
      request.body_ = aAttempt;
      return request;
    }
    default: {
      HttpRequest request = StreamRequest(aAttempt);
      request.body_ = aAttempt; // equal prompts would share a fingerprint
      return request;
    }
  }
}

} // namespace

SoakClients::SoakClients(Options aOptions)
  : options_(std::move(aOptions))
{
  threads_.reserve(static_cast<std::size_t>(options_.count_));
  for (int client = 0; client < options_.count_; ++client) {
    threads_.emplace_back([this, client] { Run(client); });
  }
}

SoakClients::~SoakClients()
{
  Stop();
}

void SoakClients::Stop()
{
  stop_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

// Every second client opens a connection for each request.
void SoakClients::Run(int aClient)
{
  const auto client = static_cast<std::uint64_t>(aClient);
  std::mt19937_64 random(options_.seed_ * 1'000 + client);
  const bool keeps = client % 2 == 0;
  std::optional<ClientConnection> connection;
  std::size_t host = client % options_.ports_.size();
  for (int number = 0; !stop_; ++number) {
    const auto pause = random() % static_cast<std::uint64_t>(kMaxPause.count());
    std::this_thread::sleep_for(milliseconds(pause));
    if (!connection || !connection->Reusable() || !keeps ||
        random() % kRequestsPerConnection == 0) {
      host = random() % options_.ports_.size();
      connection.emplace(options_.ports_.at(host));
    }
    if (!connection->Connected()) {
      connection.reset();
      continue;
    }
    const std::string attempt =
      "soak-" + std::to_string(aClient) + "-" + std::to_string(number);
    boost::system::error_code code;
    const int status =
      connection->Exchange(MakeSoakRequest(attempt, random()), code);
    const std::lock_guard lock(mutex_);
    if (code) {
      unanswered_.push_back({ .attempt_ = attempt,
                              .host_ = host,
                              .first_ = connection->Requests() == 1,
                              .partial_ = connection->Partial(),
                              .error_ = code.message(),
                              .at_ = TimerService::Now() });
    } else {
      ++statuses_[status];
    }
  }
}

} // namespace gooseberrylift::test
