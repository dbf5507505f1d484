// Tests that a planned stop answers what callers send, while they open new
// connections, keep old ones, send slowly or pipeline through the moment at
// which the listener closes.

#include "harness-callers.h"
#include "harness-raw-connection.h"
#include "harness-restart.h"

#include <csignal>
#include <mutex>
#include <optional>
#include <random>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

// Number of stops that each test plays.
int StopCount()
{
  const char* text = std::getenv("GOOSEBERRYLIFT_STOPS");
  return text == nullptr ? 4 : std::atoi(text);
}

// A blocking connection; each read ends with the host at the latest.
class Wire
{
public:
  explicit Wire(std::uint16_t aPort)
  {
    boost::system::error_code code;
    socket_.connect({ asio::ip::make_address("127.0.0.1"), aPort }, code);
    open_ = !code;
  }

  bool IsOpen() const { return open_; }

  bool Write(std::string_view aText)
  {
    boost::system::error_code code;
    asio::write(socket_, asio::buffer(aText.data(), aText.size()), code);
    return !code;
  }

  /// Reads a response. @return its status; 0 if it is not whole
  int Read()
  {
    http::response<http::string_body> response;
    boost::system::error_code code;
    http::read(socket_, buffer_, response, code);
    open_ = !code && response.keep_alive();
    return code ? 0 : static_cast<int>(response.result_int());
  }

private:
  asio::io_context context_{ 1 };
  asio::ip::tcp::socket socket_{ context_ };
  beast::flat_buffer buffer_;
  bool open_ = false;
};

std::string ToText(const HttpRequest& aRequest)
{
  std::string text =
    aRequest.method_ + " " + aRequest.target_ + " HTTP/1.1\r\n";
  for (const HttpField& field : aRequest.fields_) {
    text += field.name_ + ": " + field.value_ + "\r\n";
  }
  return text +
         "Content-Length: " + std::to_string(aRequest.body_.Text().size()) +
         "\r\n\r\n" + aRequest.body_.Text();
}

std::string RawRequest(const std::string& aMethod,
                       const std::string& aAttempt,
                       const std::string& aBody = {})
{
  HttpRequest request = RouteRequest(aMethod, "/safe/a", aAttempt);
  request.body_ = aBody;
  return ToText(request);
}

// What callers got. A request is lost if its connection was accepted and ends
// without a whole response.
struct Tally
{
  std::atomic<int> answered_ = 0;
  std::atomic<int> refused_ = 0; // connections
  std::atomic<int> lost_ = 0;

  void Count(bool aAnswered) { ++(aAnswered ? answered_ : lost_); }
};

using Caller = void (*)(std::uint16_t aPort,
                        const std::string& aId,
                        milliseconds aPause,
                        Tally& aTally);

bool IsAccepted(const Wire& aWire, Tally& aTally)
{
  if (!aWire.IsOpen()) {
    ++aTally.refused_;
    std::this_thread::sleep_for(1ms);
  }
  return aWire.IsOpen();
}

// One request on a new connection, sent after a pause.
void CallOnce(std::uint16_t aPort,
              const std::string& aId,
              milliseconds aPause,
              Tally& aTally)
{
  Wire wire(aPort);
  if (IsAccepted(wire, aTally)) {
    std::this_thread::sleep_for(aPause);
    aTally.Count(wire.Write(RawRequest("GET", aId)) && wire.Read() != 0);
  }
}

// Requests on a kept connection, until the host says that it closes it.
void CallAgain(std::uint16_t aPort,
               const std::string& aId,
               milliseconds aPause,
               Tally& aTally)
{
  Wire wire(aPort);
  if (!IsAccepted(wire, aTally)) {
    return;
  }
  for (int call = 0; call < 20 && wire.IsOpen(); ++call) {
    const std::string id = aId + "-" + std::to_string(call);
    aTally.Count(wire.Write(RawRequest("GET", id)) && wire.Read() != 0);
    std::this_thread::sleep_for(aPause);
  }
}

// A body in two parts.
void CallSlowly(std::uint16_t aPort,
                const std::string& aId,
                milliseconds aPause,
                Tally& aTally)
{
  Wire wire(aPort);
  if (!IsAccepted(wire, aTally)) {
    return;
  }
  const std::string text = RawRequest("POST", aId, "a slow body");
  const bool begun = wire.Write(text.substr(0, text.size() - 4));
  std::this_thread::sleep_for(2 * aPause);
  aTally.Count(begun && wire.Write(text.substr(text.size() - 4)) &&
               wire.Read() != 0);
}

// Three requests at once.
void CallPipelined(std::uint16_t aPort,
                   const std::string& aId,
                   milliseconds aPause,
                   Tally& aTally)
{
  Wire wire(aPort);
  if (!IsAccepted(wire, aTally)) {
    return;
  }
  std::this_thread::sleep_for(aPause);
  std::string text;
  for (const char* part : { "-a", "-b", "-c" }) {
    text += RawRequest("GET", aId + part);
  }
  const bool sent = wire.Write(text);
  for (int response = 0; response < 3; ++response) {
    aTally.Count(sent && wire.Read() != 0);
  }
}

