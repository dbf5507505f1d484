// Simulates hosts that share endpoints which reject requests or return to use,
// in virtual time, with late, lost and doubled messages and hosts that die.

#include "gooseberrylift/membership/gooseberrylift-load-message.h"
#include "gooseberrylift/routing/gooseberrylift-endpoint-pressure.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr int kSlots = 16;
constexpr milliseconds kRoundTrip{ 4 };
constexpr milliseconds kDuration{ 14'000 };
constexpr int kMaxAttempts = 2;

EngineProfile Profile()
{
  return { .slots_ = kSlots,
           .stepMs_ = 1,
           .prefillTokensPerMs_ = 250,
           .stepsPerPass_ = 46,
           .typicalAnswerTokens_ = 1500 };
}

struct Schedule
{
  int hosts_ = 12;
  int endpoints_ = 22;
  double perSecond_ = 400;
  bool counts_ = true; // whether pressure is counted
  bool engines_ = false;
  bool hostsDie_ = false;
  bool tells_ = true;         // whether hosts tell each other
  milliseconds backoff_{ 0 }; // asked for with each rejection
  // Returns whether an endpoint rejects all requests.
  std::function<bool(int aEndpoint, milliseconds aTime)> rejects_ =
    [](int, milliseconds) { return false; };
};

class Simulation
{
public:
  struct Host
  {
    std::string name_;
    FleetLoad load_{ FleetLoad::Options{} };
    EndpointPressure pressure_{ EndpointPressure::Options{} };
  };
  struct Endpoint
  {
    std::vector<milliseconds> arrivals_;
    int running_ = 0;
    int mostRunning_ = 0;
  };

  Simulation(Schedule aSchedule, unsigned aSeed)
    : schedule_(std::move(aSchedule))
    , random_(aSeed)
    , endpoints_(static_cast<std::size_t>(schedule_.endpoints_))
  {
    for (int id = 0; id < schedule_.endpoints_; ++id) {
      listed_.push_back({ .id_ = std::to_string(id), .slots_ = kSlots });
    }
    for (int host = 0; host < schedule_.hosts_; ++host) {
      hosts_.push_back(MakeHost());
      Repeat(host);
    }
    At(Random(0ms, 5ms), [this] { Arrive(); });
  }

  void At(milliseconds aDelay, std::function<void()> aAction)
  {
    events_.emplace(now_ + aDelay, std::move(aAction));
  }

  void Run(milliseconds aUntil = kDuration)
  {
    while (!events_.empty() && events_.begin()->first <= aUntil) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    now_ = aUntil;
  }

  TimePoint Now() const { return TimePoint(1000s) + now_; }

  std::vector<std::shared_ptr<Host>>& Hosts() { return hosts_; }

  Endpoint& At(int aEndpoint)
  {
    return endpoints_[static_cast<std::size_t>(aEndpoint)];
  }

  // Returns the arrivals at an endpoint in a period.
  int Count(int aEndpoint, milliseconds aFrom, milliseconds aUntil)
  {
    const auto& all = At(aEndpoint).arrivals_;
    return static_cast<int>(
      std::count_if(all.begin(), all.end(), [&](milliseconds aAt) {
        return aAt >= aFrom && aAt < aUntil;
      }));
  }

  int requests_ = 0;
  int rejected_ = 0; // arrivals at endpoints
  int ended_ = 0;    // requests, after the last attempt

private:
  milliseconds Random(milliseconds aFrom, milliseconds aTo)
  {
    return milliseconds(std::uniform_int_distribution<std::int64_t>(
      aFrom.count(), aTo.count())(random_));
  }

  std::shared_ptr<Host> MakeHost()
  {
    return std::make_shared<Host>(Host{ .name_ = std::to_string(++lastHost_) });
  }

  bool Chance(double aShare)
  {
    return std::bernoulli_distribution(aShare)(random_);
  }

  void Arrive()
  {
    ++requests_;
    const auto host = random_() % hosts_.size();
    if (schedule_.hostsDie_ && Chance(0.0005)) {
      hosts_[host] = MakeHost();
    }
    Attempt(hosts_[host], random_(), 1, {});
    const double gap =
      std::exponential_distribution<double>(schedule_.perSecond_)(random_);
    carried_ += gap * 1000;
    const auto whole = static_cast<std::int64_t>(carried_);
    carried_ -= static_cast<double>(whole);
    At(milliseconds(whole), [this] { Arrive(); });
  }

  void Attempt(const std::shared_ptr<Host>& aHost,
               std::uint64_t aDraw,
               int aAttempt,
               std::vector<int> aTried)
  {
    std::vector<int> order(listed_.size());
    for (std::size_t index = 0; index < order.size(); ++index) {
      order[index] = static_cast<int>(index);
    }
    if (!schedule_.engines_) {
      std::shuffle(order.begin(), order.end(), random_);
    }
    std::vector<PlacementCandidate> candidates;
    for (const int id : order) {
      const ListedEndpoint& listed = listed_[static_cast<std::size_t>(id)];
      candidates.push_back(
        { .endpoint_ = &listed,
          .load_ = aHost->load_.Of(listed.id_, Now()),
          .tried_ = std::count(aTried.begin(), aTried.end(), id) > 0 });
    }
    if (schedule_.counts_) {
      aHost->pressure_.AddTo(candidates, aDraw, Now());
    }
    const PlacementRequest request{ .promptTokens_ = 1'000,
                                    .answerTokens_ = 1'500,
                                    .objective_ = 300ms,
                                    .maxGap_ = 200ms,
                                    .draw_ = random_() };
    const auto choice =
      schedule_.engines_
        ? EnginePlacement(EnginePlacement::Options{})
            .Choose(Profile(), { 200ms, 500ms }, candidates, request)
        : ServicePlacement().Choose(200ms, candidates, request);
    if (!choice) {
      ++ended_;
      return;
    }
    const int id = std::stoi(choice->endpoint_->id_);
    const std::uint64_t number = ++lastNumber_;
    aHost->load_.OnSent(choice->endpoint_->id_, number, choice->cost_, Now());
    At(kRoundTrip / 2, [=, this] {
      Serve(aHost, aDraw, aAttempt, aTried, id, number, Now() - kRoundTrip / 2);
    });
  }

  void Serve(const std::shared_ptr<Host>& aHost,
             std::uint64_t aDraw,
             int aAttempt,
             std::vector<int> aTried,
             int aId,
             std::uint64_t aNumber,
             TimePoint aSentAt)
  {
    Endpoint& endpoint = At(aId);
    endpoint.arrivals_.push_back(now_);
    const std::string id = std::to_string(aId);
    if (!schedule_.rejects_(aId, now_)) {
      endpoint.mostRunning_ =
        std::max(++endpoint.running_, endpoint.mostRunning_);
      At(kRoundTrip / 2, [=, this] {
        aHost->load_.OnStarted(id, aNumber, Now());
        aHost->pressure_.OnAnswered(id, aSentAt, Now());
      });
      At(Random(100ms, 300ms), [=, this] {
        --At(aId).running_;
        aHost->load_.OnEnded(id, aNumber);
      });
      return;
    }
    ++rejected_;
    aTried.push_back(aId);
    At(kRoundTrip / 2, [=, this] {
      aHost->load_.OnEnded(id, aNumber);
      if (schedule_.backoff_ > 0ms) {
        aHost->pressure_.OnBackoff(id, schedule_.backoff_, Now());
      }
      if (aHost->pressure_.OnRejected(id, aSentAt, Now()) ||
          schedule_.backoff_ > 0ms) {
        Send(aHost, LoadMessageKind::kDelta, { ShareAt(*aHost, id) });
      }
      if (aAttempt < kMaxAttempts) {
        Attempt(aHost, aDraw, aAttempt + 1, aTried);
      } else {
        ++ended_;
      }
    });
  }

  EndpointShare ShareAt(const Host& aHost, const std::string& aId) const
  {
    EndpointShare share = aHost.load_.OwnShare(aId, Now());
    aHost.pressure_.AddReportsTo(share, Now());
    return share;
  }

  // Sends a host's load at the interval of its fleet's size.
  void Repeat(int aHost)
  {
    const auto index = static_cast<std::size_t>(aHost);
    const milliseconds interval(
      std::max(20, schedule_.hosts_ < 32 ? 20 : schedule_.hosts_ * 1000 / 300));
    At(Random(interval / 2, interval), [=, this] {
      auto shares = hosts_[index]->load_.OwnShares(Now());
      hosts_[index]->pressure_.AddReportsTo(shares, Now());
      Send(hosts_[index], LoadMessageKind::kSnapshot, shares);
      Repeat(aHost);
    });
  }

  void Send(const std::shared_ptr<Host>& aFrom,
            LoadMessageKind aKind,
            const std::vector<EndpointShare>& aShares)
  {
    for (const auto& to : hosts_) {
      if (to == aFrom || Chance(0.05)) {
        continue;
      }
      for (int copy = Chance(0.05) ? 2 : 1; copy > 0; --copy) {
        const TimePoint sentAt = Now();
        At(Random(1ms, Chance(0.01) ? 1'000ms : 20ms), [=, this] {
          const std::string& name = aFrom->name_;
          for (const EndpointShare& share : aShares) {
            if (schedule_.tells_) {
              to->pressure_.OnPeerReport(share, Now());
            }
          }
          if (aKind == LoadMessageKind::kSnapshot) {
            to->load_.OnPeerSnapshot(name, aShares, sentAt);
          } else {
            to->load_.OnPeerDelta(name, aShares, sentAt);
          }
        });
      }
    }
  }

  Schedule schedule_;
  std::mt19937 random_;
  milliseconds now_{ 0 };
  double carried_ = 0; // fractions of a millisecond until the next arrival
  std::uint64_t lastNumber_ = 0;
  int lastHost_ = 0;
  std::multimap<milliseconds, std::function<void()>> events_;
  std::vector<ListedEndpoint> listed_;
  std::vector<std::shared_ptr<Host>> hosts_;
  std::vector<Endpoint> endpoints_;
};

} // namespace

