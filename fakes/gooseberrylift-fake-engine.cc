// A fake inference engine with continuous batching, KV cache limits,
// priorities, resume, cancellation, KV export and import, load reports, cache
// events and orders.
//   POST /v1/chat/completions, /v1/completions
//        additional fields: "request_id", "priority" (lower runs first),
//        "resume_from" (index of the first token to send), "kv_import"
//   POST /v1/cancel     {"request_id"}
//   GET  /load          {"at_ms" (age), "state", "incarnation", ...}
//   GET  /events?after=N cache events with sequence numbers, with gaps
//   POST /kv/exports    {"id", "owner", "tokens", "prefix"} 201 or 409
//   GET  /kv/exports    lists;  DELETE /kv/exports/ID  releases
//   POST /orders        {"fencing", "desired"}; 409 if enforced and stale
//   GET  /orders        {"fencing", "desired", "log"}
//   GET  /stats, POST /control, GET /healthz
// Settings: name, incarnation, prefill_linear_us, prefill_quadratic_us,
// decode_us, chunk_tokens, kv_tokens, max_batch, fencing ("enforced" or
// "ignored"), load_lag_ms, event_gap (drop every n-th), crash_on (a prompt that
// contains it terminates the process). Settings that /control also accepts:
// leaving, hang, slowdown, cut_after (abort each stream after n tokens),
// cross_answers (return a wrong request id).

#include <deque>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include "gooseberrylift-fake-batch.h"
#include "gooseberrylift-fake-tokens.h"
#include "gooseberrylift-fake.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift::fakes {

namespace asio = boost::asio;

namespace {

// Returns the prompt of a completion or the joined messages of a chat.
std::string ExtractPrompt(const json& aBody)
{
  if (aBody.contains("prompt")) {
    return aBody.value("prompt", "");
  }
  std::string prompt;
  for (const json& message : aBody.value("messages", json::array())) {
    prompt += message.value("content", "");
  }
  return prompt;
}

// Removes a sequence from its batch at the end of the scope.
class SequenceGuard
{
public:
  SequenceGuard(FakeBatch& aBatch, Sequence* aSequence)
    : batch_(aBatch)
    , sequence_(aSequence)
  {
  }
  ~SequenceGuard() { batch_.Remove(sequence_); }
  SequenceGuard(const SequenceGuard&) = delete;
  SequenceGuard& operator=(const SequenceGuard&) = delete;

private:
  FakeBatch& batch_;
  Sequence* sequence_;
};

class FakeEngine
{
public:
  FakeEngine(asio::io_context& aContext, const json& aSettings)
    : context_(aContext)
    , batch_(ParseOptions(aSettings))
    , name_(aSettings.value("name", "engine"))
    , incarnation_(aSettings.value("incarnation", std::uint64_t{ 1 }))
    , fencingEnforced_(aSettings.value("fencing", "ignored") == "enforced")
    , loadLag_(aSettings.value("load_lag_ms", 0))
    , eventGap_(aSettings.value("event_gap", 0U))
    , crashOn_(aSettings.value("crash_on", ""))
  {
    Control(aSettings);
  }

  asio::awaitable<void> Handle(HttpExchange& aExchange)
  {
    const HttpRequest& request = aExchange.Request();
    const std::string path(request.Path());
    if (path.starts_with("/v1/") && path.ends_with("completions")) {
      co_await Generate(aExchange);
    } else if (path == "/v1/cancel") {
      Cancel(ParseJsonBody(request).value("request_id", ""));
      co_await SendJson(aExchange, 200, json::object());
    } else if (path == "/load") {
      co_await SendJson(aExchange, 200, MakeLoadReport());
    } else if (path == "/events") {
      co_await SendJson(aExchange, 200, Events(request));
    } else if (path.starts_with("/kv/exports")) {
      co_await aExchange.Send(Exports(request));
    } else if (path == "/orders") {
      co_await aExchange.Send(HandleOrders(request));
    } else if (path == "/control") {
      Control(ParseJsonBody(request));
      co_await SendJson(aExchange, 200, json::object());
    } else if (path == "/stats") {
      co_await SendJson(aExchange, 200, Stats());
    } else {
      co_await SendJson(
        aExchange, path == "/healthz" ? 200 : 404, json::object());
    }
  }

private:
  static FakeBatch::Options ParseOptions(const json& aSettings)
  {
    FakeBatch::Options options;
    options.prefillLinearUs_ =
      aSettings.value("prefill_linear_us", options.prefillLinearUs_);
    options.prefillQuadraticUs_ =
      aSettings.value("prefill_quadratic_us", options.prefillQuadraticUs_);
    options.decodeStep_ =
      std::chrono::microseconds(aSettings.value("decode_us", 2000));
    options.chunkTokens_ =
      aSettings.value("chunk_tokens", options.chunkTokens_);
    options.kvTokens_ = aSettings.value("kv_tokens", options.kvTokens_);
    options.maxBatch_ = aSettings.value("max_batch", options.maxBatch_);
    return options;
  }

