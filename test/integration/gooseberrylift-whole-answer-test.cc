// Tests that each caller gets the complete response to its own request or an
// error, and never a truncated response that looks complete or the response to
// another request.

#include "harness.h"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include "../../fakes/gooseberrylift-fake-tokens.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;

namespace {

constexpr int kCallers = 12;
constexpr int kCallsEach = 400;

// All faults of the proxy except a closed listener, for requests to models and
// to plain services. They also affect /load polls.
json SoakRules()
{
  const auto rule =
    [](const char* aFault, double aProbability, json aMore = json::object()) {
      aMore["fault"] = aFault;
      aMore["probability"] = aProbability;
      return aMore;
    };
  return {
    rule("cross", 0.06, { { "hold_ms", 30 } }),
    rule("stale", 0.05),
    rule("delay", 0.08, { { "delay_ms", 1 }, { "jitter_ms", 15 } }),
    rule("cut", 0.02, { { "after_bytes", 400 } }),
    rule("cut", 0.01, { { "direction", "to_target" }, { "after_bytes", 60 } }),
    rule("truncate", 0.02, { { "after_bytes", 500 } }),
    rule("lose_answer", 0.01, { { "hold_ms", 5 } }),
    rule("drop", 0.01),
    rule("black_hole", 0.001),
    rule(
      "delay", 0.001, { { "delay_ms", 2500 } }), // arrives after the deadline
  };
}

// Totals of the callers' results over all threads.
struct SoakCounts
{
  std::atomic<int> complete_ = 0;
  std::atomic<int> rejected_ = 0;
  std::atomic<int> cutStreams_ = 0;
  std::atomic<int> wrong_ = 0;

  std::mutex mutex_;
  std::map<int, int> codes_;
  std::vector<std::string> notRun_; // IDs of requests rejected with "ran": "no"

  void RecordWrong(const HttpResponse& aAnswer)
  {
    ++wrong_;
    const std::lock_guard lock(mutex_);
    std::printf("wrong: %s\n", aAnswer.body_.c_str());
  }

  void RecordRejection(const HttpResponse& aAnswer)
  {
    ++rejected_;
    const json body = json::parse(aAnswer.body_, nullptr, false);
    const std::lock_guard lock(mutex_);
    ++codes_[ErrorResponseCode(aAnswer)];
    if (body.value("/error/ran"_json_pointer, "") == "no") {
      notRun_.push_back(body.value("/error/request_id"_json_pointer, ""));
    }
  }
};

void CheckModelAnswer(const std::string& aPrompt,
                      int aTokens,
                      bool aStream,
                      const HttpResponse& aAnswer,
                      SoakCounts& aCounts)
{
  const std::string expected = fakes::ReferenceAnswer(aPrompt, aTokens);
  if (aAnswer.status_ != 200) {
    aCounts.RecordRejection(aAnswer);
    return;
  }
  std::string text;
  bool whole = true;
  if (aStream) {
    text = StreamText(aAnswer.body_, &whole);
  } else {
    const json body = json::parse(aAnswer.body_, nullptr, false);
    text = body.value("/choices/0/message/content"_json_pointer, "");
  }
  if (whole && text == expected) {
    ++aCounts.complete_;
  } else if (!whole && expected.starts_with(text)) {
    ++aCounts.cutStreams_;
  } else {
    aCounts.RecordWrong(aAnswer);
  }
}

void CheckBoardAnswer(const std::string& aPath,
                      const std::string& aBody,
                      const HttpResponse& aAnswer,
                      SoakCounts& aCounts)
{
  if (aAnswer.status_ != 200) {
    aCounts.RecordRejection(aAnswer);
    return;
  }
  const json body = json::parse(aAnswer.body_, nullptr, false);
  const bool own = body.is_object() && body.value("path", "") == aPath &&
                   body.value("body", "") == aBody &&
                   body.value("tag", "") == aPath;
  if (own) {
    ++aCounts.complete_;
  } else {
    aCounts.RecordWrong(aAnswer);
  }
}

void RunCaller(std::uint16_t aPort, int aCaller, SoakCounts& aCounts)
{
  for (int call = 0; call < kCallsEach; ++call) {
    const std::string tag =
      "caller-" + std::to_string(aCaller) + "-call-" + std::to_string(call);
    const int kind = call % 4;
    const bool model = kind < 2;
    const int tokens = 3 + call % 7;
    HttpRequest request =
      model ? ChatRequest(tag, tokens, kind == 0)
            : BoardRequest(kind == 2 ? "GET" : "POST", "/" + tag, tag);
    request.fields_.push_back({ "X-Deadline-Ms", "2000" });
    request.fields_.push_back({ "X-Tag", "/" + tag });
    const auto answer = Send(aPort, std::move(request));
    if (!answer) {
      ++aCounts.cutStreams_; // a closed connection never looks like a complete
                             // response
    } else if (model) {
      CheckModelAnswer(tag, tokens, kind == 0, answer.value(), aCounts);
    } else {
      CheckBoardAnswer("/" + tag, tag, answer.value(), aCounts);
    }
  }
}

// Returns how often the services ran each request in total.
std::map<std::string, int> RunsOf(Deployment& aDeployment, int aServices)
{
  std::map<std::string, int> runs;
  for (int index = 0; index < aServices; ++index) {
    const json stats = aDeployment.Service(index).Stats();
    for (const auto& [id, count] : stats.at("runs").items()) {
      runs[id] += count.get<int>();
    }
  }
  return runs;
}

} // namespace

