// Tests of configuration changes by operators, on real processes: an accepted
// change is in force on all live hosts, within 2 s with 9 hosts, and is never
// reverted.

#include "harness.h"

#include <csignal>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;

namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds kTimeout(30);
// Requirement for small fleets: running hosts apply a change within this time.
constexpr milliseconds kPropagationLimit(2000);
constexpr std::uint64_t kInitialGeneration = 1;

json ConfigurationOf(const std::string& aTeam, double aWeight = 1)
{
  return json::parse(R"({
    "teams": [ { "name": "one", "keys": ["team-one-key"] },
               { "name": ")" +
                     aTeam + R"(", "keys": ["key-of-)" + aTeam +
                     R"("], "weight": )" + std::to_string(aWeight) + R"( } ],
    "pools": [ { "name": "llm" }, { "name": "board" } ],
    "services": [
      { "name": "chat", "kind": "model", "model": "m", "pool": "llm" },
      { "name": "board", "kind": "plain", "pool": "board" } ] })");
}

struct ApplyResult
{
  int status_ = 0;
  std::uint64_t generation_ = 0;
  std::string body_;
};

ApplyResult Apply(Host& aHost, const json& aConfiguration, std::uint64_t aBase)
{
  const auto answer =
    Send(aHost.AdminPort(),
         MakeRequest("POST",
                     "/configuration?base=" + std::to_string(aBase),
                     aConfiguration.dump()));
  if (!answer) {
    return {};
  }
  const json body = json::parse(answer.value().body_, nullptr, false);
  return { .status_ = answer.value().status_,
           .generation_ = body.value("generation", std::uint64_t{ 0 }),
           .body_ = answer.value().body_ };
}

std::uint64_t GenerationOf(Host& aHost)
{
  return aHost.Status().value("generation", std::uint64_t{ 0 });
}

std::vector<Host*> AllHosts(Deployment& aDeployment)
{
  std::vector<Host*> hosts;
  for (std::size_t index = 0; index < aDeployment.Hosts(); ++index) {
    hosts.push_back(&aDeployment.At(index));
  }
  return hosts;
}

bool InForce(const std::vector<Host*>& aHosts,
             std::uint64_t aGeneration,
             milliseconds aLimit)
{
  return WaitUntil(aLimit, [&] {
    return std::all_of(aHosts.begin(), aHosts.end(), [&](Host* aHost) {
      return GenerationOf(*aHost) >= aGeneration;
    });
  });
}

bool AllPeersConnected(Deployment& aDeployment)
{
  return WaitUntil(kTimeout, [&] {
    const std::vector<Host*> hosts = AllHosts(aDeployment);
    return std::all_of(hosts.begin(), hosts.end(), [&](Host* aHost) {
      return aHost->Status().value("peers", json::array()).size() ==
             hosts.size() - 1;
    });
  });
}

// Runs a subcommand against a host.
int Command(Host& aHost,
            std::vector<std::string> aArguments,
            std::string* aOutput = nullptr)
{
  aArguments.push_back("--host");
  aArguments.push_back("127.0.0.1:" + std::to_string(aHost.AdminPort()));
  Process process(PRODUCT_BINARY, std::move(aArguments));
  const int status = process.WaitForExit(kTimeout);
  if (aOutput != nullptr) {
    *aOutput = process.Output();
  }
  return status;
}

} // namespace

TEST_GROUP(ConfigurationTest){};

TEST(ConfigurationTest, CommandsApplyShowAndCompareGenerations)
{
  Deployment deployment({ .hosts_ = 2 });
  Host& host = deployment.At(0);
  CHECK_TRUE(AllPeersConnected(deployment));
  std::string output;
  const json changed = ConfigurationOf("blue");
  LONGS_EQUAL(
    0,
    Command(
      host,
      { "apply", changed.dump(), "--base", "1", "--author", "ann", "--wait" },
      &output));
  STRCMP_CONTAINS("generation 2 in force on all live hosts", output.c_str());
  LONGS_EQUAL(0, Command(deployment.At(1), { "show" }, &output));
  STRCMP_CONTAINS("key-of-blue", output.c_str());
  LONGS_EQUAL(0, Command(host, { "diff", "1", "2" }, &output));
  STRCMP_CONTAINS("- /teams/two", output.c_str());
  STRCMP_CONTAINS("+ /teams/blue", output.c_str());
  LONGS_EQUAL(0, Command(host, { "history" }, &output));
  STRCMP_CONTAINS(" ann", output.c_str());
  LONGS_EQUAL(
    static_cast<int>(ResultCode::kConfigurationBaseMissing),
    Command(host, { "apply", ConfigurationOf("red").dump() }, &output));
}