  void Control(const json& aBody)
  {
    leaving_ = aBody.value("leaving", leaving_);
    retryAfter_ = aBody.value("retry_after", retryAfter_);
    hang_ = aBody.value("hang", hang_);
    crossAnswers_ = aBody.value("cross_answers", crossAnswers_);
    cutAfter_ = aBody.value("cut_after", cutAfter_);
    batch_.MutableOptions().slowdown_ =
      aBody.value("slowdown", batch_.MutableOptions().slowdown_);
  }

  HttpResponse MakeRefusal(const HttpRequest& aRequest,
                           int aStatus,
                           const char* aReason) const
  {
    const json body = { { "error", aReason } };
    HttpResponse response = JsonResponse(aStatus, body.dump());
    response.fields_.push_back({ "X-Not-Run", "true" });
    response.fields_.push_back(
      { "X-Request-Id", std::string(aRequest.Field("X-Request-Id")) });
    if (leaving_) {
      response.fields_.push_back({ "X-Endpoint-State", "leaving" });
    }
    if (!retryAfter_.empty()) {
      response.fields_.push_back({ "Retry-After", retryAfter_ });
    }
    return response;
  }

  asio::awaitable<void> Generate(HttpExchange& aExchange)
  {
    const json body = ParseJsonBody(aExchange.Request());
    const std::string prompt = ExtractPrompt(body);
    if (!crashOn_.empty() && prompt.find(crashOn_) != std::string::npos) {
      std::_Exit(70);
    }
    const std::uint64_t resume = body.value("resume_from", std::uint64_t{ 0 });
    const std::uint64_t limit = body.value("max_tokens", std::uint64_t{ 16 });
    const std::uint64_t tokens = CountTokens(prompt) + resume;
    const std::uint64_t requiredTokens = CountTokens(prompt) + limit;
    if (leaving_ || !retryAfter_.empty()) {
      ++refused_;
      co_await aExchange.Send(MakeRefusal(
        aExchange.Request(), 503, leaving_ ? "leaving" : "overloaded"));
      co_return;
    }
    if (!batch_.Fits(requiredTokens)) {
      co_await aExchange.Send(
        MakeRefusal(aExchange.Request(), 507, "prompt exceeds KV memory"));
      co_return;
    }
    ++started_;
    while (hang_) {
      co_await TimerService::SleepFor(std::chrono::milliseconds(20));
    }
    const std::uint64_t imported = ImportedTokens(body);
    Sequence newSequence;
    newSequence.id_ = body.value("request_id", "");
    newSequence.priority_ = body.value("priority", 0);
    newSequence.promptTokens_ = tokens;
    newSequence.prefillRemaining_ = tokens - std::min(imported, tokens - 1);
    newSequence.nextToken_ = resume;
    newSequence.maxTokens_ = limit;
    newSequence.kvTokens_ = requiredTokens;
    Sequence* sequence = batch_.Add(std::move(newSequence));
    EnsureBatchLoop();
    // Removes the sequence on every exit path, including a client disconnect.
    const SequenceGuard guard(batch_, sequence);
    co_await Stream(aExchange, *sequence, prompt);
  }

  static HttpResponse EventStream()
  {
    return { .status_ = 200,
             .fields_ = { { "Content-Type", "text/event-stream" } } };
  }

