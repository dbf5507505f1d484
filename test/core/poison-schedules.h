// Random schedules of crashing parts and of engines that crash for reasons of
// their own, on virtual time, with evidence that is lost, late or doubled.

#ifndef GOOSEBERRYLIFT_TEST_CORE_POISON_SCHEDULES_H_
#define GOOSEBERRYLIFT_TEST_CORE_POISON_SCHEDULES_H_

#include "gooseberrylift/limits/gooseberrylift-poison-request-detector.h"

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace gooseberrylift::test {

using namespace std::chrono_literals;

constexpr auto kStep = 10ms;
constexpr auto kCrashAfter = 60ms;  // of the begin
constexpr auto kSoundAfter = 400ms; // of the begin
constexpr auto kAnswered = 1'500ms; // of the begin
constexpr auto kCheckTime = 100ms;  // until an exit is confirmed
constexpr auto kBackAfter = 3s;
constexpr auto kExchange = 150ms;
constexpr double kMessageLoss = 0.1;
constexpr auto kReactionTime = 3s;
constexpr int kMaxLate = 3; // arrivals with a bad part

struct Schedule
{
  unsigned seed_ = 0;
  std::size_t hosts_ = 6;
  std::size_t engines_ = 24;
  int badParts_ = 1;
  double poisonPerStep_ = 0.05; // requests
  double soundPerStep_ = 0.5;
  double waveShare_ = 0; // of the engines, every two seconds
  std::chrono::milliseconds firstBadAt_ = 2s;
  std::optional<std::chrono::milliseconds> restartAt_{}; // of all hosts
  std::chrono::milliseconds prefill_ = 30ms;             // of each prompt
};

struct Outcome
{
  int crashes_ = 0; // by bad parts
  int late_ = 0;    // arrivals later than the reaction time allows, of one part
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
    , bad_(static_cast<std::size_t>(aSchedule.badParts_))
  {
  }

  Outcome Run(std::chrono::seconds aDuration)
  {
    for (std::chrono::milliseconds at{ 0 }; at < aDuration; at += kStep) {
      now_ += kStep;
      if (at == schedule_.restartAt_) {
        Restart();
      }
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
    std::optional<std::size_t> bad_{}; // its bad part
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
    if (aAt >= schedule_.firstBadAt_ && Draw() < schedule_.poisonPerStep_) {
      Send(true);
    }
    if (Draw() < schedule_.soundPerStep_) {
      Send(false);
    }
  }

  void Send(bool aBad)
  {
    Request request{ .host_ = Pick(hosts_.size()) };
    request.features_.content_ = std::to_string(++sent_);
    request.features_.parts_ = { "part-common",
                                 "part-" + std::to_string(Pick(12)) };
    if (aBad) {
      const std::size_t bad = Pick(bad_.size());
      request.bad_ = bad;
      request.features_.parts_.insert(request.features_.parts_.begin() +
                                        static_cast<std::ptrdiff_t>(Pick(3)),
                                      "part-bad" + std::to_string(bad));
    }
    hosts_[request.host_].OnArrived(request.features_, now_);
    Place(std::move(request));
  }

  void Place(Request aRequest)
  {
    const bool settled = IsSettled();
    outcome_.soundSent_ += !aRequest.bad_ && settled ? 1 : 0;
    if (hosts_[aRequest.host_].FindQuarantined(aRequest.features_, now_)) {
      outcome_.soundRejected_ += !aRequest.bad_ && settled ? 1 : 0;
      return;
    }
    for (int attempt = 0; attempt < 20; ++attempt) {
      Engine& engine = engines_[Pick(engines_.size())];
      if (now_ >= engine.downUntil_) {
        if (aRequest.bad_) {
          CountLate(bad_[*aRequest.bad_]);
        }
        aRequest.sentAt_ = now_;
        engine.requests_.push_back(std::move(aRequest));
        return;
      }
    }
  }

  // A bad part, and what came of it.
  struct BadPart
  {
    int crashes_ = 0;
    WallTime fifthCrash_{};
    int late_ = 0;
  };

  bool IsPast(const BadPart& aPart, std::chrono::milliseconds aTime) const
  {
    return aPart.crashes_ >= 5 &&
           now_ > std::max(aPart.fifthCrash_, restarted_) + aTime;
  }

  bool IsSettled() const
  {
    return std::any_of(
             bad_.begin(),
             bad_.end(),
             [](const BadPart& aPart) { return aPart.crashes_ >= 5; }) &&
           std::all_of(bad_.begin(), bad_.end(), [this](const BadPart& aPart) {
             return aPart.crashes_ < 5 || IsPast(aPart, 2 * kReactionTime);
           });
  }

  void CountLate(BadPart& aPart)
  {
    aPart.late_ += IsPast(aPart, kReactionTime) ? 1 : 0;
    outcome_.late_ = std::max(outcome_.late_, aPart.late_);
  }

  void CountCrash(BadPart& aPart)
  {
    ++outcome_.crashes_;
    if (++aPart.crashes_ == 5) {
      aPart.fifthCrash_ = now_;
    }
  }

  void Restart()
  {
    hosts_.assign(hosts_.size(),
                  PoisonRequestDetector(PoisonRequestDetector::Options{}));
    for (Engine& engine : engines_) {
      engine.requests_.clear();
    }
    checks_.clear();
    restarted_ = now_;
  }

  void Advance()
  {
    for (Engine& engine : engines_) {
      std::optional<std::size_t> crashes;
      for (Request& request : engine.requests_) {
        const auto begun = now_ - request.sentAt_ - schedule_.prefill_;
        if (request.bad_ && begun >= kCrashAfter) {
          crashes = request.bad_;
        }
        if (begun >= kSoundAfter && !request.sound_) {
          request.sound_ = true;
          hosts_[request.host_].OnAnswered(
            request.features_, request.sentAt_ + schedule_.prefill_);
        }
      }
      std::erase_if(engine.requests_, [this](const Request& aRequest) {
        return now_ - aRequest.sentAt_ > schedule_.prefill_ + kAnswered;
      });
      if (crashes) {
        CountCrash(bad_[*crashes]);
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

  bool HasJustBegun(const Request& aRequest) const
  {
    return !aRequest.sound_ &&
           now_ - aRequest.sentAt_ >= schedule_.prefill_ / 2;
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
      hosts_[request.host_].OnConnectionLost(
        { .endpoint_ = name,
          .features_ = request.features_,
          .justBegun_ = HasJustBegun(request),
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
          to.OnPeer(from.Entries(now_), now_);
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
  std::vector<BadPart> bad_;
  WallTime restarted_{};
  int sent_ = 0;
  Outcome outcome_;
};

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_CORE_POISON_SCHEDULES_H_