// Guards against lost updates: of two operators that start from the same
// generation, the second receives a conflict and the diff of the first change.
TEST(ConfigurationTest, RefusesTheSecondOfTwoRacersWithADiff)
{
  Deployment deployment({});
  LONGS_EQUAL(
    200,
    Apply(deployment.At(0), ConfigurationOf("blue"), kInitialGeneration)
      .status_);
  const ApplyResult second =
    Apply(deployment.At(0), ConfigurationOf("red"), kInitialGeneration);
  LONGS_EQUAL(409, second.status_);
  STRCMP_CONTAINS("+ /teams/blue", second.body_.c_str());
  LONGS_EQUAL(2, GenerationOf(deployment.At(0)));
}

// All watches are muted and the store goes down right after it accepted the
// change. Only the host that applied it knows the change; the others must
// receive it from their peers.
TEST(ConfigurationTest, ReachesNineHostsWhenTheStoreGoesDownAfterAcceptance)
{
  Deployment deployment({ .hosts_ = 9 });
  CHECK_TRUE(AllPeersConnected(deployment));
  deployment.Store().Control({ { "mute_watches", true } });
  const ApplyResult applied =
    Apply(deployment.At(0), ConfigurationOf("blue"), kInitialGeneration);
  deployment.Store().Control({ { "outage", true } });
  LONGS_EQUAL(200, applied.status_);
  CHECK_TRUE(InForce(AllHosts(deployment), 2, kPropagationLimit));
}

// A host is suspended before the change and resumed after it, with the store
// down: it must apply the change within 2 s of resuming.
TEST(ConfigurationTest, ReachesAPausedHostSoonAfterItContinues)
{
  Deployment deployment({ .hosts_ = 3 });
  CHECK_TRUE(AllPeersConnected(deployment));
  deployment.At(2).Handle().Signal(SIGSTOP);
  LONGS_EQUAL(
    200,
    Apply(deployment.At(0), ConfigurationOf("blue"), kInitialGeneration)
      .status_);
  std::string output;
  deployment.Store().Control({ { "outage", true } });
  CHECK_TRUE(
    InForce({ &deployment.At(0), &deployment.At(1) }, 2, kPropagationLimit));
  deployment.At(2).Handle().Signal(SIGCONT);
  CHECK_TRUE(InForce({ &deployment.At(2) }, 2, kPropagationLimit));
}

// A host that starts while the store is down finds its peers by the seed
// addresses in its settings and gets the current configuration from them.
TEST(ConfigurationTest, ReachesANewHostWhileTheStoreIsDown)
{
  Deployment deployment({ .hosts_ = 2 });
  CHECK_TRUE(Apply(deployment.At(0), ConfigurationOf("blue"), 1).status_ ==
             200);
  deployment.Store().Control({ { "outage", true } });
  const json started = json::parse(
    deployment.At(0).Handle().WaitForLine("\"event\":1000", kTimeout));
  const std::string seed =
    "127.0.0.1:" + std::to_string(started.value("peer_port", 0));
  json settings = json::object();
  settings["peer"] = { { "port", 0 }, { "seeds", json::array({ seed }) } };
  Host& late = deployment.AddHost(settings);
  CHECK_TRUE(InForce({ &late }, 2, kTimeout));
}

