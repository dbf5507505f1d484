#include "bench/gooseberrylift-bench-fleet.h"

#include <algorithm>

namespace gooseberrylift::bench {

namespace {

constexpr milliseconds kTick{ 10 };
constexpr milliseconds kSampleEvery{ 50 };
constexpr int kZones = 3;
constexpr int kPollsUntilDead = 3;

} // namespace

struct Fleet::Engine
{
  Engine(int aIndex, const fakes::FakeBatch::Options& aOptions)
    : index_(aIndex)
    , name_("engine-" + std::to_string(aIndex))
    , batch_(aOptions)
  {
  }

  int index_;
  std::string name_;
  fakes::FakeBatch batch_;
  fakes::FakeBatch::Step step_;
  std::map<std::uint64_t, FlightPtr> flights_; // by the sequence's serial
  std::deque<LoadReport> samples_;
  std::uint64_t epoch_ = 0; // incremented on each restart
  bool stepping_ = false;
  bool hangs_ = false;
  bool down_ = false;
};

struct Fleet::Host
{
  Host(int aIndex, Scheduler::Options aOptions)
    : index_(aIndex)
    , scheduler_(std::move(aOptions))
  {
  }

  int index_;
  Scheduler scheduler_;
  std::map<std::uint64_t, FlightPtr> flights_;
  std::vector<int> missedPolls_;
};

struct Fleet::Flight
{
  Arrival arrival_;
  RequestInfo info_;
  Record record_;
  Host* host_ = nullptr;
  Engine* engine_ = nullptr;
  fakes::Sequence* sequence_ = nullptr;
  std::uint64_t attempt_ = 0;
  int attempts_ = 0;
  std::uint64_t tokens_ = 0; // received by the caller
  int priority_ = 0;
  bool done_ = false;
};

Fleet::Fleet(FleetOptions aOptions)
  : options_(std::move(aOptions))
  , random_(options_.seed_)
{
  for (int index = 0; index < options_.engines_; ++index) {
    engines_.push_back(std::make_unique<Engine>(index, options_.engine_));
  }
  SampleLoads();
  for (int index = 0; index < options_.hosts_; ++index) {
    auto scheduler = options_.scheduler_;
    scheduler.zone_ = "zone-" + std::to_string(index % kZones);
    scheduler.seed_ = options_.seed_ * 1000 + static_cast<std::uint64_t>(index);
    hosts_.push_back(std::make_unique<Host>(index, scheduler));
    hosts_.back()->missedPolls_.resize(engines_.size());
    Host* host = hosts_.back().get();
    host->scheduler_.SetHostCount(static_cast<std::size_t>(options_.hosts_));
    UpdateEndpoints(*host);
    // Staggers the polls of the hosts, as in a real deployment.
    At(options_.reportEvery_ * index / options_.hosts_,
       [this, host] { Poll(*host); });
    At(microseconds(1000 * index), [this, host] { Tick(*host); });
  }
}

Fleet::~Fleet() = default;

void Fleet::At(microseconds aWhen, std::function<void()> aChange)
{
  events_.push(
    { .at_ = now_ + aWhen, .order_ = order_++, .run_ = std::move(aChange) });
}

void Fleet::Slow(int aEngine, double aFactor)
{
  engines_.at(static_cast<std::size_t>(aEngine))
    ->batch_.MutableOptions()
    .slowdown_ = aFactor;
}

void Fleet::Hang(int aEngine)
{
  engines_.at(static_cast<std::size_t>(aEngine))->hangs_ = true;
}

void Fleet::Kill(int aEngine)
{
  Engine& engine = *engines_.at(static_cast<std::size_t>(aEngine));
  engine.down_ = true;
  engine.stepping_ = false;
  ++engine.epoch_;
  const auto flights = std::move(engine.flights_);
  engine.flights_.clear();
  for (const auto& [serial, flight] : flights) {
    EndAttempt(flight, true);
  }
}

void Fleet::Revive(int aEngine)
{
  Engine& engine = *engines_.at(static_cast<std::size_t>(aEngine));
  engine.down_ = false;
  engine.hangs_ = false;
}

std::vector<Record> Fleet::Run(const std::vector<Arrival>& aArrivals)
{
  const TimePoint begin = now_;
  for (const Arrival& arrival : aArrivals) {
    ++open_;
    At(std::chrono::duration_cast<microseconds>(arrival.at_.time_since_epoch()),
       [this, arrival] { StartRequest(arrival); });
  }
  while (open_ > 0 && !events_.empty()) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at_;
    event.run_();
  }
  for (Record& record : records_) {
    record.sent_ = TimePoint(record.sent_ - begin);
    record.answered_ = TimePoint(record.answered_ - begin);
  }
  return std::move(records_);
}

