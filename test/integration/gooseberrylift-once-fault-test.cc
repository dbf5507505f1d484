// Tests that no call with an idempotency key runs twice, with thousands of
// calls over three hosts while hosts are killed or suspended and the store
// fails in various ways. The environment variables ONCE_SEED and ONCE_CALLS set
// the seed and the number of calls.

#include "once-calls.h"

#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kHosts = 3;
constexpr int kCallers = 12;
constexpr milliseconds kDeadline{ 2000 };

std::uint64_t ReadEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

struct KeyedAnswer
{
  std::string key_;
  OnceAnswer answer_;
};

class FaultRun
{
public:
  FaultRun(std::uint64_t aSeed, std::uint64_t aCalls)
    : seed_(aSeed)
    , calls_(aCalls)
    , deployment_({ .hosts_ = kHosts, .services_ = 1 })
  {
    for (std::size_t host = 0; host < kHosts; ++host) {
      index_[host] = host;
      ports_[host] = deployment_.At(host).Port();
    }
    deployment_.Service(0).Control({ { "delay_ms", 5 } });
  }

  void Run()
  {
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([this, caller] { Call(caller); });
    }
    std::mt19937_64 random(seed_);
    while (next_ < calls_) {
      InjectFault(random);
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
  }

  // Sends each key once more after all faults have ended.
  void RepeatAllKeys()
  {
    statsBefore_ = deployment_.Service(0).Stats();
    std::atomic<std::uint64_t> next = 0;
    const std::uint64_t keys = (calls_ + kCallsPerKey - 1) / kCallsPerKey;
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([&] {
        for (std::uint64_t key = next++; key < keys; key = next++) {
          const std::string name = NameOf(key);
          Record(name,
                 CallOnce(ports_[key % kHosts], name, seconds(20)),
                 finalAnswers_);
        }
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    statsAfter_ = deployment_.Service(0).Stats();
  }

  std::vector<KeyedAnswer> answers_;
  std::vector<KeyedAnswer> finalAnswers_;
  std::map<std::string, int> faults_;
  json statsBefore_;
  json statsAfter_;

private:
  static constexpr std::uint64_t kCallsPerKey = 4; // calls that share a key

  static std::string NameOf(std::uint64_t aKey)
  {
    return "k" + std::to_string(aKey);
  }

  void Call(int aCaller)
  {
    std::mt19937_64 random(seed_ * 1000 + aCaller);
    for (std::uint64_t call = next_++; call < calls_; call = next_++) {
      const std::uint64_t window = random() % (kCallsPerKey * 8);
      const std::string key =
        NameOf((call > window ? call - window : call) / kCallsPerKey);
      const int pauses = pauses_;
      OnceAnswer answer = CallOnce(ports_[random() % kHosts], key, kDeadline);
      // A suspended host cannot answer in time.
      answer.late_ = answer.late_ && answer.answered_ && pauses == pauses_;
      Record(key, std::move(answer), answers_);
    }
  }

  void Record(const std::string& aKey,
              OnceAnswer aAnswer,
              std::vector<KeyedAnswer>& aInto)
  {
    const std::lock_guard lock(mutex_);
    aInto.push_back({ aKey, std::move(aAnswer) });
  }

  void InjectFault(std::mt19937_64& aRandom)
  {
    const std::size_t host = aRandom() % kHosts;
    Fake& store = deployment_.Store();
    const milliseconds length(100 + aRandom() % 400);
    switch (aRandom() % 8) {
      case 0:
        ++faults_["host killed"];
        Replace(host);
        break;
      case 1:
        ++faults_["host stopped and continued"];
        Pause(host, aRandom() % 2 == 0 ? length : kDeadline + seconds(2));
        break;
      case 2:
        ++faults_["store outage"];
        InjectStoreFault(store, "outage", length);
        break;
      case 3:
        ++faults_["store silent"];
        InjectStoreFault(store, "hang", length);
        break;
      case 4:
        ++faults_["store answers lost"];
        store.Control({ { "lose_answers", 1 + aRandom() % 10 } });
        break;
      case 5:
        ++faults_["store slow"];
        store.Control({ { "delay_ms", 100 } });
        std::this_thread::sleep_for(length);
        store.Control({ { "delay_ms", 2 } });
        break;
      case 6:
        ++faults_["service slower than the deadline"];
        DelayService(length);
        break;
      default:
        ++faults_["kill in an outage"];
        store.Control({ { "outage", true } });
        Replace(host);
        store.Control({ { "outage", false } });
        // A new host needs the store for its configuration.
        deployment_.At(index_[host]).WaitReady();
    }
    std::this_thread::sleep_for(milliseconds(150));
  }

  void DelayService(milliseconds aLength)
  {
    const milliseconds delay = kDeadline + milliseconds(500);
    deployment_.Service(0).Control({ { "delay_ms", delay.count() } });
    std::this_thread::sleep_for(aLength);
    deployment_.Service(0).Control({ { "delay_ms", 5 } });
  }

  static void InjectStoreFault(Fake& aStore,
                               const char* aFault,
                               milliseconds aLength)
  {
    aStore.Control({ { aFault, true } });
    std::this_thread::sleep_for(aLength);
    aStore.Control({ { aFault, false } });
  }

  void Pause(std::size_t aHost, milliseconds aLength)
  {
    ++pauses_;
    Process& process = deployment_.At(index_[aHost]).Handle();
    process.Signal(SIGSTOP);
    std::this_thread::sleep_for(aLength);
    // Counted before the host resumes: a call that began during the pause may
    // be answered at once, and must still be recognized as affected by the
    // pause.
    ++pauses_;
    process.Signal(SIGCONT);
  }

  void Replace(std::size_t aHost)
  {
    deployment_.At(index_[aHost]).Handle().Signal(SIGKILL);
    Host& host = deployment_.AddHost();
    index_[aHost] = deployment_.Hosts() - 1;
    ports_[aHost] = host.Port();
  }

  std::uint64_t seed_;
  std::uint64_t calls_;
  Deployment deployment_;
  std::array<std::size_t, kHosts>
    index_{}; // used only by the thread that injects faults
  std::array<std::atomic<std::uint16_t>, kHosts> ports_{};
  std::atomic<std::uint64_t> next_ = 0;
  std::atomic<int> pauses_ = 0;
  std::mutex mutex_; // guards answers_ and finalAnswers_
};

} // namespace

TEST_GROUP(OnceFaultTest)
{
  std::map<std::string, int> counts_;

  void CheckAnswer(const KeyedAnswer& aSeen, const json& aStats)
  {
    const OnceAnswer& answer = aSeen.answer_;
    ++counts_[!answer.answered_ ? "no answer"
              : answer.code_ != 0
                ? "code " + std::to_string(answer.code_) + " ran " + answer.ran_
              : answer.replayed_ ? "replayed"
                                 : "answered"];
    counts_["late"] += answer.late_ ? 1 : 0;
    if (answer.late_) {
      std::cout << "late: " << aSeen.key_ << " status " << answer.status_ << " "
                << answer.body_.dump() << std::endl;
    }
    if (answer.answered_ && answer.code_ == 0) {
      // The response, direct or replayed, is the result of the only run.
      LONGS_EQUAL(200, answer.status_);
      LONGS_EQUAL(1, answer.body_.value("runs", 0));
      STRCMP_EQUAL(("stamp " + aSeen.key_).c_str(),
                   answer.body_.value("body", "").c_str());
      LONGS_EQUAL(1, aStats["runs"].value(aSeen.key_, 0));
    }
    if (answer.ran_ == "no") {
      LONGS_EQUAL(0, aStats["requests"].value(answer.requestId_, 0));
    }
    if (answer.ran_ == "yes") {
      LONGS_EQUAL(1, aStats["runs"].value(aSeen.key_, 0));
    }
  }
};

// Callers send each key about four times through three hosts, whatever the
// earlier responses were. Meanwhile hosts are killed and replaced, or suspended
// beyond the deadline and the lease, and the store is down, unresponsive, slow
// or loses responses. No key may run twice, and no request reported as "not
// run" may have run. After the faults each key must return its recorded
// response or "unknown", or run for the first time.
TEST(OnceFaultTest, RunsNoKeyTwiceUnderRandomFaults)
{
  const std::uint64_t seed = ReadEnvironment("ONCE_SEED", 1);
  FaultRun run(seed, ReadEnvironment("ONCE_CALLS", 3000));
  run.Run();
  run.RepeatAllKeys();
  for (const auto& [key, runs] : run.statsAfter_["runs"].items()) {
    CHECK_TEXT(runs.get<int>() <= 1, key.c_str());
  }
  for (const KeyedAnswer& seen : run.answers_) {
    CheckAnswer(seen, run.statsAfter_);
  }
  for (const KeyedAnswer& seen : run.finalAnswers_) {
    CheckAnswer(seen, run.statsAfter_);
    const bool ranBefore = run.statsBefore_["runs"].value(seen.key_, 0) == 1;
    CHECK_TEXT(seen.answer_.code_ != 0 || seen.answer_.replayed_ == ranBefore,
               seen.key_.c_str());
  }
  LONGS_EQUAL(0, counts_["late"]);
  CHECK_TRUE(run.statsAfter_["runs"].size() > 300);
  std::cout << json{
    { "seed", seed },
    { "faults", run.faults_ },
    { "answers", counts_ },
    { "keys_run", run.statsAfter_["runs"].size() }
  }.dump() << std::endl;
}

// A proxy randomly cuts connections to the service and to the store: before any
// data, after the request so that the response is lost, or in mid-response.
// Each caller sends each of its keys four times, alternating between the hosts.
TEST(OnceFaultTest, RunsNoKeyTwiceWhenConnectionsAreCut)
{
  const json rules = json::parse(R"([
    { "fault": "lose_answer", "probability": 0.04 },
    { "fault": "drop", "probability": 0.04 },
    { "fault": "cut", "after_bytes": 60, "probability": 0.04 } ])");
  Deployment deployment({ .hosts_ = 2,
                          .proxied_ = true,
                          .proxy_ = { { "seed", 7 }, { "rules", rules } } });
  std::atomic<int> next = 0;
  std::mutex mutex;
  std::vector<KeyedAnswer> seen;
  std::vector<std::thread> callers;
  callers.reserve(6);
  for (int caller = 0; caller < 6; ++caller) {
    callers.emplace_back([&] {
      for (int key = next++; key < 300; key = next++) {
        const std::string name = "k" + std::to_string(key);
        for (std::size_t host = 0; host < 4; ++host) {
          OnceAnswer answer =
            CallOnce(deployment.At(host % 2).Port(), name, kDeadline);
          const std::lock_guard lock(mutex);
          seen.push_back({ name, std::move(answer) });
        }
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  const json stats = deployment.Service(0).Stats();
  for (const auto& [key, runs] : stats["runs"].items()) {
    CHECK_TEXT(runs.get<int>() <= 1, key.c_str());
  }
  for (const KeyedAnswer& one : seen) {
    CheckAnswer(one, stats);
  }
  LONGS_EQUAL(0, counts_["late"]);
  CHECK_TRUE(counts_["replayed"] > 300);
  CHECK_TRUE(counts_["code 173 ran unknown"] > 0);
  std::cout << json(counts_).dump() << std::endl;
}
