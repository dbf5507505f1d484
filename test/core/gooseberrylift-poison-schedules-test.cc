// Random schedules of crashing parts and of engines that crash for reasons of
// their own, on virtual time, with evidence that is lost, late or doubled.

#include "gooseberrylift/limits/gooseberrylift-poison-request-detector.h"

#include <cstdio>
#include <optional>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

namespace {

constexpr auto kStep = 10ms;
constexpr auto kBegunAfter = 30ms;  // of an idle engine
constexpr auto kCrashAfter = 60ms;  // of the begin
constexpr auto kSoundAfter = 400ms; // of the begin
constexpr auto kAnswered = 1'500ms; // of the begin
constexpr auto kCheckTime = 100ms;  // until an exit is confirmed
constexpr auto kBackAfter = 3s;
constexpr auto kExchange = 150ms;
constexpr double kMessageLoss = 0.1;
constexpr auto kReactionTime = 3s;

struct Schedule
{
  unsigned seed_ = 0;
  std::size_t hosts_ = 6;
  std::size_t engines_ = 24;
  int badParts_ = 1;
  double poisonPerStep_ = 0.05; // requests
  double soundPerStep_ = 0.5;
  double waveShare_ = 0; // of the engines, every two seconds
};

struct Outcome
{
  int crashes_ = 0; // by bad parts
  int late_ = 0;    // arrivals later than the reaction time allows
  int soundSent_ = 0;
  int soundRejected_ = 0; // after twice the reaction time
  int soundQuarantines_ = 0;
};

class Fleet
{
public:
  explicit Fleet(const Schedule& aSchedule)
    : schedule_(aSchedule)
    , random_(aSchedule.seed_)
    , hosts_(aSchedule.hosts_,
             PoisonRequestDetector(PoisonRequestDetector::Options{}))
    , engines_(aSchedule.engines_)
  {
  }

  Outcome Run(std::chrono::seconds aDuration)
  {
    for (std::chrono::milliseconds at{ 0 }; at < aDuration; at += kStep) {
      now_ += kStep;
      Arrive(at);
      Advance();
      if (at % kExchange == 0ms) {
        Exchange();
      }
      if (schedule_.waveShare_ > 0 && at % 2s == 1s) {
        CrashGroup();
      }
    }
    return outcome_;
  }

private:
  struct Request
  {
    RequestFeatures features_;
    std::size_t host_ = 0;
    WallTime sentAt_{};
    bool bad_ = false;
    bool retried_ = false;
    bool sound_ = false;
  };
  struct Engine
  {
    int incarnation_ = 0;
    WallTime downUntil_{};
    std::vector<Request> requests_;
  };
  struct Check
  {
    std::size_t host_ = 0;
    std::string endpoint_;
    WallTime due_{};
  };

  double Draw() { return std::uniform_real_distribution<>(0, 1)(random_); }
  std::size_t Pick(std::size_t aCount) { return random_() % aCount; }

  void Arrive(std::chrono::milliseconds aAt)
  {
    // Traffic flows for a while before the first bad request.
    if (aAt > 2s && Draw() < schedule_.poisonPerStep_) {
      Send(true);
    }
    if (Draw() < schedule_.soundPerStep_) {
      Send(false);
    }
  }

  void Send(bool aBad)
  {
    Request request{ .host_ = Pick(hosts_.size()), .bad_ = aBad };
    request.features_.content_ = std::to_string(++sent_);
    request.features_.parts_ = { "part-common",
                                 "part-" + std::to_string(Pick(12)) };
    if (aBad) {
      const auto bad = Pick(static_cast<std::size_t>(schedule_.badParts_));
      request.features_.parts_.insert(request.features_.parts_.begin() +
                                        static_cast<std::ptrdiff_t>(Pick(3)),
                                      "part-bad" + std::to_string(bad));
    }
    Place(std::move(request));
  }

  void Place(Request aRequest)
  {
    const bool settled = fifthCrash_ && now_ > *fifthCrash_ + 2 * kReactionTime;
    outcome_.soundSent_ += !aRequest.bad_ && settled ? 1 : 0;
    if (hosts_[aRequest.host_].FindQuarantined(aRequest.features_, now_)) {
      outcome_.soundRejected_ += !aRequest.bad_ && settled ? 1 : 0;
      return;
    }
    for (int attempt = 0; attempt < 20; ++attempt) {
      Engine& engine = engines_[Pick(engines_.size())];
      if (now_ >= engine.downUntil_) {
        const bool late = fifthCrash_ && now_ > *fifthCrash_ + kReactionTime;
        outcome_.late_ += aRequest.bad_ && late ? 1 : 0;
        aRequest.sentAt_ = now_;
        engine.requests_.push_back(std::move(aRequest));
        return;
      }
    }
  }

  void Advance()
  {
    for (Engine& engine : engines_) {
      bool crashes = false;
      for (Request& request : engine.requests_) {
        const auto begun = now_ - request.sentAt_ - kBegunAfter;
        crashes = crashes || (request.bad_ && begun >= kCrashAfter);
        if (begun >= kSoundAfter && !request.sound_) {
          request.sound_ = true;
          hosts_[request.host_].OnAnswered(request.features_,
                                           request.sentAt_ + kBegunAfter);
        }
      }
      std::erase_if(engine.requests_, [this](const Request& aRequest) {
        return now_ - aRequest.sentAt_ > kBegunAfter + kAnswered;
      });
      if (crashes) {
        ++outcome_.crashes_;
        if (outcome_.crashes_ == 5) {
          fifthCrash_ = now_;
        }
        Crash(engine);
      }
    }
    std::erase_if(checks_, [this](const Check& aCheck) {
      if (aCheck.due_ > now_) {
        return false;
      }
      hosts_[aCheck.host_].OnEndpointExit(aCheck.endpoint_, now_);
      return true;
    });
    for (PoisonRequestDetector& host : hosts_) {
      for (const QuarantineChange& change : host.TakeChanges()) {
        const bool sound = change.feature_.find("bad") == std::string::npos &&
                           IsPartFeature(change.feature_);
        outcome_.soundQuarantines_ += sound && !change.released_ ? 1 : 0;
        contents_ += !IsPartFeature(change.feature_) ? 1 : 0;
      }
    }
  }