TEST_GROUP(EndpointPressureTest)
{
  EndpointPressure pressure_{ EndpointPressure::Options{} };
  TimePoint now_{ 1000s };

  // Returns the requests counted at the first of two idle endpoints.
  int CountedAtFirst() const
  {
    const ListedEndpoint first{ .id_ = "a", .slots_ = kSlots };
    const ListedEndpoint second{ .id_ = "b", .slots_ = kSlots };
    std::vector<PlacementCandidate> candidates{ { .endpoint_ = &first },
                                                { .endpoint_ = &second } };
    pressure_.AddTo(candidates, 1, now_);
    return candidates.front().load_.running_;
  }
};

TEST(EndpointPressureTest, CountsARejectionUntilItIsOld)
{
  CHECK_TRUE(pressure_.OnRejected("a", now_, now_));
  CHECK_TRUE(CountedAtFirst() > kSlots);
  now_ += 600ms;
  LONGS_EQUAL(0, CountedAtFirst());
  CHECK_TRUE(pressure_.OnRejected("a", now_, now_));
  now_ += 400ms; // a second one in a row counts for longer
  CHECK_TRUE(CountedAtFirst() > kSlots);
  pressure_.OnAnswered("a", now_, now_);
  now_ += 600ms;
  LONGS_EQUAL(0, CountedAtFirst());
}

