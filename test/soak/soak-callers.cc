#include "soak-callers.h"

#include "harness-streams.h"

#include "gooseberrylift/internal/gooseberrylift-http-client.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace gooseberrylift::test {

namespace asio = boost::asio;
namespace names = gooseberrylift::platform;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kRetryDelay{ 200 };

// Reads one response after the other with a client of its own.
class StreamReader
{
public:
  struct Limits
  {
    milliseconds stall_;
    TimePoint deadline_;
  };

  StreamEnd Read(std::uint16_t aPort,
                 HttpRequest aRequest,
                 Limits aLimits,
                 const std::string& aExpected)
  {
    StreamEnd end = StreamEnd::kRefused;
    body_.clear();
    asio_.restart();
    asio::co_spawn(
      asio_,
      [&]() -> asio::awaitable<void> {
        const auto error =
          co_await Receive(aPort, std::move(aRequest), aLimits);
        end = Judge(error, aExpected);
      },
      asio::detached);
    asio_.run();
    return end;
  }

  const std::string& Body() const { return body_; }

private:
  asio::awaitable<Outcome<void>> Receive(std::uint16_t aPort,
                                         HttpRequest aRequest,
                                         Limits aLimits)
  {
    status_ = 0;
    const std::string address = "127.0.0.1:" + std::to_string(aPort);
    const HttpClient::CallOptions options;
    auto sent = co_await client_.Send(
      address, std::move(aRequest), NextDeadline(aLimits), options);
    if (!sent) {
      co_return sent.error();
    }
    HttpCall& call = *sent.value();
    const auto head = co_await call.ReadHead();
    if (!head) {
      co_return head.error();
    }
    status_ = call.Head().status_;
    while (true) {
      call.SetDeadline(NextDeadline(aLimits));
      const auto part = co_await call.ReadSome();
      if (!part) {
        co_return part.error();
      }
      if (!part.value()) {
        co_return boost::outcome_v2::success();
      }
      body_ += *part.value();
    }
  }

  static TimePoint NextDeadline(const Limits& aLimits)
  {
    return std::min(aLimits.deadline_, TimerService::Now() + aLimits.stall_);
  }

  StreamEnd Judge(const Outcome<void>& aReceived,
                  const std::string& aExpected) const
  {
    if (!aReceived &&
        aReceived.error().code_ == ResultCode::kDeadlineExceeded) {
      return StreamEnd::kLeft;
    }
    if (status_ != 200) {
      return StreamEnd::kRefused;
    }
    return aReceived && body_ == aExpected ? StreamEnd::kWhole
                                           : StreamEnd::kCut;
  }

  asio::io_context asio_{ 1 };
  HttpClient client_{ asio_.get_executor(), HttpClient::Options{} };
  int status_ = 0; // of the response; 0 before its head
  std::string body_;
};

HttpRequest MakeRequestFor(const SoakRoute& aRoute,
                           const std::string& aAttempt,
                           milliseconds aDeadline)
{
  HttpRequest request = StreamRequest(aAttempt);
  request.target_ = aRoute.path_;
  request.body_ = aAttempt; // callers with the same body share a fingerprint
  for (HttpField& field : request.fields_) {
    if (field.name_ == names::kDeadlineMs) {
      field.value_ = std::to_string(aDeadline.count());
    }
  }
  return request;
}

} // namespace

SoakCallers::SoakCallers(Options aOptions)
  : options_(std::move(aOptions))
{
  threads_.reserve(static_cast<std::size_t>(options_.count_));
  for (int caller = 0; caller < options_.count_; ++caller) {
    threads_.emplace_back([this, caller] { Run(caller); });
  }
}

SoakCallers::~SoakCallers()
{
  Stop();
}

std::vector<SoakStream> SoakCallers::Stop()
{
  stop_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
  return streams_;
}

void SoakCallers::Run(int aCaller)
{
  StreamReader reader;
  const std::string expected = LongStreamBody(options_.events_);
  const auto caller = static_cast<std::size_t>(aCaller);
  const std::size_t hosts = options_.ports_.size();
  const SoakRoute& route =
    options_.routes_.at(caller / hosts % options_.routes_.size());
  std::size_t host = caller % hosts;
  for (int number = 0; !stop_; ++number) {
    SoakStream stream{ .attempt_ = "caller-" + std::to_string(aCaller) + "-" +
                                   std::to_string(number),
                       .host_ = host };
    const StreamReader::Limits limits{ .stall_ = route.stallTimeout_,
                                       .deadline_ = TimerService::Now() +
                                                    options_.deadline_ };
    stream.end_ =
      reader.Read(options_.ports_.at(stream.host_),
                  MakeRequestFor(route, stream.attempt_, options_.deadline_),
                  limits,
                  expected);
    stream.bytes_ = static_cast<int>(reader.Body().size());
    stream.endedAt_ = TimerService::Now();
    const StreamEnd end = stream.end_;
    {
      const std::lock_guard lock(mutex_);
      streams_.push_back(std::move(stream));
    }
    if (end == StreamEnd::kRefused) {
      host = (host + 1) % hosts; // the connections to the other one stay open
    }
    if (end != StreamEnd::kWhole) {
      std::this_thread::sleep_for(kRetryDelay);
    }
  }
}

} // namespace gooseberrylift::test
