#include "gooseberrylift-pass-engine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gooseberrylift::bench {

void VirtualClock::After(std::int64_t aMicroseconds, Callback aCallback)
{
  entries_.push({ .at_ = now_ + aMicroseconds,
                  .number_ = next_++,
                  .callback_ = std::move(aCallback) });
}

void VirtualClock::RunUntil(std::int64_t aMicroseconds)
{
  while (!entries_.empty() && entries_.top().at_ <= aMicroseconds) {
    const Entry entry = entries_.top();
    entries_.pop();
    now_ = entry.at_;
    entry.callback_();
  }
  now_ = aMicroseconds;
}

PassEngine::PassEngine(VirtualClock& aClock,
                       EngineProfile aProfile,
                       bool aBounded)
  : clock_(aClock)
  , profile_(aProfile)
  , bounded_(aBounded && aProfile.memoryTokens_ > 0)
{
}

std::uint64_t PassEngine::MemoryUsed() const
{
  std::uint64_t used = 0;
  for (const auto& [request, tokens] : reservations_) {
    used += tokens;
  }
  for (const auto& job : jobs_) {
    used += job->cancelled_ ? 0 : job->memoryTokens_ + job->generatedTokens_;
  }
  return used;
}

bool PassEngine::Reserve(std::uint64_t aRequest, std::uint64_t aTokens)
{
  if (bounded_ && MemoryUsed() + aTokens > profile_.memoryTokens_) {
    return false;
  }
  reservations_[aRequest] = aTokens;
  return true;
}

void PassEngine::Release(std::uint64_t aRequest)
{
  reservations_.erase(aRequest);
  Wake();
}

// Returns whether a job is rejected: an engine queues at most twice as many
// requests as it has slots, and accepts as many helper parts as it has slots.
bool PassEngine::IsFull(const PassJob& aJob) const
{
  const auto slots = static_cast<std::ptrdiff_t>(profile_.slots_);
  if (aJob.isPart_) {
    return std::count_if(jobs_.begin(), jobs_.end(), [](const auto& aOther) {
             return aOther->isPart_ && !aOther->cancelled_;
           }) >= slots;
  }
  return aJob.memoryTokens_ > profile_.memoryTokens_ ||
         static_cast<std::ptrdiff_t>(queue_.size()) >= 2 * slots;
}

void PassEngine::Add(std::shared_ptr<PassJob> aJob)
{
  if (bounded_ && IsFull(*aJob)) {
    aJob->cancelled_ = true;
    aJob->onRefused_();
    return;
  }
  if (aJob->isPart_) {
    jobs_.push_back(std::move(aJob));
  } else {
    const auto later =
      std::find_if(queue_.begin(), queue_.end(), [&](const auto& aOther) {
        return aOther->priority_ > aJob->priority_;
      });
    queue_.insert(later, std::move(aJob));
  }
  Wake();
}

void PassEngine::Wake()
{
  if (!busy_) {
    StartPass();
  }
}

bool PassEngine::IsDecoding(const PassJob& aJob) const
{
  return !aJob.isPart_ && aJob.prefillDone_ >= 1 && aJob.partsPending_ == 0;
}

// Distributes the prefill budget of a pass: parts of spread prompts first, then
// other prompts in order of arrival. Returns the time needed.
double PassEngine::PlanPrefill(double aSteps)
{
  double tokens = aSteps * static_cast<double>(profile_.prefillTokensPerStep_);
  double ms = 0;
  for (const bool spread : { true, false }) {
    for (const auto& job : jobs_) {
      if (job->spread_ != spread || job->prefillDone_ >= 1 || tokens <= 0) {
        continue;
      }
      const auto all = static_cast<double>(job->promptTokens_);
      const double share = std::min(1 - job->prefillDone_, tokens / all);
      tokens -= share * all;
      ms += share * job->prefillMs_;
      job->prefillDone_ += share + 1e-9;
    }
  }
  return ms;
}

// Preempts the newest request: frees its memory and restarts its prefill.
void PassEngine::PreemptNewest()
{
  const auto newest =
    std::find_if(jobs_.rbegin(), jobs_.rend(), [](const auto& aJob) {
      return !aJob->isPart_;
    });
  const std::shared_ptr<PassJob> job = *newest;
  jobs_.erase(std::next(newest).base());
  job->prefillDone_ = 0;
  job->decoding_ = false;
  queue_.push_front(job);
  ++preempted_;
}

void PassEngine::StartPass()
{
  std::erase_if(jobs_, [](const auto& aJob) { return aJob->cancelled_; });
  std::erase_if(queue_, [](const auto& aJob) { return aJob->cancelled_; });
  auto taken = std::count_if(jobs_.begin(), jobs_.end(), [](const auto& aJob) {
    return !aJob->isPart_;
  });
  while (bounded_ && MemoryUsed() > profile_.memoryTokens_ && taken > 1) {
    PreemptNewest();
    --taken;
  }
  while (!queue_.empty() && taken < profile_.slots_) {
    const PassJob& next = *queue_.front();
    const bool fits =
      MemoryUsed() + next.memoryTokens_ + next.generatedTokens_ <=
      profile_.memoryTokens_;
    if (bounded_ && !fits && (taken > 0 || !reservations_.empty())) {
      break;
    }
    jobs_.push_back(queue_.front());
    queue_.pop_front();
    ++taken;
  }
  int writers = 0;
  std::uint64_t context = 0;
  bool reading = false;
  for (const auto& job : jobs_) {
    job->decoding_ = IsDecoding(*job);
    writers += job->decoding_ ? 1 : 0;
    context += job->decoding_ ? job->promptTokens_ : 0;
    reading = reading || job->prefillDone_ < 1;
  }
  if (writers == 0 && !reading) {
    return;
  }
  busy_ = true;
  const double steps = writers > 0 ? profile_.stepsPerPass_ : 1;
  const auto pass =
    static_cast<double>(profile_.PassTime(writers, context).count()) / 1000 *
    steps / profile_.stepsPerPass_;
  const double ms = (pass + PlanPrefill(steps)) * pace_();
  clock_.After(static_cast<std::int64_t>(ms * 1000), [this] { EndPass(); });
}

void PassEngine::EndPass()
{
  busy_ = false;
  const auto jobs = jobs_; // a copy, as callbacks may add jobs
  for (const auto& job : jobs) {
    if (job->cancelled_ || job->prefillDone_ < 1) {
      continue;
    }
    if (job->isPart_) {
      job->cancelled_ = true;
      job->onPrefilled_();
    } else if (job->partsPending_ == 0) {
      --job->events_;
      job->generatedTokens_ +=
        static_cast<std::uint64_t>(profile_.stepsPerPass_);
      job->cancelled_ = job->events_ <= 0;
      job->onEvent_();
    }
  }
  Wake();
}

} // namespace gooseberrylift::bench