void Fleet::StartRequest(const Arrival& aArrival)
{
  auto flight = std::make_shared<Flight>();
  flight->arrival_ = aArrival;
  flight->info_ = aArrival.info_;
  flight->info_.deadline_ = now_ + aArrival.patience_;
  flight->record_ = { .sent_ = now_,
                      .team_ = aArrival.info_.team_,
                      .class_ = aArrival.info_.class_,
                      .promptTokens_ = aArrival.info_.promptTokens_ };
  flight->host_ = hosts_[random_() % hosts_.size()].get();
  At(options_.callerDelay_, [this, flight] { Submit(flight); });
  At(aArrival.patience_, [this, flight] {
    if (!flight->done_) {
      flight->record_.late_ = true;
      EndAttempt(flight, false);
      Answer(flight, ResultCode::kDeadlineExceeded);
    }
  });
}

void Fleet::Submit(const FlightPtr& aFlight)
{
  aFlight->info_.id_ = nextId_++;
  aFlight->host_->flights_[aFlight->info_.id_] = aFlight;
  aFlight->host_->scheduler_.OnRequest(aFlight->info_, now_);
  ExecuteActions(*aFlight->host_);
}

void Fleet::ExecuteActions(Host& aHost)
{
  for (const SchedulerAction& action : aHost.scheduler_.TakeActions()) {
    const auto found = aHost.flights_.find(action.id_);
    if (found == aHost.flights_.end()) {
      continue;
    }
    const FlightPtr flight = found->second;
    if (!action.endpoint_.empty()) {
      Dispatch(flight, action);
      continue;
    }
    aHost.flights_.erase(found);
    const TimePoint arrived = flight->record_.sent_ + options_.callerDelay_;
    flight->record_.refusedLate_ = now_ > arrived + milliseconds(100);
    flight->record_.retryAfter_ =
      action.refusal_.retryAfter_.value_or(milliseconds(0));
    Answer(flight, action.refusal_.code_);
  }
}

void Fleet::Dispatch(const FlightPtr& aFlight, const SchedulerAction& aAction)
{
  ++dispatches_;
  ++aFlight->attempts_;
  const std::uint64_t attempt = ++aFlight->attempt_;
  const int index = std::stoi(aAction.endpoint_.substr(7));
  aFlight->engine_ = engines_[static_cast<std::size_t>(index)].get();
  aFlight->priority_ =
    options_.classPriority_ ? static_cast<int>(aFlight->info_.class_) : 0;
  aFlight->record_.started_ = true;
  At(Delay(*aFlight->host_, *aFlight->engine_),
     [this, aFlight, attempt] { ArriveAtEngine(aFlight, attempt); });
  if (aAction.firstTokenLimit_.count() > 0) {
    At(aAction.firstTokenLimit_, [this, aFlight, attempt] {
      if (aFlight->attempt_ == attempt && aFlight->tokens_ == 0) {
        ++timeouts_;
        EndAttempt(aFlight, true);
      }
    });
  }
}

