#include "gooseberrylift/routing/gooseberrylift-endpoint-pace.h"
#include "gooseberrylift/routing/gooseberrylift-fleet-load.h"

#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kPass{ 50 };

EngineProfile Profile()
{
  return { .slots_ = 16, .stepMs_ = 1, .stepsPerPass_ = 50 };
}

std::string EngineId(std::size_t aEngine)
{
  return "engine-" + std::to_string(aEngine);
}

// Hosts with streams at ten engines that tell each other their load. Engine 0
// and every fifth after it are slowed for a while.
struct Pool
{
  std::size_t hosts_ = 12;
  double slowFactor_ = 1;
  TimePoint slowFrom_{ 3s };
  TimePoint slowTo_{ 10s };
  double jitter_ = 0;
  double lossShare_ = 0;
  double doubledShare_ = 0;
  milliseconds delay_{ 5 };
  std::size_t slowHosts_ =
    0;                    // the first ones; they see gaps three times as long
  std::size_t liars_ = 0; // the first ones; they report the reverse

  static constexpr std::size_t kEngines = 10;
  static constexpr std::size_t kStreams = 8; // at each engine

  struct Message
  {
    TimePoint due_;
    std::size_t from_;
    std::vector<EndpointShare> shares_;
  };
  std::vector<FleetLoad> loads_;
  std::vector<Message> messages_;
  std::mt19937 random_{ 7 };
  TimePoint now_{ 0s };
  std::array<TimePoint, kEngines> passEnds_{};
  std::array<int, kEngines> passes_{};

  bool IsSlowed(std::size_t aEngine) const
  {
    return aEngine % 5 == 0 && now_ >= slowFrom_ && now_ < slowTo_;
  }

  std::size_t HostOf(std::size_t aEngine, std::size_t aStream) const
  {
    return (aEngine * 3 + aStream) % hosts_;
  }

  void Start()
  {
    loads_.assign(hosts_, FleetLoad(FleetLoad::Options{}));
    for (std::size_t engine = 0; engine < kEngines; ++engine) {
      for (std::size_t stream = 0; stream < kStreams; ++stream) {
        FleetLoad& load = loads_[HostOf(engine, stream)];
        load.OnSent(EngineId(engine), stream, {}, now_);
        load.ExpectFirst(EngineId(engine), stream, {}, {}, now_);
      }
    }
  }

  void EndPass(std::size_t aEngine)
  {
    ++passes_.at(aEngine);
    for (std::size_t stream = 0; stream < kStreams; ++stream) {
      const std::size_t host = HostOf(aEngine, stream);
      if (host >= slowHosts_ || passes_.at(aEngine) % 3 == 0) {
        loads_[host].OnStarted(EngineId(aEngine), stream, now_);
        loads_[host].OnEvents(EngineId(aEngine), stream, 1, Profile(), now_);
      }
    }
    std::lognormal_distribution<double> jitter(0, jitter_);
    const double factor = (IsSlowed(aEngine) ? slowFactor_ : 1) *
                          (jitter_ > 0 ? jitter(random_) : 1);
    passEnds_.at(aEngine) =
      now_ + std::chrono::duration_cast<milliseconds>(kPass * factor);
  }

  void Tell(std::size_t aHost)
  {
    std::uniform_real_distribution<> draw(0, 1);
    std::vector<EndpointShare> shares = loads_[aHost].OwnShares(now_);
    for (EndpointShare& share : shares) {
      if (aHost < liars_) {
        share.pacePercent_ = share.pacePercent_ > 100 ? 100 : 1'000'000;
      }
    }
    if (draw(random_) < lossShare_) {
      return;
    }
    const Message message{ now_ + delay_, aHost, std::move(shares) };
    messages_.push_back(message);
    if (draw(random_) < doubledShare_) {
      messages_.push_back(message);
    }
  }

  void Deliver()
  {
    std::erase_if(messages_, [this](const Message& aMessage) {
      if (aMessage.due_ > now_) {
        return false;
      }
      for (std::size_t host = 0; host < hosts_; ++host) {
        if (host != aMessage.from_) {
          loads_[host].OnPeerSnapshot(
            std::to_string(aMessage.from_), aMessage.shares_, aMessage.due_);
        }
      }
      return true;
    });
  }

  void RunUntil(TimePoint aTime)
  {
    constexpr milliseconds kTellInterval{ 250 };
    if (loads_.empty()) {
      Start();
    }
    for (; now_ < aTime; now_ += 5ms) {
      for (std::size_t engine = 0; engine < kEngines; ++engine) {
        if (passEnds_.at(engine) <= now_) {
          EndPass(engine);
        }
      }
      const auto at =
        std::chrono::duration_cast<milliseconds>(now_.time_since_epoch());
      for (std::size_t host = 0; host < hosts_; ++host) {
        if ((at + 5ms * host) % kTellInterval == 0ms) {
          Tell(host);
        }
      }
      Deliver();
    }
  }

