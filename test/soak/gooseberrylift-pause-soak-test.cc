// Plays seeded random pauses beside configuration changes, planned stops and
// drains while callers read streams. SOAK_SEED is the first seed, SOAK_SEEDS
// the number of seeds.
//
// A run in the background needs a session of its own (setsid): the kernel sends
// SIGHUP to a process group with stopped processes when its shell exits.

#include "soak-callers.h"
#include "soak-schedule.h"

#include "harness-callers.h"
#include "harness-restart.h"
#include "harness-streams.h"

#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
namespace names = gooseberrylift::platform;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr SoakSize kSize;
constexpr int kCallers = 36;
constexpr int kEvents = 40;
constexpr milliseconds kEventInterval{ 100 };
constexpr milliseconds kDrainLimit{ 15'000 };
constexpr milliseconds kMaxStop = kDrainLimit + seconds(10);

// Attempts are sent again at most this long after the end of a pause.
constexpr milliseconds kAfterPause{ 1'000 };

// The third part of the seeds has hardly any retry budget.
json GatewaySettings(std::uint64_t aSeed)
{
  return aSeed % 3 == 0
           ? json{ { "retry_allowance", 20 }, { "retry_ratio", 0.01 } }
           : json::object();
}

GatewayDeployment::Options OptionsOf(std::uint64_t aSeed)
{
  return { .hosts_ = 0, // RestartableHosts starts them
           .engines_ = static_cast<int>(kSize.engines_),
           .boards_ = 1,
           .engine_ = LongStreamEngine(kEvents, kEventInterval),
           .gateway_ = GatewaySettings(aSeed),
           .host_ = { { "drain", { { "limit_ms", kDrainLimit.count() } } } },
           .linkedHosts_ = static_cast<int>(kSize.hosts_) };
}

// Adds a route whose callers wait for longer to the initial document.
json SoakDocument(const GatewayDeployment& aDeployment)
{
  json document = LongStreamDocument(aDeployment);
  json patient = document["routes"][0];
  patient["name"] = "patient";
  patient["pathPrefix"] = "/patient/";
  patient["targetLatencyMs"] = 1'500;
  patient["maxAttempts"] = 3;
  document["routes"].push_back(patient);
  return document;
}

// Callers leave after the longest of 2 s, four times the objective and eight
// times the longest gap.
std::vector<SoakRoute> Routes()
{
  return { { .path_ = "/stream/x", .stallTimeout_ = milliseconds(2'000) },
           { .path_ = "/patient/x", .stallTimeout_ = milliseconds(6'000) } };
}

// Returns whether a log line is of one of the requests or of a pause.
bool IsShown(const std::string& aLine, const std::set<std::string>& aIds)
{
  const json line = json::parse(aLine, nullptr, false);
  if (!line.is_object()) {
    return false;
  }
  const int event = line.value("event", 0);
  return event == 1006 || event == 1107 ||
         (event >= 1301 && event <= 1306 &&
          aIds.contains(line.value("request_id", "")));
}

// A process that several pauses may stop at the same time. It goes on when the
// last one ends.
class PauseTarget
{
public:
  using SendSignal = std::function<void(int aSignal)>;

  explicit PauseTarget(SendSignal aSend)
    : send_(std::move(aSend))
  {
  }

  void Begin()
  {
    const std::lock_guard lock(mutex_);
    if (pauses_++ == 0) {
      send_(SIGSTOP);
    }
  }

  void End()
  {
    const std::lock_guard lock(mutex_);
    if (--pauses_ == 0) {
      send_(SIGCONT);
    }
  }

private:
  SendSignal send_;
  std::mutex mutex_; // guards pauses_
  int pauses_ = 0;
};

// A deployment with callers, on which a schedule is played.
class SoakRun
{
public:
  explicit SoakRun(std::uint64_t aSeed)
    : seed_(aSeed)
    , schedule_(MakeSoakSchedule(aSeed, kSize))
    , deployment_(OptionsOf(aSeed))
    , hosts_(deployment_, kSize.hosts_, true)
    , document_(SoakDocument(deployment_))
  {
    AddTargets();
    deployment_.PutDocument(document_);
    for (std::size_t host = 0; host < kSize.hosts_; ++host) {
      CHECK_TRUE(WaitUntil(seconds(10), [&] {
        return hosts_.At(host).Status().value("generation", 0) ==
               document_.at("version").get<int>();
      }));
    }
  }

  // Plays the schedule and waits for the ends of all streams.
  void Play()
  {
    SoakCallers callers({ .ports_ = hosts_.Ports(),
                          .routes_ = Routes(),
                          .count_ = kCallers,
                          .events_ = kEvents });
    begin_ = TimerService::Now();
    std::vector<std::thread> threads;
    threads.reserve(schedule_.size());
    for (const SoakAction& action : schedule_) {
      threads.emplace_back([this, &action] { Perform(action); });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    streams_ = callers.Stop();
    sentAgainMs_ = TimesSentAgain();
  }

  // Returns the streams that were cut although their host had not exceeded its
  // drain limit.
  std::vector<SoakStream> CutStreams() const
  {
    std::vector<SoakStream> cut;
    for (const SoakStream& stream : streams_) {
      if (stream.end_ == StreamEnd::kCut && !IsExcused(stream)) {
        cut.push_back(stream);
      }
    }
    return cut;
  }

  int Count(StreamEnd aEnd) const
  {
    return static_cast<int>(std::count_if(
      streams_.begin(), streams_.end(), [aEnd](const SoakStream& aStream) {
        return aStream.end_ == aEnd;
      }));
  }

  // Returns whether each host that was stopped has ended in time.
  bool AllStopsEnded() const { return stopsEnded_; }

  // Returns how many engines and links do not run any more, which would cut
  // streams without a fault of the hosts.
  int CountEndedStandIns()
  {
    int ended = 0;
    for (std::size_t index = 0; index < kSize.engines_; ++index) {
      for (Process* process : { &deployment_.Engine(index).Handle(),
                                &deployment_.Link(index).Handle() }) {
        ended += process->WaitForExit(milliseconds(0)) < 0 ? 0 : 1;
      }
    }
    return ended;
  }

  // Prints how the streams ended and, for each pause, the attempts that were
  // sent again.
  void PrintFigures() const
  {
    std::cout << "seed " << seed_ << ": whole " << Count(StreamEnd::kWhole)
              << ", left by their caller " << Count(StreamEnd::kLeft)
              << ", refused " << Count(StreamEnd::kRefused) << ", cut "
              << CutStreams().size() << " of " << Count(StreamEnd::kCut)
              << ", sent again " << sentAgainMs_.size() << std::endl;
    for (const PlayedPause& pause : pauses_) {
      const auto again = std::count_if(
        sentAgainMs_.begin(), sentAgainMs_.end(), [&](std::int64_t aTime) {
          return aTime >= pause.beganMs_ &&
                 aTime <= pause.endedMs_ + kAfterPause.count();
        });
      std::cout << "  " << Describe(pause.action_) << ": sent again " << again
                << std::endl;
    }
  }

  // Prints the schedule, and the log lines of streams.
  void PrintTrace(const std::vector<SoakStream>& aStreams) const
  {
    for (const SoakAction& action : schedule_) {
      std::cout << "  " << Describe(action) << std::endl;
    }
    std::set<std::string> ids;
    for (const SoakStream& stream : aStreams) {
      ids.insert(stream.attempt_);
      const auto at =
        std::chrono::duration_cast<milliseconds>(stream.endedAt_ - begin_);
      std::cout << "  cut at " << at.count() << " ms: " << stream.attempt_
                << " at host " << stream.host_ << ", " << stream.bytes_
                << " bytes" << std::endl;
    }
    for (std::size_t host = 0; host < kSize.hosts_; ++host) {
      std::istringstream lines(hosts_.OutputOf(host));
      for (std::string line; std::getline(lines, line);) {
        if (IsShown(line, ids)) {
          std::cout << "  host " << host << ": " << line << std::endl;
        }
      }
    }
  }

private:
  using Targets = std::vector<std::unique_ptr<PauseTarget>>;

  struct PlayedPause
  {
    SoakAction action_;
    std::int64_t beganMs_ = 0;
    std::int64_t endedMs_ = 0;
  };

  // A host past its drain limit, until it was started again.
  struct Overrun
  {
    std::size_t host_ = 0;
    TimePoint from_;
    TimePoint until_;
  };

  void AddTarget(SoakTarget aTarget, PauseTarget::SendSignal aSend)
  {
    targets_[aTarget].push_back(
      std::make_unique<PauseTarget>(std::move(aSend)));
  }

  void AddTargets()
  {
    for (std::size_t index = 0; index < kSize.engines_; ++index) {
      AddTarget(SoakTarget::kEngines, [this, index](int aSignal) {
        deployment_.Engine(index).Handle().Signal(aSignal);
      });
      AddTarget(SoakTarget::kLinks, [this, index](int aSignal) {
        deployment_.Link(index).Handle().Signal(aSignal);
      });
    }
    for (std::size_t index = 0; index < kSize.hosts_; ++index) {
      AddTarget(SoakTarget::kHosts,
                [this, index](int aSignal) { hosts_.Signal(index, aSignal); });
    }
    AddTarget(SoakTarget::kStore, [this](int aSignal) {
      deployment_.LinkStore().Handle().Signal(aSignal);
    });
  }

  std::vector<PauseTarget*> TargetsOf(const SoakAction& aAction)
  {
    std::vector<PauseTarget*> chosen;
    if (aAction.target_ == SoakTarget::kMachine) {
      for (const SoakTarget kind :
           { SoakTarget::kHosts, SoakTarget::kEngines, SoakTarget::kLinks }) {
        for (const auto& target : targets_.at(kind)) {
          chosen.push_back(target.get());
        }
      }
      return chosen;
    }
    const Targets& all = targets_.at(aAction.target_);
    for (std::size_t index = 0; index < aAction.count_; ++index) {
      chosen.push_back(all[(aAction.first_ + index) % all.size()].get());
    }
    return chosen;
  }

  void Perform(const SoakAction& aAction)
  {
    using Change = void (SoakRun::*)(const SoakAction&);
    static const std::map<SoakTarget, Change> kChanges = {
      { SoakTarget::kConfiguration, &SoakRun::ChangeConfiguration },
      { SoakTarget::kDrain, &SoakRun::Drain },
      { SoakTarget::kStop, &SoakRun::StopHost }
    };
    std::this_thread::sleep_until(begin_ + aAction.at_);
    const auto change = kChanges.find(aAction.target_);
    if (change == kChanges.end()) {
      Pause(aAction);
    } else {
      (this->*change->second)(aAction);
    }
  }

  void Pause(const SoakAction& aAction)
  {
    const std::vector<PauseTarget*> targets = TargetsOf(aAction);
    const std::int64_t began = NowMs();
    for (PauseTarget* target : targets) {
      target->Begin();
    }
    std::this_thread::sleep_for(aAction.length_);
    for (PauseTarget* target : targets) {
      target->End();
    }
    const std::lock_guard lock(mutex_);
    pauses_.push_back(
      { .action_ = aAction, .beganMs_ = began, .endedMs_ = NowMs() });
  }

  // Adds or removes a team.
  void ChangeConfiguration(const SoakAction&)
  {
    const std::lock_guard lock(documentMutex_);
    const int version = document_["version"].get<int>() + 1;
    document_["version"] = version;
    json& teams = document_["tenants"];
    if (teams.size() > 1) {
      teams.erase(teams.size() - 1);
    } else {
      teams.push_back({ { "name", "team-" + std::to_string(version) },
                        { "apiKeys", { "key-" + std::to_string(version) } } });
    }
    deployment_.PutDocument(document_);
  }

  void Drain(const SoakAction& aAction)
  {
    deployment_.Engine(aAction.first_).Control({ { "leaving", true } });
    deployment_.SetEngineState(aAction.first_, names::kDrainingState);
    std::this_thread::sleep_for(aAction.length_);
    deployment_.Engine(aAction.first_).Control({ { "leaving", false } });
    deployment_.SetEngineState(aAction.first_, names::kReadyState);
  }

  void StopHost(const SoakAction& aAction)
  {
    const std::lock_guard stopping(stopMutexes_.at(aAction.first_));
    const TimePoint limit = TimerService::Now() + kDrainLimit;
    const bool ended = hosts_.StopAndStart(aAction.first_, kMaxStop);
    const std::lock_guard lock(mutex_);
    stopsEnded_ = stopsEnded_ && ended;
    overruns_.push_back({ .host_ = aAction.first_,
                          .from_ = limit,
                          .until_ = TimerService::Now() });
  }

  bool IsExcused(const SoakStream& aStream) const
  {
    return std::any_of(
      overruns_.begin(), overruns_.end(), [&](const Overrun& aOverrun) {
        return aOverrun.host_ == aStream.host_ &&
               aStream.endedAt_ >= aOverrun.from_ &&
               aStream.endedAt_ <= aOverrun.until_;
      });
  }

  // Returns when attempts arrived at engines beyond the first of each stream.
  std::vector<std::int64_t> TimesSentAgain()
  {
    std::map<std::string, std::vector<std::int64_t>> arrivals;
    for (std::size_t index = 0; index < kSize.engines_; ++index) {
      const json stats = deployment_.Engine(index).Stats();
      for (const json& arrival : stats.at("arrivals")) {
        arrivals[arrival.at("attempt")].push_back(arrival.at("at_ms"));
      }
    }
    std::vector<std::int64_t> again;
    for (auto& [attempt, times] : arrivals) {
      std::sort(times.begin(), times.end());
      again.insert(again.end(), times.begin() + 1, times.end());
    }
    return again;
  }

  std::uint64_t seed_;
  std::vector<SoakAction> schedule_;
  GatewayDeployment deployment_;
  RestartableHosts hosts_;
  std::map<SoakTarget, Targets> targets_;
  TimePoint begin_;
  std::mutex documentMutex_; // guards document_
  json document_;
  std::array<std::mutex, kSize.hosts_>
    stopMutexes_;    // one stop a host at a time
  std::mutex mutex_; // guards pauses_, overruns_ and stopsEnded_ during Play
  std::vector<PlayedPause> pauses_;
  std::vector<Overrun> overruns_;
  bool stopsEnded_ = true;
  std::vector<SoakStream> streams_;
  std::vector<std::int64_t> sentAgainMs_;
};

std::uint64_t ReadEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

} // namespace

TEST_GROUP(PauseSoakTest){};

// Guards against streams that end although their engines go on to the last
// event, because parts of the deployment stood still for a while.
TEST(PauseSoakTest, CutsNoStreamWhosePartsPause)
{
  const std::uint64_t first = ReadEnvironment("SOAK_SEED", 1);
  const std::uint64_t seeds = ReadEnvironment("SOAK_SEEDS", 4);
  std::size_t cut = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    SoakRun run(seed);
    run.Play();
    run.PrintFigures();
    const auto streams = run.CutStreams();
    cut += streams.size();
    if (!streams.empty()) {
      run.PrintTrace(streams);
    }
    CHECK_TRUE(run.AllStopsEnded());
    LONGS_EQUAL(0, run.CountEndedStandIns());
    CHECK_TRUE(run.Count(StreamEnd::kWhole) > 0);
  }
  LONGS_EQUAL(0, cut);
}