// --wait must not report success while a live host lags, and must name that
// host.
TEST(ConfigurationTest, WaitNamesTheHostThatLags)
{
  Deployment deployment({ .hosts_ = 3 });
  CHECK_TRUE(AllPeersConnected(deployment));
  deployment.At(2).Handle().Signal(SIGSTOP);
  std::string output;
  const std::string text = ConfigurationOf("blue").dump();
  LONGS_EQUAL(
    static_cast<int>(ResultCode::kConfigurationLagging),
    Command(deployment.At(0),
            { "apply", text, "--base", "1", "--wait", "--wait-seconds", "1" },
            &output));
  STRCMP_CONTAINS("entry-2", output.c_str());
  deployment.At(2).Handle().Signal(SIGCONT);
}

// The store is restored to an older state. Hosts keep the newer configuration
// and log an alarm; a host that starts afterwards gets the newer one from its
// peers; the next change gets a generation above all that were ever in force.
TEST(ConfigurationTest, KeepsTheNewerGenerationWhenTheStoreIsPutBack)
{
  Deployment deployment({ .hosts_ = 3 });
  CHECK_TRUE(AllPeersConnected(deployment));
  CHECK_TRUE(Apply(deployment.At(0), ConfigurationOf("blue"), 1).status_ ==
             200);
  CHECK_TRUE(Apply(deployment.At(0), ConfigurationOf("red"), 2).status_ == 200);
  const json old = { { "spec",
                       { { "generation", 1 },
                         { "configuration", ConfigurationOf("two") } } } };
  json replaced = json::object();
  replaced["replace"]["configurations/main"] = old;
  deployment.Store().Control(replaced);
  CHECK_FALSE(
    deployment.At(1).Handle().WaitForLine("\"event\":1104", kTimeout).empty());
  LONGS_EQUAL(3, GenerationOf(deployment.At(1)));
  Host& late = deployment.AddHost();
  CHECK_TRUE(InForce({ &late }, 3, kTimeout));
  const ApplyResult next = Apply(deployment.At(1), ConfigurationOf("green"), 3);
  LONGS_EQUAL(4, next.generation_);
  CHECK_TRUE(InForce(AllHosts(deployment), 4, kPropagationLimit));
}

// The store accepts the change but its response is lost. The operator must be
// told that it was accepted, and receive neither an error nor a conflict with
// the operator's own change.
TEST(ConfigurationTest, SettlesALostAnswerByReadingBack)
{
  Deployment deployment({});
  // Waits for the host's write of its own member entry, so that the lost
  // responses are those to the change.
  CHECK_TRUE(WaitUntil(kTimeout, [&] {
    return deployment.Store().Stats().value("write", 0) > 0;
  }));
  deployment.Store().Control({ { "lose_answers", 2 } });
  const ApplyResult applied =
    Apply(deployment.At(0), ConfigurationOf("blue"), kInitialGeneration);
  LONGS_EQUAL(200, applied.status_);
  LONGS_EQUAL(2, applied.generation_);
  LONGS_EQUAL(2, deployment.Store().Stats().value("lost_answer", 0));
}

// While the store is down a change is refused with store-unavailable, and the
// current configuration stays in force.
TEST(ConfigurationTest, RefusesAChangeWhileTheStoreIsDown)
{
  Deployment deployment({});
  deployment.Store().Control({ { "outage", true } });
  const ApplyResult applied =
    Apply(deployment.At(0), ConfigurationOf("blue"), kInitialGeneration);
  LONGS_EQUAL(503, applied.status_);
  STRCMP_CONTAINS("store-unavailable", applied.body_.c_str());
  LONGS_EQUAL(1, GenerationOf(deployment.At(0)));
}

namespace {

// One of several concurrent operators: reads the configuration, edits the
// weight of its own team and applies it; retries from a new read after a
// conflict.
class Operator
{
public:
  Operator(Deployment& aDeployment, int aNumber, unsigned aSeed)
    : deployment_(aDeployment)
    , number_(aNumber)
    , random_(aSeed)
  {
  }

  void Run(int aEdits)
  {
    for (int edit = 1; edit <= aEdits; ++edit) {
      Edit(edit);
    }
  }