  // Returns how many hosts, of those that tell the truth, take an engine for
  // slow.
  std::size_t CountBelievers(std::size_t aEngine) const
  {
    std::size_t count = 0;
    for (std::size_t host = liars_; host < hosts_; ++host) {
      count += loads_[host].Of(EngineId(aEngine), now_).pace_ > 1 ? 1 : 0;
    }
    return count;
  }

  std::size_t CountFalseBelievers() const
  {
    std::size_t count = 0;
    for (std::size_t engine = 0; engine < kEngines; ++engine) {
      count += IsSlowed(engine) ? 0 : CountBelievers(engine);
    }
    return count;
  }

  bool IsFoundByAll() const
  {
    return CountBelievers(0) + CountBelievers(5) == 2 * (hosts_ - liars_);
  }
};

} // namespace

TEST_GROUP(EndpointPaceTest){};

// Slowed passes take 200 ms, and hosts report every 250 ms.
TEST(EndpointPaceTest, FindsSlowedEnginesWithinASecondAndForgetsThemAsFast)
{
  for (const std::size_t hosts : { 2U, 12U, 100U }) {
    Pool pool{ .hosts_ = hosts, .slowFactor_ = 4, .jitter_ = 0.05 };
    pool.RunUntil(pool.slowFrom_);
    LONGS_EQUAL(0, pool.CountFalseBelievers());
    pool.RunUntil(pool.slowFrom_ + 900ms);
    CHECK_TRUE(pool.IsFoundByAll());
    pool.RunUntil(pool.slowTo_ - 5ms);
    CHECK_TRUE(pool.IsFoundByAll());
    DOUBLES_EQUAL(4, pool.loads_[0].Of(EngineId(5), pool.now_).pace_, 0.6);
    LONGS_EQUAL(0, pool.CountFalseBelievers());
    pool.RunUntil(pool.slowTo_ + 900ms);
    LONGS_EQUAL(0, pool.CountFalseBelievers());
  }
}

TEST(EndpointPaceTest, TakesNoEngineOfAUniformPoolForSlow)
{
  for (const std::size_t hosts : { 2U, 12U, 60U }) {
    Pool pool{ .hosts_ = hosts,
               .jitter_ = 0.12,
               .lossShare_ = 0.2,
               .doubledShare_ = 0.2,
               .delay_ = 700ms };
    for (pool.RunUntil(TimePoint(1s)); pool.now_ < TimePoint(8s);
         pool.RunUntil(pool.now_ + 50ms)) {
      LONGS_EQUAL(0, pool.CountFalseBelievers());
    }
  }
}