  asio::awaitable<void> Stream(HttpExchange& aExchange,
                               Sequence& aSequence,
                               const std::string& aPrompt)
  {
    std::uint64_t next = aSequence.nextToken_;
    std::uint64_t sent = 0;
    bool open = false;
    while (next < aSequence.maxTokens_ && !aSequence.cancelled_) {
      co_await TimerService::SleepFor(std::chrono::milliseconds(1));
      std::string chunk;
      while (next < aSequence.nextToken_) {
        if (cutAfter_ > 0 && sent++ >= cutAfter_) {
          co_return; // aborts the stream before the [DONE] marker
        }
        chunk += FormatTokenEvent(aSequence, aPrompt, next++);
      }
      if (!chunk.empty() && !open) {
        open = true;
        RecordCacheEvent(aPrompt);
        co_await aExchange.StartStream(EventStream());
      }
      const bool connected = co_await aExchange.Write(chunk);
      if (!connected) {
        co_return;
      }
    }
    if (aSequence.cancelled_) {
      co_return;
    }
    if (!open) {
      co_await aExchange.StartStream(EventStream());
    }
    ++finished_;
    co_await aExchange.Write("data: [DONE]\n\n");
    co_await aExchange.Finish();
  }

  std::string FormatTokenEvent(const Sequence& aSequence,
                               const std::string& aPrompt,
                               std::uint64_t aIndex) const
  {
    const bool last = aIndex + 1 == aSequence.maxTokens_;
    const json event = {
      { "id", crossAnswers_ ? aSequence.id_ + "x" : aSequence.id_ },
      { "object", "chat.completion.chunk" },
      { "token_index", aIndex },
      { "choices",
        json::array(
          { { { "index", 0 },
              { "delta", { { "content", ReferenceToken(aPrompt, aIndex) } } },
              { "finish_reason", last ? json("length") : json(nullptr) } } }) }
    };
    return "data: " + event.dump() + "\n\n";
  }

  // Starts the batch loop unless it is running. It ends when the batch is
  // empty.
  void EnsureBatchLoop()
  {
    if (batchLoopRunning_) {
      return;
    }
    batchLoopRunning_ = true;
    asio::co_spawn(context_, RunBatchLoop(), asio::detached);
  }

  asio::awaitable<void> RunBatchLoop()
  {
    TimePoint clock = TimerService::Now();
    while (!batch_.IsIdle()) {
      const FakeBatch::Step step = batch_.BeginStep();
      clock = std::max(clock, TimerService::Now()) + step.duration_;
      if (step.duration_.count() > 0) {
        co_await TimerService::SleepUntil(clock);
      } else {
        co_await TimerService::SleepFor(std::chrono::milliseconds(1));
      }
      batch_.FinishStep(step);
    }
    batchLoopRunning_ = false;
  }

  void Cancel(const std::string& aId)
  {
    ++cancels_;
    batch_.CancelById(aId);
  }

  std::uint64_t ImportedTokens(const json& aBody)
  {
    const auto found = batch_.Exports().find(aBody.value("kv_import", ""));
    return found == batch_.Exports().end() ? 0 : found->second.tokens_;
  }