// Threads that call without a pause between their calls.
class BusyCallers
{
public:
  BusyCallers(Caller aCaller, const std::vector<std::uint16_t>& aPorts)
  {
    for (int caller = 0; caller < kCallers; ++caller) {
      const std::uint16_t port =
        aPorts[static_cast<std::size_t>(caller) % aPorts.size()];
      threads_.emplace_back([this, aCaller, port, caller] {
        std::minstd_rand random(static_cast<unsigned>(caller + 1));
        for (int call = 0; !done_; ++call) {
          const std::string id = AttemptIdOf(caller, call);
          // Half of the calls have no pause.
          const auto draw = static_cast<int>(random() % 100);
          aCaller(port, id, milliseconds(std::max(0, draw - 50)), tally_);
        }
      });
    }
  }

  ~BusyCallers() { Stop(); }
  BusyCallers(const BusyCallers&) = delete;
  BusyCallers& operator=(const BusyCallers&) = delete;

  void Stop()
  {
    done_ = true;
    for (std::thread& thread : threads_) {
      thread.join();
    }
    threads_.clear();
  }

  const Tally& Result() const { return tally_; }

private:
  static constexpr int kCallers = 12;

  std::atomic<bool> done_ = false;
  Tally tally_;
  std::vector<std::thread> threads_;
};

constexpr auto kStopLimit = 10s;
constexpr auto kLag = 400ms;
// What a stop may last besides its lag while no request is under way.
constexpr auto kClosingLimit = 500ms;

void SendSigterm(Host& aHost)
{
  aHost.Handle().Signal(SIGTERM);
  CHECK_FALSE(aHost.Handle().WaitForLine("\"event\":1001", kStopLimit).empty());
}

} // namespace

TEST_GROUP(StopConnectionsTest)
{
  GatewayDeployment deployment_{ { .hosts_ = 0 } };

  std::unique_ptr<Host> StartHost(milliseconds aLimit = 4s)
  {
    return StartHost(deployment_, aLimit);
  }

  static std::unique_ptr<Host> StartHost(const GatewayDeployment& aDeployment,
                                         milliseconds aLimit)
  {
    auto host = StartUnreadyHost(aDeployment, kLag, aLimit);
    CHECK_TRUE(host->WaitReady());
    return host;
  }

  static std::unique_ptr<Host> StartUnreadyHost(
    const GatewayDeployment& aDeployment,
    milliseconds aLag,
    milliseconds aLimit)
  {
    json settings = aDeployment.HostSettings("host-0");
    settings["drain"] = { { "lag_ms", aLag.count() },
                          { "limit_ms", aLimit.count() } };
    return std::make_unique<Host>(settings);
  }

  void CheckNothingIsLost(const char* aName, BusyCallers& aCallers)
  {
    aCallers.Stop();
    const Tally& tally = aCallers.Result();
    std::printf("%s: %d answered, %d connections refused, %d lost\n",
                aName,
                tally.answered_.load(),
                tally.refused_.load(),
                tally.lost_.load());
    CHECK_TRUE(tally.answered_ > 0);
    LONGS_EQUAL(0, tally.lost_);
  }

  // Stops a host again and again, each time until it serves again.
  void CheckStops(const char* aName, Caller aCaller)
  {
    RestartableHosts hosts(deployment_, 1);
    BusyCallers callers(aCaller, hosts.Ports());
    for (int stop = 0; stop < StopCount(); ++stop) {
      std::this_thread::sleep_for(1200ms);
      CHECK_TRUE(hosts.StopAndStart(0, kStopLimit));
    }
    CheckNothingIsLost(aName, callers);
  }
};

// Guards against a listener that closes with accepted connections whose
// requests have not been read.
TEST(StopConnectionsTest, AnswersRequestsOnNewConnections)
{
  CheckStops("new connections", CallOnce);
}

TEST(StopConnectionsTest, AnswersRequestsOnKeptConnections)
{
  CheckStops("kept connections", CallAgain);
}

TEST(StopConnectionsTest, AnswersRequestsWhoseBodiesAreSlow)
{
  CheckStops("slow bodies", CallSlowly);
}

// Guards against a response that closes the connection while further requests
// on it have arrived.
TEST(StopConnectionsTest, AnswersPipelinedRequests)
{
  CheckStops("pipelined", CallPipelined);
}

TEST(StopConnectionsTest, AnswersRequestsWhileTwoHostsStopAndSignalsRepeat)
{
  RestartableHosts hosts(deployment_, 2);
  BusyCallers callers(CallOnce, hosts.Ports());
  for (int stop = 0; stop < StopCount(); ++stop) {
    std::thread other([&hosts] {
      std::this_thread::sleep_for(50ms);
      hosts.Signal(1, SIGHUP);
      hosts.StopAndStart(1, kStopLimit);
    });
    hosts.Signal(0, SIGTERM);
    std::this_thread::sleep_for(20ms);
    hosts.Signal(0, SIGHUP);
    const bool started = hosts.StopAndStart(0, kStopLimit);
    other.join();
    CHECK_TRUE(started);
  }
  CheckNothingIsLost("two hosts", callers);
}

