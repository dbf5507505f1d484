// A model engine: continuous batching, KV memory, priorities, resume, cancel,
// KV export and import, load report, cache events and orders.
//   POST /v1/chat/completions, /v1/completions
//        besides the usual fields: "request_id", "priority" (lower first),
//        "resume_from" (index of the first token to send), "kv_import"
//   POST /v1/cancel     {"request_id"}
//   GET  /load          {"at_ms" (age), "state", "incarnation", ...}
//   GET  /events?after=N cache events with sequence numbers, some missing
//   POST /kv/exports    {"id", "owner", "tokens", "prefix"} 201 or 409
//   GET  /kv/exports    list;  DELETE /kv/exports/ID  free
//   POST /orders        {"fencing", "desired"}; 409 when enforced and old
//   GET  /orders        {"fencing", "desired", "log"}
//   GET  /stats, POST /control, GET /healthz
// Settings: name, incarnation, prefill_linear_us, prefill_quadratic_us,
// decode_us, chunk_tokens, kv_tokens, max_batch, fencing ("enforced" or
// "ignored"), load_lag_ms, event_gap (drop each n-th), crash_on (a text that
// kills the engine), control fields: leaving, hang, slowdown, cut_after (stop
// each stream after n tokens), cross_answers.

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

// The text of a chat or a plain prompt.
std::string PromptOf(const json& aBody)
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

// Takes a sequence out of its batch at the end of a scope.
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
    , batch_(OptionsOf(aSettings))
    , name_(aSettings.value("name", "engine"))
    , incarnation_(aSettings.value("incarnation", std::uint64_t{ 1 }))
    , enforced_(aSettings.value("fencing", "ignored") == "enforced")
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
      Cancel(BodyOf(request).value("request_id", ""));
      co_await Reply(aExchange, 200, json::object());
    } else if (path == "/load") {
      co_await Reply(aExchange, 200, Load());
    } else if (path == "/events") {
      co_await Reply(aExchange, 200, Events(request));
    } else if (path.starts_with("/kv/exports")) {
      co_await aExchange.Send(Exports(request));
    } else if (path == "/orders") {
      co_await aExchange.Send(Orders(request));
    } else if (path == "/control") {
      Control(BodyOf(request));
      co_await Reply(aExchange, 200, json::object());
    } else if (path == "/stats") {
      co_await Reply(aExchange, 200, Stats());
    } else {
      co_await Reply(aExchange, path == "/healthz" ? 200 : 404, json::object());
    }
  }