  json MakeLoadReport()
  {
    const TimePoint now = TimerService::Now();
    loadReports_.push_back({ now,
                             { { "waiting_tokens", batch_.WaitingTokens() },
                               { "running", batch_.CountRunning() },
                               { "waiting", batch_.CountWaiting() },
                               { "kv_used", batch_.KvUsed() },
                               { "kv_total", batch_.KvTotal() } } });
    while (loadReports_.size() > 1 && loadReports_[1].first + loadLag_ <= now) {
      loadReports_.pop_front();
    }
    json report = loadReports_.front().second;
    report["age_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                         now - loadReports_.front().first)
                         .count();
    report["state"] = leaving_ ? "leaving" : "live";
    report["incarnation"] = incarnation_;
    return report;
  }

  void RecordCacheEvent(const std::string& aPrompt)
  {
    constexpr std::size_t kPrefixBytes = 1024;
    const std::size_t size = std::min(aPrompt.size(), kPrefixBytes);
    events_.push_back({ { "seq", ++eventSequence_ },
                        { "kind", "stored" },
                        { "prefix", XXH3_64bits(aPrompt.data(), size) },
                        { "tokens", CountTokens(aPrompt) } });
    if (eventGap_ > 0 && eventSequence_ % eventGap_ == 0) {
      events_.pop_back();
    }
    if (events_.size() > 1000) {
      events_.pop_front();
    }
  }

  json Events(const HttpRequest& aRequest) const
  {
    const std::uint64_t after =
      std::strtoull(aRequest.QueryParameter("after").c_str(), nullptr, 10);
    json events = json::array();
    for (const json& event : events_) {
      if (event.at("seq") > after) {
        events.push_back(event);
      }
    }
    return { { "events", events }, { "last", eventSequence_ } };
  }

  HttpResponse Exports(const HttpRequest& aRequest)
  {
    if (aRequest.method_ == "POST") {
      const json body = ParseJsonBody(aRequest);
      const bool held = batch_.ReserveExport(
        body.value("id", ""),
        { .owner_ = body.value("owner", ""),
          .tokens_ = body.value("tokens", std::uint64_t{ 0 }),
          .prefix_ = body.value("prefix", std::uint64_t{ 0 }) });
      return JsonResponse(held ? 201 : 409, "{}");
    }
    if (aRequest.method_ == "DELETE") {
      const std::string path(aRequest.Path());
      const bool freed = batch_.ReleaseExport(path.substr(path.rfind('/') + 1));
      return JsonResponse(freed ? 200 : 404, "{}");
    }
    json body = { { "exports", json::array() } };
    for (const auto& [id, held] : batch_.Exports()) {
      body["exports"].push_back({ { "id", id },
                                  { "owner", held.owner_ },
                                  { "tokens", held.tokens_ },
                                  { "prefix", held.prefix_ } });
    }
    return JsonResponse(200, body.dump());
  }

  HttpResponse HandleOrders(const HttpRequest& aRequest)
  {
    if (aRequest.method_ == "POST") {
      const json body = ParseJsonBody(aRequest);
      const std::uint64_t fencing = body.value("fencing", std::uint64_t{ 0 });
      if (fencingEnforced_ && fencing < fencingToken_) {
        return JsonResponse(409, R"({"error":"old fencing number"})");
      }
      fencingToken_ =
        fencingEnforced_ ? fencing : std::max(fencing, fencingToken_);
      desired_ = body.value("desired", json::object());
      orderLog_.push_back(body);
    }
    const json state = { { "fencing", fencingToken_ },
                         { "desired", desired_ },
                         { "log", orderLog_ } };
    return JsonResponse(200, state.dump());
  }

  json Stats() const
  {
    return { { "name", name_ },
             { "started", started_ },
             { "refused", refused_ },
             { "finished", finished_ },
             { "cancels", cancels_ },
             { "kv_used", batch_.KvUsed() },
             { "running", batch_.CountRunning() },
             { "waiting", batch_.CountWaiting() } };
  }

  asio::io_context& context_;
  FakeBatch batch_;
  std::string name_;
  std::uint64_t incarnation_;
  bool fencingEnforced_;
  std::chrono::milliseconds loadLag_;
  std::uint64_t eventGap_;
  std::string crashOn_;
  bool leaving_ = false;
  std::string retryAfter_; // rejects all requests if not empty
  bool hang_ = false;
  bool crossAnswers_ = false;
  bool batchLoopRunning_ = false;
  std::uint64_t cutAfter_ = 0;
  std::uint64_t started_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t finished_ = 0;
  std::uint64_t cancels_ = 0;
  std::uint64_t fencingToken_ = 0;
  std::uint64_t eventSequence_ = 0;
  json desired_ = json::object();
  json orderLog_ = json::array();
  std::deque<json> events_;
  std::deque<std::pair<TimePoint, json>> loadReports_;
};

} // namespace

int RunFakeEngine(const json& aSettings)
{
  asio::io_context context(1);
  FakeEngine engine(context, aSettings);
  return RunFake(context, aSettings, [&engine](HttpExchange& aExchange) {
    return engine.Handle(aExchange);
  });
}

} // namespace gooseberrylift::fakes