void Fleet::ArriveAtEngine(const FlightPtr& aFlight, std::uint64_t aAttempt)
{
  if (aFlight->done_ || aFlight->attempt_ != aAttempt) {
    return;
  }
  Engine& engine = *aFlight->engine_;
  if (aFlight->arrival_.crashes_ && !engine.down_) {
    ++crashed_;
    Kill(engine.index_);
  }
  const std::uint64_t tokens = aFlight->info_.promptTokens_;
  const std::uint64_t need = tokens + aFlight->info_.maxTokens_;
  if (engine.down_) {
    // A refused connection counts as evidence that the endpoint is down, as in
    // the endpoint registry.
    Host& host = *aFlight->host_;
    if (++host.missedPolls_[static_cast<std::size_t>(engine.index_)] ==
        kPollsUntilDead) {
      UpdateEndpoints(host);
    }
  }
  if (engine.down_ || !engine.batch_.Fits(need)) {
    EndAttempt(aFlight, engine.down_);
    return;
  }
  fakes::Sequence sequence;
  sequence.priority_ = aFlight->priority_;
  sequence.promptTokens_ = tokens + aFlight->tokens_;
  sequence.prefillRemaining_ = sequence.promptTokens_;
  sequence.nextToken_ = aFlight->tokens_;
  sequence.maxTokens_ = aFlight->info_.maxTokens_;
  sequence.kvTokens_ = need;
  aFlight->sequence_ = engine.batch_.Add(std::move(sequence));
  engine.flights_[aFlight->sequence_->serial_] = aFlight;
  Step(engine);
}

void Fleet::Step(Engine& aEngine)
{
  if (aEngine.stepping_ || aEngine.hangs_ || aEngine.batch_.IsIdle()) {
    return;
  }
  aEngine.stepping_ = true;
  aEngine.step_ = aEngine.batch_.BeginStep();
  const std::uint64_t epoch = aEngine.epoch_;
  At(std::max(aEngine.step_.duration_, microseconds(100)),
     [this, &aEngine, epoch] { EndStep(aEngine, epoch); });
}

void Fleet::EndStep(Engine& aEngine, std::uint64_t aEpoch)
{
  if (aEngine.epoch_ != aEpoch) {
    return;
  }
  aEngine.stepping_ = false;
  aEngine.batch_.FinishStep(aEngine.step_);
  std::vector<FlightPtr> finished;
  for (const std::uint64_t serial : aEngine.step_.decoded_) {
    const auto found = aEngine.flights_.find(serial);
    if (found == aEngine.flights_.end()) {
      continue;
    }
    const FlightPtr flight = found->second;
    const std::uint64_t next = flight->sequence_->nextToken_;
    if (flight->tokens_ == 0 && next > 0) {
      const auto back = Delay(*flight->host_, aEngine) + options_.callerDelay_;
      flight->record_.firstToken_ = std::chrono::duration_cast<microseconds>(
        now_ + back - flight->record_.sent_);
      flight->host_->scheduler_.OnFirstToken(flight->info_.id_, now_);
      ExecuteActions(*flight->host_);
    }
    flight->tokens_ = next;
    if (next >= flight->info_.maxTokens_) {
      finished.push_back(flight);
    }
  }
  for (const FlightPtr& flight : finished) {
    EndAttempt(flight, false);
  }
  Step(aEngine);
}

// Releases the slot and retries on another engine if the answer is incomplete.
void Fleet::EndAttempt(const FlightPtr& aFlight, bool aFault)
{
  Host& host = *aFlight->host_;
  const bool whole = aFlight->tokens_ >= aFlight->info_.maxTokens_;
  const auto run = host.flights_.find(aFlight->info_.id_);
  const bool placed = aFlight->engine_ != nullptr;
  std::string name;
  if (placed) {
    name = aFlight->engine_->name_;
    if (aFlight->sequence_ != nullptr && !aFlight->engine_->down_) {
      aFlight->engine_->flights_.erase(aFlight->sequence_->serial_);
      aFlight->engine_->batch_.Remove(aFlight->sequence_);
    } else if (aFlight->sequence_ != nullptr) {
      aFlight->engine_->batch_.Remove(aFlight->sequence_);
    }
    host.scheduler_.OnFinished(
      aFlight->info_.id_,
      { .succeeded_ = whole, .endpointAtFault_ = aFault },
      now_);
  } else if (run != host.flights_.end()) {
    host.scheduler_.OnCancelled(aFlight->info_.id_, now_);
  }
  if (run != host.flights_.end()) {
    host.flights_.erase(run);
  }
  aFlight->engine_ = nullptr;
  aFlight->sequence_ = nullptr;
  ++aFlight->attempt_;
  if (whole) {
    Answer(aFlight, ResultCode::kOk);
  } else if (aFlight->record_.late_) {
    // The caller's deadline expired.
  } else if (aFlight->attempts_ < options_.maxAttempts_) {
    aFlight->info_.excluded_.push_back(name);
    Submit(aFlight);
  } else {
    Answer(aFlight, ResultCode::kEndpointBroken);
  }
  ExecuteActions(host);
}