// Guards against a service that is not used because its endpoints reject.
TEST(EndpointPressureTest, CountsNothingAtAnEndpointWithoutABetterOne)
{
  pressure_.OnRejected("a", now_, now_);
  pressure_.OnBackoff("b", 1s, now_);
  LONGS_EQUAL(0, CountedAtFirst());
}

TEST(EndpointPressureTest, CountsARejectionThatIsToldTwiceOnce)
{
  const EndpointShare told{ .id_ = "a", .rejections_ = 1 };
  for (int message = 0; message < 10; ++message) {
    pressure_.OnPeerReport(told, now_);
    now_ += 60ms;
  }
  LONGS_EQUAL(0, CountedAtFirst());
  pressure_.OnPeerReport({ .id_ = "a", .rejections_ = 2 }, now_);
  LONGS_EQUAL(kSlots, CountedAtFirst());
  pressure_.OnRejected("a", now_, now_); // seen by this host, it counts more
  CHECK_TRUE(CountedAtFirst() > kSlots);
}

TEST(EndpointPressureTest, TrustsItsOwnAnswersMoreThanOtherHosts)
{
  pressure_.OnPeerReport({ .id_ = "a", .backoff_ = 3s }, now_);
  LONGS_EQUAL(kSlots, CountedAtFirst());
  pressure_.OnAnswered("a", now_, now_);
  now_ += 3s / 2;
  pressure_.OnPeerReport({ .id_ = "a", .rejections_ = 9, .backoff_ = 9s },
                         now_);
  now_ += 3s; // the ramp of the first backoff has ended
  LONGS_EQUAL(0, CountedAtFirst());
}

