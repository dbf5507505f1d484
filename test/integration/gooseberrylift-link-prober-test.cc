// Tests pauses at each step of a round of probes. The thread that runs the
// prober is blocked instead of its process, so that the step is known.

#include "harness.h"

#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "gooseberrylift-fleet-dialect.h"
#include "gooseberrylift/internal/gooseberrylift-endpoint-access.h"
#include "gooseberrylift/internal/gooseberrylift-link-prober.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"

// After Boost, which the macros of CppUTest break.
#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;

namespace {

const std::string kService = "engines";

// A link prober of a service with one endpoint.
class ProbedLink
{
public:
  explicit ProbedLink(const std::string& aAddress)
    : endpoint_(
        { .id_ = "engines-0", .service_ = kService, .address_ = aAddress })
  {
    access_.OnListed(endpoint_);
  }

  /// Begins a round of probes, blocks its thread after some of its handlers,
  /// and stops the prober once the pause is over and the round has ended.
  /// @return what was found: "up", "lost", or "running" if a probe didn't end
  std::string Probe(int aHandlers, std::chrono::milliseconds aPause)
  {
    prober_.OnFailed(endpoint_, LinkFailure::kConnection);
    for (int handler = 0; handler < aHandlers; ++handler) {
      context_.run_one_for(1s);
    }
    std::this_thread::sleep_for(aPause);
    context_.run_for(2s);
    CancelTasks(context_);
    context_.restart();
    context_.run_for(2s);
    if (CountTasks(context_) > 0) {
      return "running";
    }
    const bool isUp = prober_.StateOf(kService) == LinkState::kUp;
    return isUp && !isLost_ ? "up" : "lost";
  }

private:
  boost::asio::io_context context_{ 1 };
  Metrics metrics_;
  HttpClient client_{ context_.get_executor(), HttpClient::Options{} };
  platform::FleetDialect dialect_;
  EndpointRateLimiter limiter_{ { .executor_ = context_.get_executor(),
                                  .metrics_ = metrics_,
                                  .isListed_ =
                                    [](const Incarnation&) { return true; },
                                  .notifyPeers_ = [] {},
                                  .call_ = {} },
                                { .host_ = "host-0", .zone_ = "zone-a" } };
  EndpointAccess access_{ "host-0", limiter_ };
  ListedEndpoint endpoint_;
  bool isLost_ = false;
  LinkProber prober_{
    { .client_ = client_,
      .dialect_ = dialect_,
      .access_ = access_,
      .metrics_ = metrics_,
      .executor_ = context_.get_executor(),
      .hasExited_ = [](const ListedEndpoint&) { return false; },
      .onChanged_ = [this](const std::string&,
                           bool aLost) { isLost_ = isLost_ || aLost; } }
  };
};

// Blocks a prober after each number of handlers up to a limit.
// @return what each of them found, without repetitions
std::set<std::string> ProbeWithPauses(const std::string& aAddress,
                                      std::chrono::milliseconds aPause)
{
  constexpr int kSteps = 16; // a probe takes fewer handlers
  std::mutex mutex;
  std::set<std::string> found;
  std::vector<std::thread> threads;
  threads.reserve(kSteps);
  for (int step = 0; step < kSteps; ++step) {
    threads.emplace_back([&, step] {
      const std::string links = ProbedLink(aAddress).Probe(step, aPause);
      const std::lock_guard lock(mutex);
      found.insert(links);
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return found;
}

void CheckFound(const std::string& aExpected, const std::string& aAddress)
{
  for (const auto pause : { 450ms, 500ms, 700ms, 1'500ms }) {
    const std::set<std::string> found = ProbeWithPauses(aAddress, pause);
    LONGS_EQUAL(1, found.size());
    STRCMP_EQUAL(aExpected.c_str(), found.begin()->c_str());
  }
}

} // namespace

TEST_GROUP(LinkProberTest){};

// Guards against a host that takes its own pause for lost links, also if it
// comes while a probe connects.
TEST(LinkProberTest, KeepsItsLinksWhenItStandsStillAtAnyStepOfAProbe)
{
  Fake engine("fleet-engine", { { "id", "engines-0" } });
  CheckFound("up", engine.Address());
}

// Guards against a host that a pause keeps from finding that its links hang.
TEST(LinkProberTest, FindsThatItsLinksHangWhenItStandsStillAtAnyStepOfAProbe)
{
  boost::asio::io_context context;
  const boost::asio::ip::tcp::acceptor silent(
    context,
    { boost::asio::ip::make_address("127.0.0.1"), 0 }); // accepts nothing
  CheckFound("lost",
             "127.0.0.1:" + std::to_string(silent.local_endpoint().port()));
}