private:
  static FakeBatch::Options OptionsOf(const json& aSettings)
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
    hang_ = aBody.value("hang", hang_);
    crossAnswers_ = aBody.value("cross_answers", crossAnswers_);
    cutAfter_ = aBody.value("cut_after", cutAfter_);
    batch_.MutableOptions().slowdown_ =
      aBody.value("slowdown", batch_.MutableOptions().slowdown_);
  }

  HttpResponse Refusal(const HttpRequest& aRequest,
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
    return response;
  }

  asio::awaitable<void> Generate(HttpExchange& aExchange)
  {
    const json body = BodyOf(aExchange.Request());
    const std::string prompt = PromptOf(body);
    if (!crashOn_.empty() && prompt.find(crashOn_) != std::string::npos) {
      std::_Exit(70);
    }
    const std::uint64_t resume = body.value("resume_from", std::uint64_t{ 0 });
    const std::uint64_t limit = body.value("max_tokens", std::uint64_t{ 16 });
    const std::uint64_t tokens = CountTokens(prompt) + resume;
    const std::uint64_t need = CountTokens(prompt) + limit;
    if (leaving_) {
      ++refused_;
      co_await aExchange.Send(Refusal(aExchange.Request(), 503, "leaving"));
      co_return;
    }
    if (!batch_.Fits(need)) {
      co_await aExchange.Send(
        Refusal(aExchange.Request(), 507, "prompt exceeds KV memory"));
      co_return;
    }
    ++started_;
    while (hang_) {
      co_await TimerService::SleepFor(std::chrono::milliseconds(20));
    }
    const std::uint64_t imported = ImportedTokens(body);
    Sequence sequenceToAdd;
    sequenceToAdd.id_ = body.value("request_id", "");
    sequenceToAdd.priority_ = body.value("priority", 0);
    sequenceToAdd.promptTokens_ = tokens;
    sequenceToAdd.prefillLeft_ = tokens - std::min(imported, tokens - 1);
    sequenceToAdd.nextToken_ = resume;
    sequenceToAdd.maxTokens_ = limit;
    sequenceToAdd.kvTokens_ = need;
    Sequence* sequence = batch_.Add(std::move(sequenceToAdd));
    Kick();
    // Removes the sequence on every way out, a caller's leaving included.
    const SequenceGuard removal(batch_, sequence);
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
      std::string piece;
      while (next < aSequence.nextToken_) {
        if (cutAfter_ > 0 && sent++ >= cutAfter_) {
          co_return; // the stream ends without its end marker
        }
        piece += Event(aSequence, aPrompt, next++);
      }
      if (!piece.empty() && !open) {
        open = true;
        Remember(aPrompt);
        co_await aExchange.StartStream(EventStream());
      }
      const bool reading = co_await aExchange.Write(piece);
      if (!reading) {
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

  std::string Event(const Sequence& aSequence,
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

  // Runs the accelerator while there is work.
  void Kick()
  {
    if (running_) {
      return;
    }
    running_ = true;
    asio::co_spawn(context_, RunBatch(), asio::detached);
  }

  asio::awaitable<void> RunBatch()
  {
    TimePoint clock = TimerService::Now();
    while (!batch_.Idle()) {
      const FakeBatch::Step step = batch_.Advance();
      clock = std::max(clock, TimerService::Now()) + step.duration_;
      if (step.duration_.count() > 0) {
        co_await TimerService::SleepUntil(clock);
      } else {
        co_await TimerService::SleepFor(std::chrono::milliseconds(1));
      }
      batch_.Deliver(step);
    }
    running_ = false;
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

  json Load()
  {
    const TimePoint now = TimerService::Now();
    loads_.push_back({ now,
                       { { "waiting_tokens", batch_.WaitingTokens() },
                         { "running", batch_.Running() },
                         { "waiting", batch_.Waiting() },
                         { "kv_used", batch_.KvUsed() },
                         { "kv_total", batch_.KvTotal() } } });
    while (loads_.size() > 1 && loads_[1].first + loadLag_ <= now) {
      loads_.pop_front();
    }
    json report = loads_.front().second;
    report["age_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                         now - loads_.front().first)
                         .count();
    report["state"] = leaving_ ? "leaving" : "live";
    report["incarnation"] = incarnation_;
    return report;
  }

  void Remember(const std::string& aPrompt)
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
    const std::uint64_t after = std::strtoull(
      std::string(aRequest.QueryParameter("after")).c_str(), nullptr, 10);
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
      const json body = BodyOf(aRequest);
      const bool held =
        batch_.Hold(body.value("id", ""),
                    { .owner_ = body.value("owner", ""),
                      .tokens_ = body.value("tokens", std::uint64_t{ 0 }),
                      .prefix_ = body.value("prefix", std::uint64_t{ 0 }) });
      return JsonResponse(held ? 201 : 409, "{}");
    }
    if (aRequest.method_ == "DELETE") {
      const std::string path(aRequest.Path());
      const bool freed = batch_.Free(path.substr(path.rfind('/') + 1));
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

  HttpResponse Orders(const HttpRequest& aRequest)
  {
    if (aRequest.method_ == "POST") {
      const json body = BodyOf(aRequest);
      const std::uint64_t fencing = body.value("fencing", std::uint64_t{ 0 });
      if (enforced_ && fencing < fencing_) {
        return JsonResponse(409, R"({"error":"old fencing number"})");
      }
      fencing_ = enforced_ ? fencing : std::max(fencing, fencing_);
      desired_ = body.value("desired", json::object());
      orderLog_.push_back(body);
    }
    const json state = { { "fencing", fencing_ },
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
             { "running", batch_.Running() },
             { "waiting", batch_.Waiting() } };
  }

  asio::io_context& context_;
  FakeBatch batch_;
  std::string name_;
  std::uint64_t incarnation_;
  bool enforced_;
  std::chrono::milliseconds loadLag_;
  std::uint64_t eventGap_;
  std::string crashOn_;
  bool leaving_ = false;
  bool hang_ = false;
  bool crossAnswers_ = false;
  bool running_ = false;
  std::uint64_t cutAfter_ = 0;
  std::uint64_t started_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t finished_ = 0;
  std::uint64_t cancels_ = 0;
  std::uint64_t fencing_ = 0;
  std::uint64_t eventSequence_ = 0;
  json desired_ = json::object();
  json orderLog_ = json::array();
  std::deque<json> events_;
  std::deque<std::pair<TimePoint, json>> loads_;
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