TEST(EndpointPressureTest, TellsWhatThisHostReceivedAndNotWhatItWasTold)
{
  pressure_.OnRejected("a", now_, now_);
  pressure_.OnBackoff("b", 3s, now_);
  pressure_.OnPeerReport({ .id_ = "c", .rejections_ = 5 }, now_);
  std::vector<EndpointShare> shares{ { .id_ = "a", .running_ = 2 } };
  pressure_.AddReportsTo(shares, now_);
  LONGS_EQUAL(2, shares.size());
  LONGS_EQUAL(2, shares.front().running_);
  LONGS_EQUAL(1, shares.front().rejections_);
  LONGS_EQUAL(3'000, shares.back().backoff_.count());
  CHECK_TRUE(shares.back().silent_ > 1min);
}

// Guards against the attempts lost at endpoints that look idle since they
// reject at once.
TEST(EndpointPressureTest, AvoidsEndpointsThatRejectForSeconds)
{
  Schedule schedule{ .hostsDie_ = true };
  schedule.rejects_ = [](int aId, milliseconds aTime) {
    return aId % 2 == 0 && aTime >= 2s && aTime < 10s;
  };
  for (const bool engines : { false, true }) {
    for (const int hosts : { 2, 12, 73 }) {
      schedule.engines_ = engines;
      schedule.hosts_ = hosts;
      schedule.counts_ = true;
      Simulation counted(schedule, 1);
      counted.Run();
      schedule.counts_ = false;
      Simulation baseline(schedule, 1);
      baseline.Run();
      CHECK_TRUE(counted.rejected_ * 10 < baseline.rejected_);
      CHECK_TRUE(counted.ended_ * 10 < baseline.ended_);
    }
  }
}

TEST(EndpointPressureTest, UsesAnEndpointSoonAfterItRecovers)
{
  Schedule schedule{ .hosts_ = 24 };
  schedule.rejects_ = [](int aId, milliseconds aTime) {
    return aId % 2 == 0 && aTime >= 2s && aTime < 8s;
  };
  Simulation simulation(schedule, 2);
  simulation.Run();
  for (int id = 0; id < schedule.endpoints_; ++id) {
    // Its equal share is 18 a second.
    CHECK_TRUE(simulation.Count(id, 8s, 12s) > 0);
    CHECK_TRUE(simulation.Count(id, 12s, 14s) > 12);
  }
}

TEST(EndpointPressureTest, TriesAllEndpointsWhileAllReject)
{
  Schedule schedule{ .hosts_ = 24 };
  schedule.rejects_ = [](int, milliseconds aTime) { return aTime >= 2s; };
  Simulation simulation(schedule, 3);
  simulation.Run(6s);
  for (int id = 0; id < schedule.endpoints_; ++id) {
    // Its equal share is 36 a second.
    CHECK_TRUE(simulation.Count(id, 4s, 6s) > 36);
  }
}

// Guards against the requests of all hosts at an endpoint that has just
// restarted.
TEST(EndpointPressureTest, RaisesTheLoadOfARestartedEndpointInSteps)
{
  constexpr double kShare = 4; // of ten endpoints, in 100 ms
  for (const int hosts : { 2, 12, 73, 300 }) {
    Simulation simulation({ .hosts_ = hosts, .endpoints_ = 10 }, 4);
    for (const auto& host : simulation.Hosts()) {
      simulation.At(4s, [&simulation, host] {
        host->load_.OnRestarted("0");
        host->pressure_.OnReturned("0", simulation.Now());
      });
    }
    simulation.Run(7s);
    for (int step = 0; step < 20; ++step) {
      const milliseconds from = 4s + step * 100ms;
      const double expected = 2 * kShare * (0.25 + 0.75 * (step + 1) / 20);
      CHECK_TRUE(simulation.Count(0, from, from + 100ms) <=
                 expected + 3 * std::sqrt(expected) + 1);
    }
    CHECK_TRUE(simulation.Count(0, 6s, 7s) > 10);
  }
}

// Guards against one rejection for each host for one backoff.
TEST(EndpointPressureTest, LearnsABackoffFromOtherHosts)
{
  Schedule schedule{ .hosts_ = 73, .backoff_ = 3s };
  schedule.rejects_ = [](int aId, milliseconds aTime) {
    return aId == 0 && aTime >= 2s && aTime < 8s;
  };
  Simulation told(schedule, 5);
  told.Run();
  schedule.tells_ = false;
  Simulation alone(schedule, 5);
  alone.Run();
  CHECK_TRUE(told.rejected_ * 4 < alone.rejected_);
}

// Guards against a faulty host that takes endpoints out of use.
TEST(EndpointPressureTest, BoundsWhatAPeerCanDoWithAbsurdReports)
{
  Schedule schedule{ .hosts_ = 12, .endpoints_ = 8, .perSecond_ = 400 };
  Simulation simulation(schedule, 6);
  for (milliseconds at = 0ms; at < kDuration; at += 20ms) {
    simulation.At(at, [&simulation] {
      for (const auto& host : simulation.Hosts()) {
        for (int id = 1; id < 8; ++id) {
          host->pressure_.OnPeerReport(
            { .id_ = std::to_string(id), .rejections_ = 1'000, .backoff_ = 1h },
            simulation.Now());
        }
      }
    });
  }
  simulation.Run();
  CHECK_TRUE(simulation.At(0).mostRunning_ <= 5 * kSlots / 2);
  for (int id = 1; id < 8; ++id) {
    // Its equal share is 50 a second.
    CHECK_TRUE(simulation.Count(id, 0s, kDuration) > 25 * 14);
  }
}