void Fleet::Answer(const FlightPtr& aFlight, ResultCode aCode)
{
  if (aFlight->done_) {
    return;
  }
  aFlight->done_ = true;
  aFlight->record_.code_ = aCode;
  aFlight->record_.answered_ = now_ + options_.callerDelay_;
  records_.push_back(aFlight->record_);
  if (aCode != ResultCode::kOk && aFlight->arrival_.resends_ > 0) {
    Arrival again = aFlight->arrival_;
    --again.resends_;
    ++open_;
    const auto wait = std::max(milliseconds(50), aFlight->record_.retryAfter_);
    At(wait, [this, again] { StartRequest(again); });
  }
  --open_;
}

void Fleet::SampleLoads()
{
  for (const auto& engine : engines_) {
    const fakes::FakeBatch& batch = engine->batch_;
    engine->samples_.push_back(
      { .at_ = now_,
        .waitingTokens_ = batch.WaitingTokens(),
        .running_ = static_cast<int>(batch.CountRunning()),
        .waiting_ = static_cast<int>(batch.CountWaiting()),
        .kvTokensUsed_ = batch.KvUsed(),
        .kvTokensTotal_ = batch.KvTotal() });
    while (engine->samples_.size() > 1 &&
           engine->samples_[1].at_ <= now_ - options_.reportLag_) {
      engine->samples_.pop_front();
    }
  }
  At(kSampleEvery, [this] { SampleLoads(); });
}

void Fleet::UpdateEndpoints(Host& aHost)
{
  std::vector<EndpointView> views;
  for (const auto& engine : engines_) {
    const auto index = static_cast<std::size_t>(engine->index_);
    int& missed = aHost.missedPolls_[index];
    missed = engine->down_ ? missed : 0;
    views.push_back(
      { .name_ = engine->name_,
        .pool_ = "llm",
        .zone_ = "zone-" + std::to_string(engine->index_ % kZones),
        .state_ = missed >= kPollsUntilDead ? EndpointState::kDead
                                            : EndpointState::kLive,
        .incarnation_ = engine->epoch_ + 1,
        .load_ = engine->samples_.empty() ? LoadReport{ .at_ = now_ }
                                          : engine->samples_.front() });
  }
  aHost.scheduler_.SetEndpoints(std::move(views), now_);
  ExecuteActions(aHost);
}

void Fleet::Poll(Host& aHost)
{
  for (const auto& engine : engines_) {
    const auto index = static_cast<std::size_t>(engine->index_);
    aHost.missedPolls_[index] += engine->down_ ? 1 : 0;
  }
  UpdateEndpoints(aHost);
  At(options_.reportEvery_, [this, &aHost] { Poll(aHost); });
}

void Fleet::Tick(Host& aHost)
{
  aHost.scheduler_.OnTick(now_);
  ExecuteActions(aHost);
  At(kTick, [this, &aHost] { Tick(aHost); });
}

microseconds Fleet::Delay(const Host& aHost, const Engine& aEngine) const
{
  const bool near = aHost.index_ % kZones == aEngine.index_ % kZones;
  return near ? microseconds(200) : options_.zoneDelay_;
}

} // namespace gooseberrylift::bench
