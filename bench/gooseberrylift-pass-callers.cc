// Simulated callers: arrivals, request sizes and the value of answers.

#include "gooseberrylift-pass-player.h"

#include <algorithm>
#include <cmath>

namespace gooseberrylift::bench {

Route PassSimulation::RouteOf(std::size_t aClass) const
{
  const PassClass& kind = site_.classes_[aClass];
  return { .name_ = kind.name_,
           .kind_ = RouteKind::kStreaming,
           .resumable_ = true,
           .maxAttempts_ = kMaxAttempts,
           .timeout_ = kind.deadline_,
           .objective_ = kind.objective_,
           .maxGap_ = kind.maxGap_ };
}

int NumberOf(const std::string& aEngine)
{
  return std::stoi(aEngine.substr(std::string("engine-").size()));
}

PassEngine& PassSimulation::EngineOf(const std::string& aId)
{
  return *engines_.at(static_cast<std::size_t>(NumberOf(aId)));
}

double PassSimulation::PaceOf(int aEngine) const
{
  const PassSlowdown& slow = options_.slowdown_;
  const double seconds = static_cast<double>(clock_.Now()) / 1e6;
  const bool isSlow = slow.every_ > 0 &&
                      static_cast<std::size_t>(aEngine) % slow.every_ == 0 &&
                      seconds >= slow.fromSeconds_ && seconds < slow.toSeconds_;
  return isSlow ? slow.factor_ : 1;
}

double PassSimulation::DrawPassFactor(int aEngine)
{
  const double pace = PaceOf(aEngine);
  if (options_.passJitter_ <= 0) {
    return pace;
  }
  std::lognormal_distribution<double> jitter(0, options_.passJitter_);
  return pace * jitter(jitter_);
}

// The value of a request is 0.3 plus 0.7 times its size relative to the mean,
// with a maximum of four times the value of a mean request.
double PassSimulation::WorthOf(const PassRequest& aRequest) const
{
  constexpr double kAnswerWeight = 10;
  const PassClass& kind = site_.classes_[aRequest.class_];
  const double perEvent = site_.profile_.stepsPerPass_;
  const double size = static_cast<double>(aRequest.prompt_) +
                      kAnswerWeight * aRequest.events_ * perEvent;
  const double usual =
    kind.promptMean_ + kAnswerWeight * kind.eventsMean_ * perEvent;
  return std::min(0.3 + 0.7 * size / usual, 4.0);
}

double PassSimulation::FactorAt(std::size_t aClass, double aSeconds) const
{
  for (const PassPhase& phase : site_.phases_) {
    if (aSeconds >= phase.fromSeconds_ && aSeconds < phase.toSeconds_) {
      return phase.factors_.at(aClass);
    }
  }
  return 1;
}

void PassSimulation::ScheduleArrivals(std::size_t aClass)
{
  const double seconds = static_cast<double>(clock_.Now()) / 1e6;
  // Thins a Poisson process of the highest rate, so that phase boundaries are
  // exact.
  constexpr double kMaxFactor = 4;
  const double rate = site_.classes_[aClass].perSecond_ * kMaxFactor;
  std::exponential_distribution<double> pause(rate);
  std::uniform_real_distribution<double> draw(0, kMaxFactor);
  const auto wait = static_cast<std::int64_t>(pause(arrivals_) * 1e6);
  if (seconds > site_.seconds_) {
    return;
  }
  clock_.After(wait, [this, aClass, accept = draw(arrivals_)] {
    const double now = static_cast<double>(clock_.Now()) / 1e6;
    if (accept < FactorAt(aClass, now)) {
      Arrive(aClass);
    }
    ScheduleArrivals(aClass);
  });
}

void PassSimulation::Arrive(std::size_t aClass)
{
  const PassClass& kind = site_.classes_[aClass];
  const auto draw = [this](double aMean, double aSpread, double aMax) {
    std::lognormal_distribution<double> size(
      std::log(aMean) - aSpread * aSpread / 2, aSpread);
    return std::clamp(size(arrivals_), 1.0, aMax);
  };
  auto request = std::make_shared<PassRequest>();
  request->id_ = nextId_++;
  request->class_ = aClass;
  request->host_ = arrivals_() % hosts_.size();
  request->prompt_ = static_cast<std::uint64_t>(
    draw(kind.promptMean_, kind.promptSpread_, kind.maxPrompt_));
  request->events_ = static_cast<int>(
    draw(kind.eventsMean_, kind.eventsSpread_, kind.eventsMean_ * 2.5));
  request->arrived_ = clock_.Now();
  request->lastArrival_ = clock_.Now();
  ++results_[aClass].asked_;
  results_[aClass].maxWorth_ += WorthOf(*request) * kind.worth_;
  hosts_[request->host_].retries_.OnRequest("engines", At(clock_));
  clock_.After(kind.deadline_.count() * 1000,
               [this, request] { End(request, false); });
  Send(request);
}

} // namespace gooseberrylift::bench
