#include "gooseberrylift/gooseberrylift-scheduler.h"

#include <algorithm>
#include <utility>

namespace gooseberrylift {

namespace {

constexpr std::chrono::milliseconds kRetryAfter{ 1000 };

bool IsExcluded(const RequestInfo& aInfo, const std::string& aEndpoint)
{
  return std::find(aInfo.excluded_.begin(), aInfo.excluded_.end(), aEndpoint) !=
         aInfo.excluded_.end();
}

} // namespace

Scheduler::Scheduler(Options aOptions)
  : options_(std::move(aOptions))
{
}

void Scheduler::SetEndpoints(std::vector<EndpointView> aViews, TimePoint aNow)
{
  std::map<std::string, Endpoint> next;
  for (EndpointView& view : aViews) {
    const std::string name = view.name_;
    const auto old = endpoints_.find(name);
    const int outstanding =
      old == endpoints_.end() ? 0 : old->second.outstanding_;
    next.emplace(
      name, Endpoint{ .view_ = std::move(view), .outstanding_ = outstanding });
  }
  endpoints_ = std::move(next);
  OnTick(aNow);
}

void Scheduler::OnRequest(const RequestInfo& aInfo, TimePoint aNow)
{
  if (aInfo.deadline_ <= aNow) {
    Refuse(aInfo.id_, ResultCode::kDeadlineExceeded, "no time left");
    return;
  }
  if (!HasCandidate(aInfo)) {
    Refuse(aInfo.id_, ResultCode::kNoEndpoint, "no live endpoint is left");
    return;
  }
  waiting_.push_back(aInfo);
  StartWaiting();
}

void Scheduler::OnCancelled(std::uint64_t aId, TimePoint /*aNow*/)
{
  std::erase_if(waiting_,
                [aId](const RequestInfo& aInfo) { return aInfo.id_ == aId; });
}

void Scheduler::OnFirstToken(std::uint64_t /*aId*/, TimePoint /*aNow*/) {}

void Scheduler::OnFinished(std::uint64_t aId,
                           const RequestOutcome& /*aOutcome*/,
                           TimePoint /*aNow*/)
{
  const auto run = running_.find(aId);
  if (run == running_.end()) {
    return;
  }
  const auto endpoint = endpoints_.find(run->second);
  if (endpoint != endpoints_.end()) {
    --endpoint->second.outstanding_;
  }
  running_.erase(run);
  StartWaiting();
}

void Scheduler::OnTick(TimePoint aNow)
{
  const auto isLate = [aNow](const RequestInfo& aInfo) {
    return aInfo.deadline_ <= aNow;
  };
  for (const RequestInfo& info : waiting_) {
    if (isLate(info)) {
      Refuse(info.id_, ResultCode::kDeadlineExceeded, "waited until deadline");
    }
  }
  std::erase_if(waiting_, isLate);
  StartWaiting();
}

std::vector<SchedulerAction> Scheduler::TakeActions()
{
  return std::exchange(actions_, {});
}

Scheduler::Endpoint* Scheduler::Choose(const RequestInfo& aInfo)
{
  if (options_.placement_ == "round-robin") {
    return ChooseNext(aInfo);
  }
  Endpoint* best = nullptr;
  for (auto& [name, endpoint] : endpoints_) {
    if (endpoint.view_.state_ != EndpointState::kLive ||
        endpoint.outstanding_ >= options_.maxConcurrency_ ||
        IsExcluded(aInfo, name)) {
      continue;
    }
    if (best == nullptr || endpoint.outstanding_ < best->outstanding_) {
      best = &endpoint;
    }
  }
  return best;
}

Scheduler::Endpoint* Scheduler::ChooseNext(const RequestInfo& aInfo)
{
  auto next = endpoints_.upper_bound(lastChosen_);
  for (std::size_t tried = 0; tried < endpoints_.size(); ++tried, ++next) {
    next = next == endpoints_.end() ? endpoints_.begin() : next;
    if (next->second.view_.state_ == EndpointState::kLive &&
        next->second.outstanding_ < options_.maxConcurrency_ &&
        !IsExcluded(aInfo, next->first)) {
      lastChosen_ = next->first;
      return &next->second;
    }
  }
  return nullptr;
}

bool Scheduler::HasCandidate(const RequestInfo& aInfo) const
{
  return std::any_of(
    endpoints_.begin(), endpoints_.end(), [&aInfo](const auto& aEntry) {
      return aEntry.second.view_.state_ == EndpointState::kLive &&
             !IsExcluded(aInfo, aEntry.first);
    });
}

void Scheduler::StartWaiting()
{
  while (!waiting_.empty()) {
    Endpoint* endpoint = Choose(waiting_.front());
    if (endpoint == nullptr) {
      return;
    }
    ++endpoint->outstanding_;
    running_.emplace(waiting_.front().id_, endpoint->view_.name_);
    actions_.push_back({ .id_ = waiting_.front().id_,
                         .endpoint_ = endpoint->view_.name_,
                         .refusal_ = {} });
    waiting_.pop_front();
  }
}

void Scheduler::Refuse(std::uint64_t aId, ResultCode aCode, std::string aText)
{
  actions_.push_back({ .id_ = aId,
                       .endpoint_ = {},
                       .refusal_ = { .code_ = aCode,
                                     .text_ = std::move(aText),
                                     .ran_ = RanState::kNo,
                                     .retryAfter_ = kRetryAfter } });
}

} // namespace gooseberrylift