  int Conflicts() const { return conflicts_; }
  int Faults() const { return faults_; }
  const std::vector<std::uint64_t>& Accepted() const { return accepted_; }

private:
  void Edit(int aWeight)
  {
    const std::string team = "team-" + std::to_string(number_);
    while (faults_ < 100) {
      Host& host = deployment_.At(random_() % deployment_.Hosts());
      const auto shown = Send(host.AdminPort(), MakeRequest("/configuration"));
      json document = json::parse(shown.value().body_);
      for (json& item : document["configuration"]["teams"]) {
        if (item["name"] == team) {
          item["weight"] = aWeight;
        }
      }
      const ApplyResult applied =
        Apply(host, document["configuration"], document["generation"]);
      if (applied.status_ == 200) {
        accepted_.push_back(applied.generation_);
        return;
      }
      ++(applied.status_ == 409 ? conflicts_ : faults_);
    }
  }

  Deployment& deployment_;
  int number_;
  std::mt19937 random_;
  int conflicts_ = 0;
  int faults_ = 0;
  std::vector<std::uint64_t> accepted_;
};

json FourTeams()
{
  json configuration = ConfigurationOf("spare");
  for (int number = 0; number < 4; ++number) {
    const std::string name = "team-" + std::to_string(number);
    const json team = { { "name", name },
                        { "keys", json::array({ "key-of-" + name }) },
                        { "weight", 1000 } };
    configuration["teams"].push_back(team);
  }
  return configuration;
}

// Returns the generations that a host logged as applied, in log order.
std::vector<std::uint64_t> AppliedGenerations(Host& aHost)
{
  std::vector<std::uint64_t> generations;
  std::istringstream lines(aHost.Handle().Output());
  std::string line;
  while (std::getline(lines, line)) {
    if (line.find("\"event\":1100") != std::string::npos) {
      generations.push_back(json::parse(line).value("generation", 0ULL));
    }
  }
  return generations;
}

} // namespace

// Four concurrent operators make 50 edits each, each to its own team, through
// random hosts, while some responses of the store are lost. Every accepted edit
// must be in the final state, no generation is assigned twice, and no host ever
// applies an older generation.
TEST(ConfigurationTest, LosesNoAcceptedEditOfFourRacingOperators)
{
  constexpr unsigned kSeed = 20261;
  constexpr int kOperators = 4;
  constexpr int kEdits = 50;
  Deployment deployment({ .hosts_ = 3 });
  CHECK_TRUE(AllPeersConnected(deployment));
  CHECK_TRUE(Apply(deployment.At(0), FourTeams(), kInitialGeneration).status_ ==
             200);
  CHECK_TRUE(InForce(AllHosts(deployment), 2, kTimeout));
  deployment.Store().Control({ { "lose_answers", 20 } });
  std::vector<Operator> operators;
  operators.reserve(kOperators);
  for (int number = 0; number < kOperators; ++number) {
    operators.emplace_back(deployment, number, kSeed + number);
  }
  std::vector<std::thread> threads;
  threads.reserve(kOperators);
  for (Operator& one : operators) {
    threads.emplace_back([&one] { one.Run(kEdits); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::set<std::uint64_t> accepted;
  for (const Operator& one : operators) {
    LONGS_EQUAL(kEdits, one.Accepted().size());
    accepted.insert(one.Accepted().begin(), one.Accepted().end());
  }
  LONGS_EQUAL(kOperators * kEdits, accepted.size());
  const std::uint64_t last = *accepted.rbegin();
  LONGS_EQUAL(2 + kOperators * kEdits, last);
  CHECK_TRUE(InForce(AllHosts(deployment), last, kPropagationLimit));
  for (Host* host : AllHosts(deployment)) {
    const std::vector<std::uint64_t> applied = AppliedGenerations(*host);
    CHECK_TRUE(std::is_sorted(applied.begin(), applied.end()));
    const auto shown = Send(host->AdminPort(), MakeRequest("/configuration"));
    const json document = json::parse(shown.value().body_);
    LONGS_EQUAL(last, document.value("generation", 0ULL));
    for (const json& team : document["configuration"]["teams"]) {
      if (team["name"].get<std::string>().starts_with("team-")) {
        LONGS_EQUAL(kEdits, team["weight"].get<int>());
      }
    }
  }
}