// Callers may open a connection and send the request only when the listener is
// closed.
TEST(StopConnectionsTest, AnswersTheFirstRequestOfAConnectionWhileItCloses)
{
  const auto host = StartHost();
  SendSigterm(*host);
  std::this_thread::sleep_for(kLag - 100ms);
  RawConnection wire(host->Port());
  CHECK_FALSE(host->Handle().WaitForLine("\"event\":1017", kStopLimit).empty());
  std::this_thread::sleep_for(50ms);
  CHECK_TRUE(wire.Write(RawRequest("GET", "at-1")));
  CHECK_TRUE(wire.ReadToEnd());
  LONGS_EQUAL(200, wire.Status());
  STRCMP_CONTAINS("Connection: close", wire.Received().c_str());
  LONGS_EQUAL(0, host->Handle().WaitForExit(kStopLimit));
}

// Guards against a request that begins late in a stop, reaches an endpoint and
// is cut off.
TEST(StopConnectionsTest, RefusesARequestThatMayOutlastTheStop)
{
  const auto host = StartHost(1s);
  SendSigterm(*host);
  std::this_thread::sleep_for(kLag - 100ms);
  RawConnection wire(host->Port());
  CHECK_FALSE(host->Handle().WaitForLine("\"event\":1017", kStopLimit).empty());
  CHECK_TRUE(wire.Write(RawRequest("POST", "at-1", "a body")));
  CHECK_TRUE(wire.ReadToEnd());
  LONGS_EQUAL(503, wire.Status());
  LONGS_EQUAL(64, wire.Code());
  STRCMP_CONTAINS("Retry-After", wire.Received().c_str());
  LONGS_EQUAL(0, deployment_.Count("arrived", "at-1"));
  LONGS_EQUAL(0, host->Handle().WaitForExit(kStopLimit));
}

// Guards against a body that is cut off without an answer at the drain limit.
TEST(StopConnectionsTest, Answers503ToABodyThatIsStillComingAtTheLimit)
{
  const auto host = StartHost(200ms);
  RawConnection wire(host->Port());
  const std::string text = RawRequest("POST", "at-1", "a slow body");
  CHECK_TRUE(wire.Write(text.substr(0, text.size() - 4)));
  SendSigterm(*host);
  CHECK_TRUE(wire.ReadToEnd());
  LONGS_EQUAL(503, wire.Status());
  LONGS_EQUAL(64, wire.Code());
  STRCMP_CONTAINS("Retry-After", wire.Received().c_str());
  LONGS_EQUAL(0, host->Handle().WaitForExit(kStopLimit));
}

// Callers that keep connections open until the process is gone.
TEST(StopConnectionsTest, StopsInTimeWhileCallersKeepIdleConnections)
{
  const auto host = StartHost();
  RawConnection unused(host->Port());
  RawConnection used(host->Port());
  CHECK_TRUE(used.Write(RawRequest("GET", "at-1")));
  CHECK_TRUE(used.ReadUntil("\r\n\r\n"));
  const auto start = std::chrono::steady_clock::now();
  host->Handle().Signal(SIGTERM);
  LONGS_EQUAL(0, host->Handle().WaitForExit(kStopLimit));
  CHECK_TRUE(std::chrono::steady_clock::now() - start < kLag + kClosingLimit);
}

// Guards against a response that promised to keep the connection before the
// stop, and whose connection is then closed with the next request unread.
TEST(StopConnectionsTest, AnswersTheRequestAfterAStreamThatOutlastsTheLag)
{
  GatewayDeployment deployment(
    { .hosts_ = 0, .engine_ = { { "event_ms", 200 }, { "events", 6 } } });
  const auto host = StartHost(deployment, 4s);
  RawConnection wire(host->Port());
  CHECK_TRUE(wire.Write(ToText(StreamRequest("at-1"))));
  CHECK_TRUE(wire.ReadUntil("\r\n\r\n"));
  SendSigterm(*host);
  CHECK_TRUE(wire.ReadUntil("\r\n0\r\n\r\n"));
  CHECK_TRUE(wire.Write(RawRequest("GET", "at-2")));
  CHECK_TRUE(wire.ReadToEnd());
  CHECK_TRUE(wire.Received().find("HTTP/1.1", 1) != std::string::npos);
  LONGS_EQUAL(0, host->Handle().WaitForExit(kStopLimit));
}

// Guards against a refusal that does not say that the request has not run.
TEST(StopConnectionsTest, RefusesARequestHeldByAHostThatHasJustStarted)
{
  deployment_.Store().Handle().Signal(SIGSTOP);
  const auto host = StartUnreadyHost(deployment_, 10ms, 50ms);
  RawConnection wire(host->Port());
  CHECK_TRUE(wire.Write(RawRequest("GET", "at-1")));
  host->Handle().Signal(SIGTERM);
  CHECK_TRUE(wire.ReadToEnd());
  deployment_.Store().Handle().Signal(SIGCONT);
  LONGS_EQUAL(503, wire.Status());
  STRCMP_CONTAINS("Retry-After", wire.Received().c_str());
  LONGS_EQUAL(0, host->Handle().WaitForExit(kStopLimit));
}