// Messages that are late, lost or doubled delay what hosts know by a few
// intervals, but don't distort it.
TEST(EndpointPaceTest, ToleratesLateLostAndDoubledMessages)
{
  Pool pool{
    .slowFactor_ = 4, .lossShare_ = 0.3, .doubledShare_ = 0.3, .delay_ = 300ms
  };
  pool.RunUntil(pool.slowFrom_ + 2'500ms);
  CHECK_TRUE(pool.IsFoundByAll());
  LONGS_EQUAL(0, pool.CountFalseBelievers());
  pool.RunUntil(pool.slowTo_ + 1'500ms);
  LONGS_EQUAL(0, pool.CountFalseBelievers());
}

// All engines seem slow to a host with a slow link or too little CPU time.
TEST(EndpointPaceTest, BlamesNoEngineForASlowHost)
{
  Pool pool{ .slowHosts_ = 1 };
  for (pool.RunUntil(TimePoint(1s)); pool.now_ < TimePoint(6s);
       pool.RunUntil(pool.now_ + 50ms)) {
    LONGS_EQUAL(0, pool.CountFalseBelievers());
    for (const EndpointShare& share : pool.loads_[0].OwnShares(pool.now_)) {
      CHECK_TRUE(share.pacePercent_ <= 100);
    }
  }
}

TEST(EndpointPaceTest, OutvotesPeersThatReportNonsense)
{
  Pool pool{ .slowFactor_ = 4, .liars_ = 3 };
  pool.RunUntil(pool.slowFrom_ + 1'500ms);
  CHECK_TRUE(pool.IsFoundByAll());
  LONGS_EQUAL(0, pool.CountFalseBelievers());
  FleetLoad alone{ FleetLoad::Options{} };
  alone.OnPeerDelta("one", { { .id_ = "a", .pacePercent_ = 9'999 } }, {});
  DOUBLES_EQUAL(1, alone.Of("a", TimePoint(1ms)).pace_, 0);
  alone.OnPeerDelta("two", { { .id_ = "a", .pacePercent_ = 9'999 } }, {});
  DOUBLES_EQUAL(8, alone.Of("a", TimePoint(1ms)).pace_, 0);
  DOUBLES_EQUAL(1, alone.Of("a", TimePoint(1'100ms)).pace_, 0);
}

TEST(EndpointPaceTest, ForgetsTheObservationsOfARestartedEngine)
{
  Pool pool{ .slowFactor_ = 4 };
  pool.RunUntil(pool.slowFrom_ + 2s);
  CHECK_TRUE(pool.CountBelievers(0) > 0);
  for (FleetLoad& load : pool.loads_) {
    load.OnRestarted(EngineId(0));
  }
  LONGS_EQUAL(0, pool.CountBelievers(0));
}

TEST(EndpointPaceTest, ForgetsAnEngineThatIsNoLongerObserved)
{
  EndpointPace pace{ EndpointPace::Options{} };
  const NominalTime work{ 200ms, 200ms };
  const auto observe = [&](const std::string& aEngine, milliseconds aTime) {
    pace.OnObserved(aEngine, work, aTime, TimePoint(1s));
  };
  observe("usual", 200ms);
  observe("other", 200ms);
  observe("slow", 800ms);
  LONGS_EQUAL(400, pace.PercentOf("slow", TimePoint(1s)));
  LONGS_EQUAL(250, pace.PercentOf("slow", TimePoint(3s)));
  LONGS_EQUAL(0, pace.PercentOf("slow", TimePoint(7s)));
  LONGS_EQUAL(100, pace.PercentOf("usual", TimePoint(1s)));
  LONGS_EQUAL(0, pace.PercentOf("usual", TimePoint(4s)));
}

// The slowest of several engines decides when a shared prefill is complete.
TEST(EndpointPaceTest, SuspectsOnlyUnobservedEnginesOfASharedPrefill)
{
  EndpointPace pace{ EndpointPace::Options{} };
  const NominalTime work{ 200ms, 220ms };
  pace.OnSharedWorkObserved({ "a", "b" }, work, 200ms, TimePoint(1s));
  pace.OnSharedWorkObserved({ "a", "b", "c" }, work, 900ms, TimePoint(1'100ms));
  LONGS_EQUAL(100, pace.PercentOf("a", TimePoint(1'100ms)));
  LONGS_EQUAL(100, pace.PercentOf("b", TimePoint(1'100ms)));
  LONGS_EQUAL(409, pace.PercentOf("c", TimePoint(1'100ms)));
  TimePoint later(1'120ms);
  for (const std::string other : { "d", "e", "f" }) {
    later += 20ms;
    pace.OnSharedWorkObserved({ "a", other }, work, 900ms, later);
    LONGS_EQUAL(100, pace.PercentOf("a", later));
  }
  // The slow engine explains the next one.
  pace.OnSharedWorkObserved({ "c", "g" }, work, 900ms, TimePoint(1'300ms));
  LONGS_EQUAL(0, pace.PercentOf("g", TimePoint(1'300ms)));
}

// The first event of an engine that is slowed four times would show it only
// after half a second.
TEST(EndpointPaceTest, CountsAnOverdueEventBeforeItArrives)
{
  FleetLoad load{ FleetLoad::Options{} };
  load.OnSent("a", 1, {}, TimePoint(1s));
  load.ExpectFirst("a", 1, {}, { 100ms, 150ms }, TimePoint(1s));
  load.OnPeerDelta(
    "peer", { { .id_ = "a", .pacePercent_ = 300 } }, TimePoint(1s));
  DOUBLES_EQUAL(1, load.Of("a", TimePoint(1'290ms)).pace_, 0);
  DOUBLES_EQUAL(2, load.Of("a", TimePoint(1'300ms)).pace_, 0);
  LONGS_EQUAL(200, load.OwnShare("a", TimePoint(1'300ms)).pacePercent_);
}

TEST(EndpointPaceTest, SumsTheMedianOfAZone)
{
  FleetLoad load{ FleetLoad::Options{} };
  for (const auto& [host, percent] :
       { std::pair("a", 400), std::pair("b", 100), std::pair("c", 300) }) {
    load.OnPeerDelta(
      host, { { .id_ = "e", .running_ = 1, .pacePercent_ = percent } }, {});
  }
  const auto all = [](const std::string&) { return true; };
  LONGS_EQUAL(300, load.Sum(all, TimePoint(1ms)).front().pacePercent_);
  LONGS_EQUAL(0, load.Sum(all, TimePoint(1'500ms)).front().pacePercent_);
}
