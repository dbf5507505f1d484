#include "gooseberrylift/internal/gooseberrylift-link-prober.h"

#include <algorithm>

#include "gooseberrylift-request-errors.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-tasks.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// An endpoint reports its state without queueing for a slot, within a few
// milliseconds.
constexpr milliseconds kProbeTimeout{ 400 };
constexpr milliseconds kProbePoll{ 10 };

// Returns whether a probe was not sent although its connection was established,
// which shows that this host stood still and nothing about the link.
bool WasPausedWhileConnecting(const Error& aError)
{
  return aError.code_ == ResultCode::kDeadlineExceeded &&
         aError.ran_ == RanState::kNo;
}

} // namespace

void LinkProber::OnFailed(const ListedEndpoint& aEndpoint, LinkFailure aFailure)
{
  const std::size_t endpoints =
    parts_.access_.CountUsable(aEndpoint.service_, {});
  bool suspected = false;
  {
    const std::lock_guard lock(mutex_);
    suspected = monitor_.OnFailed(aEndpoint.service_,
                                  aEndpoint.id_,
                                  aFailure,
                                  endpoints,
                                  TimerService::Now());
  }
  if (suspected) {
    SpawnLoop(parts_.executor_,
              [this, service = aEndpoint.service_] { return Follow(service); });
  }
}

void LinkProber::OnSucceeded(const ListedEndpoint& aEndpoint,
                             LinkFailure aExpected)
{
  const std::lock_guard lock(mutex_);
  monitor_.OnSucceeded(aEndpoint.service_, aExpected);
}

LinkState LinkProber::StateOf(const std::string& aService) const
{
  const std::lock_guard lock(mutex_);
  return monitor_.StateOf(aService);
}

bool LinkProber::IsCutOff(const std::string& aService) const
{
  const std::lock_guard lock(mutex_);
  return monitor_.IsCutOff(aService);
}

std::vector<std::string> LinkProber::Lost() const
{
  const std::lock_guard lock(mutex_);
  return monitor_.Lost();
}

// Sends rounds of probes until the links are up.
asio::awaitable<void> LinkProber::Follow(std::string aService)
{
  LinkState state = LinkState::kSuspected;
  while (true) {
    const ProbeResult result = co_await ProbeSample(aService);
    const LinkState before = state;
    {
      const std::lock_guard lock(mutex_);
      state = monitor_.OnProbed(aService, result, TimerService::Now());
    }
    if (state != before) {
      LogChange(aService, result, state);
    }
    if (state == LinkState::kLost && before != state) {
      parts_.onChanged_(aService, true);
      SuspectOthers(aService);
    }
    if (state == LinkState::kUp) {
      if (before == LinkState::kLost) {
        parts_.onChanged_(aService, false);
      }
      co_return;
    }
    co_await TimerService::SleepFor(LinkMonitor::Options{}.roundInterval_);
  }
}

// What cuts this host off from one service often cuts it off from all, and a
// service with few requests would be found out late.
void LinkProber::SuspectOthers(const std::string& aService)
{
  std::vector<std::string> suspected;
  {
    const std::lock_guard lock(mutex_);
    for (const std::string& service : monitor_.Services()) {
      if (service != aService && monitor_.Suspect(service)) {
        suspected.push_back(service);
      }
    }
  }
  for (const std::string& service : suspected) {
    SpawnLoop(parts_.executor_, [this, service] { return Follow(service); });
  }
}

asio::awaitable<ProbeResult> LinkProber::ProbeSample(std::string aService)
{
  auto endpoints = *parts_.access_.Shuffled(aService, RandomNumber());
  std::erase_if(endpoints, parts_.hasExited_);
  const auto round = std::make_shared<Round>();
  round->result_.sent_ =
    std::min(LinkMonitor::Options{}.sampleSize_, endpoints.size());
  round->result_.complete_ = round->result_.sent_ == endpoints.size();
  for (std::size_t index = 0; index < round->result_.sent_; ++index) {
    SpawnTask(parts_.executor_, Probe(endpoints.at(index), round));
  }
  // Each probe has a deadline, which allows for a pause of this process.
  while (round->ended_ < round->result_.sent_) {
    co_await TimerService::SleepFor(kProbePoll);
  }
  co_return round->result_;
}

asio::awaitable<Outcome<HttpResponse>> LinkProber::SendProbe(
  std::string aAddress)
{
  HttpClient::CallOptions options;
  options.forceNewConnection_ = true;
  options.connectTimeout_ = kProbeTimeout;
  const TimePoint deadline = TimerService::Now() + kProbeTimeout;
  HttpRequest request = parts_.dialect_.MakeProbeRequest();
  co_return co_await parts_.client_.Fetch(
    std::move(aAddress), std::move(request), deadline, options);
}

asio::awaitable<void> LinkProber::Probe(ListedEndpoint aEndpoint,
                                        std::shared_ptr<Round> aRound)
{
  auto answer = co_await SendProbe(aEndpoint.address_);
  while (!answer && WasPausedWhileConnecting(answer.error())) {
    answer = co_await SendProbe(aEndpoint.address_);
  }
  ++aRound->ended_;
  aRound->result_.answered_ += answer ? 1 : 0;
  parts_.metrics_.Count("gooseberrylift_link_probes_total",
                        answer ? "answered=\"yes\"" : "answered=\"no\"");
}

void LinkProber::LogChange(const std::string& aService,
                           const ProbeResult& aResult,
                           LinkState aState) const
{
  constexpr const char* kNames[] = { "up", "suspected", "lost" };
  const std::string name = kNames[static_cast<int>(aState)];
  Log(LogEvent::kLinkState,
      { { "service", aService },
        { "links", name },
        { "probes", aResult.sent_ },
        { "answered", aResult.answered_ } });
  parts_.metrics_.Count("gooseberrylift_link_changes_total",
                        "service=\"" + aService + "\",links=\"" + name + "\"");
}

} // namespace gooseberrylift