  void Crash(Engine& aEngine)
  {
    const std::string name = std::to_string(&aEngine - engines_.data()) + "@" +
                             std::to_string(++aEngine.incarnation_);
    aEngine.downUntil_ = now_ + kBackAfter;
    const std::vector<Request> broken = std::move(aEngine.requests_);
    aEngine.requests_.clear();
    for (const Request& request : broken) {
      // Hosts notice it up to 0.1 s late.
      hosts_[request.host_].OnConnectionLost({ .endpoint_ = name,
                                               .features_ = request.features_,
                                               .justBegun_ = !request.sound_,
                                               .aliveAt_ = request.sentAt_ },
                                             now_ + Pick(100) * 1ms);
      checks_.push_back({ request.host_, name, now_ + kCheckTime });
    }
    for (Request request : broken) {
      if (!request.retried_) {
        request.retried_ = true;
        request.sound_ = false;
        Place(std::move(request));
      }
    }
  }

  void CrashGroup()
  {
    for (Engine& engine : engines_) {
      if (now_ >= engine.downUntil_ && Draw() < schedule_.waveShare_) {
        Crash(engine);
      }
    }
  }

  void Exchange()
  {
    for (PoisonRequestDetector& from : hosts_) {
      from.Sweep(now_);
      for (int twice = 0; twice < 3; ++twice) {
        PoisonRequestDetector& to = hosts_[Pick(hosts_.size())];
        if (Draw() >= kMessageLoss) {
          to.OnPeerEvidence(from.Evidence(now_), now_);
          to.OnPeer(from.Entries(now_));
        }
      }
    }
  }

public:
  int contents_ = 0; // quarantined, counted at each host

private:
  Schedule schedule_;
  std::minstd_rand random_;
  WallTime now_{ 100'000s };
  std::vector<PoisonRequestDetector> hosts_;
  std::vector<Engine> engines_;
  std::vector<Check> checks_;
  std::optional<WallTime> fifthCrash_;
  int sent_ = 0;
  Outcome outcome_;
};

void CheckReacts(Schedule aSchedule, unsigned aSeeds)
{
  int crashes = 0;
  for (unsigned seed = 1; seed <= aSeeds; ++seed) {
    aSchedule.seed_ = seed;
    const Outcome outcome = Fleet(aSchedule).Run(16s);
    crashes += outcome.crashes_;
    if (outcome.late_ > 3 * aSchedule.badParts_ ||
        outcome.soundRejected_ * 2 > outcome.soundSent_) {
      std::printf("seed %u: %d crashes, %d late, %d of %d sound rejected\n",
                  seed,
                  outcome.crashes_,
                  outcome.late_,
                  outcome.soundRejected_,
                  outcome.soundSent_);
    }
    CHECK_TRUE(outcome.late_ <= 3 * aSchedule.badParts_);
    CHECK_TRUE(outcome.soundRejected_ * 2 <= outcome.soundSent_);
  }
  std::printf("%zu hosts: %.1f crashes a schedule\n",
              aSchedule.hosts_,
              static_cast<double>(crashes) / aSeeds);
}

} // namespace

TEST_GROUP(PoisonSchedulesTest){};

TEST(PoisonSchedulesTest, RejectsTheBadPartAlone)
{
  for (const std::size_t hosts : { 1, 6, 30 }) {
    CheckReacts({ .hosts_ = hosts }, 20);
  }
}

TEST(PoisonSchedulesTest, RejectsSeveralBadPartsAtOnce)
{
  CheckReacts({ .badParts_ = 3, .poisonPerStep_ = 0.1 }, 10);
}

TEST(PoisonSchedulesTest, RejectsTheBadPartBesideGroupsOfCrashes)
{
  CheckReacts({ .waveShare_ = 0.1 }, 20);
}

TEST(PoisonSchedulesTest, RejectsTheBadPartOfManyRequests)
{
  CheckReacts({ .hosts_ = 91, .engines_ = 200, .poisonPerStep_ = 0.8 }, 3);
}

// Guards against rejecting sound requests for minutes, because engines crash
// together and again.
TEST(PoisonSchedulesTest, QuarantinesNothingForGroupsOfCrashes)
{
  for (const double share : { 0.1, 0.33 }) {
    for (unsigned seed = 1; seed <= 20; ++seed) {
      Fleet fleet({ .seed_ = seed, .poisonPerStep_ = 0, .waveShare_ = share });
      const Outcome outcome = fleet.Run(20s);
      if (outcome.soundQuarantines_ + fleet.contents_ > 0) {
        std::printf("share %.2f, seed %u: %d parts, %d contents\n",
                    share,
                    seed,
                    outcome.soundQuarantines_,
                    fleet.contents_);
      }
      LONGS_EQUAL(0, outcome.soundQuarantines_);
      LONGS_EQUAL(0, fleet.contents_);
    }
  }
}