TEST_GROUP(WholeAnswerTest){};

// Twelve callers send tagged requests of all kinds while the proxies swap,
// repeat, delay, cut and lose the endpoints' responses. A caller may get an
// error with a result code, but never another caller's response, a truncated
// response that looks complete, or "not run" for a call that a service has run.
// Without the check of the echoed request ID, or if a connection were reused
// while a response is outstanding, swapped and repeated responses would reach
// the wrong caller.
TEST(WholeAnswerTest, GivesThousandsOfTaggedAnswersToTheirOwnCallers)
{
  constexpr int kServices = 3;
  Deployment deployment({ .hosts_ = 2,
                          .engines_ = 4,
                          .services_ = kServices,
                          .proxied_ = true,
                          .proxy_ = { { "seed", 20261202 } } });
  for (int index = 0; index < 4; ++index) {
    deployment.EngineProxy(index).Script(SoakRules());
  }
  for (int index = 0; index < kServices; ++index) {
    deployment.ServiceProxy(index).Script(SoakRules());
  }
  SoakCounts counts;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back(
      RunCaller, deployment.At(caller % 2).Port(), caller, std::ref(counts));
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  json hits = json::array();
  for (int index = 0; index < 4; ++index) {
    hits.push_back(deployment.EngineProxy(index).Stats().at("hits"));
  }
  std::printf(
    "soak: %d complete and correct, %d rejected, %d cut streams, %d wrong; "
    "codes %s; engine faults %s\n",
    counts.complete_.load(),
    counts.rejected_.load(),
    counts.cutStreams_.load(),
    counts.wrong_.load(),
    json(counts.codes_).dump().c_str(),
    hits.dump().c_str());
  LONGS_EQUAL(0, counts.wrong_);
  CHECK_TRUE(counts.complete_ > kCallers * kCallsEach / 2);
  CHECK_TRUE(deployment.ServiceProxy(0).Hits("cross") > 0);
  CHECK_TRUE(deployment.ServiceProxy(0).Hits("stale") > 0);
  const std::map<std::string, int> runs = RunsOf(deployment, kServices);
  for (const std::string& id : counts.notRun_) {
    LONGS_EQUAL(0, runs.contains(id) ? runs.at(id) : 0);
  }
}
