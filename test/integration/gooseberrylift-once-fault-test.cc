// Thousands of keyed calls over three hosts while hosts die, stop and go on,
// and the store fails in every way. ONCE_SEED and ONCE_CALLS change the run.

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

std::uint64_t FromEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

struct Seen
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
      Fault(random);
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
  }

  // Sends each key once more when all is well again.
  void AskAgain()
  {
    before_ = deployment_.Service(0).Stats();
    std::atomic<std::uint64_t> next = 0;
    const std::uint64_t keys = (calls_ + kSharers - 1) / kSharers;
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([&] {
        for (std::uint64_t key = next++; key < keys; key = next++) {
          const std::string name = NameOf(key);
          Note(name, CallOnce(ports_[key % kHosts], name, seconds(20)), final_);
        }
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    after_ = deployment_.Service(0).Stats();
  }

  std::vector<Seen> seen_;
  std::vector<Seen> final_;
  std::map<std::string, int> faults_;
  json before_;
  json after_;

private:
  static constexpr std::uint64_t kSharers = 4; // calls that share a key

  static std::string NameOf(std::uint64_t aKey)
  {
    return "k" + std::to_string(aKey);
  }

  void Call(int aCaller)
  {
    std::mt19937_64 random(seed_ * 1000 + aCaller);
    for (std::uint64_t call = next_++; call < calls_; call = next_++) {
      const std::uint64_t window = random() % (kSharers * 8);
      const std::string key =
        NameOf((call > window ? call - window : call) / kSharers);
      const int pauses = pauses_;
      OnceAnswer answer = CallOnce(ports_[random() % kHosts], key, kDeadline);
      // A host that is stopped can't answer in time.
      answer.late_ = answer.late_ && answer.answered_ && pauses == pauses_;
      Note(key, std::move(answer), seen_);
    }
  }

  void Note(const std::string& aKey,
            OnceAnswer aAnswer,
            std::vector<Seen>& aInto)
  {
    const std::lock_guard lock(mutex_);
    aInto.push_back({ aKey, std::move(aAnswer) });
  }

  void Fault(std::mt19937_64& aRandom)
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
        During(store, "outage", length);
        break;
      case 3:
        ++faults_["store silent"];
        During(store, "hang", length);
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
        SlowService(length);
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

  void SlowService(milliseconds aLength)
  {
    const milliseconds delay = kDeadline + milliseconds(500);
    deployment_.Service(0).Control({ { "delay_ms", delay.count() } });
    std::this_thread::sleep_for(aLength);
    deployment_.Service(0).Control({ { "delay_ms", 5 } });
  }

  static void During(Fake& aStore, const char* aFault, milliseconds aLength)
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
    // Before the host goes on: an answer to a call that began in the pause may
    // come at once, and must not look as if no pause had touched it.
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
  std::array<std::size_t, kHosts> index_{}; // used by the fault thread alone
  std::array<std::atomic<std::uint16_t>, kHosts> ports_{};
  std::atomic<std::uint64_t> next_ = 0;
  std::atomic<int> pauses_ = 0;
  std::mutex mutex_; // guards seen_ and final_
};

} // namespace

TEST_GROUP(OnceFaultTest)
{
  std::map<std::string, int> counts_;

  void CheckOne(const Seen& aSeen, const json& aStats)
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
      // What the caller or the record holds is what the one run gave.
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

// Callers send each key about four times through three hosts, whatever they
// were told before. Meanwhile hosts are killed and replaced, stopped and
// continued past deadline and lease, and the store is down, silent, slow or
// loses answers. No key runs twice; no request that was told "not run" ran; and
// when all is well again, each key gives its one recorded answer, or "unknown",
// or runs for the first time.
TEST(OnceFaultTest, RunsNoKeyTwiceUnderRandomFaults)
{
  const std::uint64_t seed = FromEnvironment("ONCE_SEED", 1);
  FaultRun run(seed, FromEnvironment("ONCE_CALLS", 3000));
  run.Run();
  run.AskAgain();
  for (const auto& [key, runs] : run.after_["runs"].items()) {
    CHECK_TEXT(runs.get<int>() <= 1, key.c_str());
  }
  for (const Seen& seen : run.seen_) {
    CheckOne(seen, run.after_);
  }
  for (const Seen& seen : run.final_) {
    CheckOne(seen, run.after_);
    const bool ranBefore = run.before_["runs"].value(seen.key_, 0) == 1;
    CHECK_TEXT(seen.answer_.code_ != 0 || seen.answer_.replayed_ == ranBefore,
               seen.key_.c_str());
  }
  LONGS_EQUAL(0, counts_["late"]);
  CHECK_TRUE(run.after_["runs"].size() > 300);
  std::cout << json{
    { "seed", seed },
    { "faults", run.faults_ },
    { "answers", counts_ },
    { "keys_run", run.after_["runs"].size() }
  }.dump() << std::endl;
}

// Every connection, to the service and to the store, is cut now and then:
// before anything passed, with the answer lost, or in the midst of it. Callers
// send again until they get an answer or "unknown".
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
  std::vector<Seen> seen;
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
  for (const Seen& one : seen) {
    CheckOne(one, stats);
  }
  LONGS_EQUAL(0, counts_["late"]);
  CHECK_TRUE(counts_["replayed"] > 300);
  CHECK_TRUE(counts_["code 173 ran unknown"] > 0);
  std::cout << json(counts_).dump() << std::endl;
}
