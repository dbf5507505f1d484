#include "gooseberrylift/internal/gooseberrylift-caller-api.h"

#include <algorithm>
#include <charconv>
#include <random>

#include <boost/asio/this_coro.hpp>
#include <boost/system/system_error.hpp>
#include <xxhash.h>

#include "gooseberrylift/gooseberrylift-json-text.h"
#include "gooseberrylift/internal/gooseberrylift-forward-fields.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"
#include "gooseberrylift/internal/gooseberrylift-model-request.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view kServicesPrefix = "/services/";
constexpr milliseconds kMaxDeadline{ 86'400'000 };
constexpr std::size_t kStreamingThresholdBytes = 256 * 1024;

std::string MakeRequestId()
{
  thread_local std::mt19937_64 sGenerator{ std::random_device{}() };
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string id(32, '0');
  std::uint64_t bits = 0;
  for (std::size_t digit = 0; digit < id.size(); ++digit) {
    bits = digit % 16 == 0 ? sGenerator() : bits >> 4;
    id[digit] = kDigits[bits & 0xf];
  }
  return id;
}

// Returns the value of X-Deadline-Ms, or the service's default deadline when
// the field is absent.
Outcome<milliseconds> ParseDeadline(const HttpRequest& aRequest,
                                    const ServiceConfig& aService)
{
  const std::string_view text = aRequest.Field("X-Deadline-Ms");
  if (text.empty()) {
    return aService.deadline_;
  }
  std::int64_t value = 0;
  const auto [end, code] =
    std::from_chars(text.data(), text.data() + text.size(), value);
  if (code != std::errc() || end != text.data() + text.size() || value <= 0 ||
      value > kMaxDeadline.count()) {
    return Error{ .code_ = ResultCode::kBadField,
                  .text_ = "X-Deadline-Ms: must be a whole number of "
                           "milliseconds from 1 to 86400000" };
  }
  return milliseconds(value);
}

HttpResponse MakeEventStreamResponse(const std::string& aRequestId)
{
  return { .status_ = 200,
           .fields_ = { { "Content-Type", "text/event-stream" },
                        { "Cache-Control", "no-store" },
                        { "X-Request-Id", aRequestId } } };
}

void SetBurnService(const RequestContext& aRequest,
                    const ServiceConfig& aService,
                    std::uint64_t aPromptTokens)
{
  *aRequest.burn_ = { .service_ = &aService,
                      .sample_ = { .team_ = aRequest.team_->name_,
                                   .service_ = aService.name_,
                                   .promptTokens_ = aPromptTokens } };
}

void RecordFirstToken(const RequestContext& aRequest)
{
  auto& firstToken = aRequest.burn_->sample_.firstToken_;
  if (!firstToken) {
    firstToken = std::chrono::duration_cast<std::chrono::microseconds>(
      TimerService::Now() - aRequest.arrived_);
  }
}

// Adds Retry-After to a server-side failure (502 to 504), unless the call may
// have been executed and is not safe to repeat. The delay is random, so that
// the callers of one failed endpoint do not all retry at the same moment.
void AddRetryAfter(const HttpRequest& aRequest, Error& aError)
{
  constexpr int kMinDelayMs = 500;
  constexpr int kMaxDelayMs = 2000;
  const int status = InfoOf(aError.code_).httpStatus_;
  const bool mayRepeat =
    aError.ran_ == RanState::kNo || aRequest.Path().ends_with("/completions");
  if (aError.retryAfter_ || status < 502 || status > 504 || !mayRepeat) {
    return;
  }
  thread_local std::mt19937 sGenerator{ std::random_device{}() };
  std::uniform_int_distribution<int> delay(kMinDelayMs, kMaxDelayMs);
  aError.retryAfter_ = milliseconds(delay(sGenerator));
}

// Streams the events to the caller as they arrive.
class StreamSink : public TokenSink
{
public:
  StreamSink(HttpExchange& aExchange, const RequestContext& aRequest)
    : exchange_(aExchange)
    , request_(aRequest)
  {
  }

  asio::awaitable<bool> OnToken(const TokenEvent& aToken) override
  {
    RecordFirstToken(request_);
    pendingEvents_ += "data: ";
    pendingEvents_ += aToken.raw_;
    pendingEvents_ += "\n\n";
    co_return true;
  }

  // Writes the tokens of one received chunk in a single write, without waiting
  // for the next chunk. Tokens of a chunk that turned out to be faulty stay
  // buffered and are written with those of the next attempt.
  asio::awaitable<bool> Flush() override
  {
    if (pendingEvents_.empty()) {
      co_return true;
    }
    const bool open = co_await Open();
    if (!open) {
      co_return false;
    }
    const std::string events = std::exchange(pendingEvents_, {});
    co_return co_await exchange_.Write(events);
  }

  asio::awaitable<void> Finish()
  {
    pendingEvents_ += "data: [DONE]\n\n";
    const bool sent = co_await Flush();
    if (sent) {
      co_await exchange_.Finish();
    }
  }

private:
  asio::awaitable<bool> Open()
  {
    if (exchange_.ResponseStarted()) {
      co_return true;
    }
    co_return co_await exchange_.StartStream(
      MakeEventStreamResponse(request_.id_));
  }

  HttpExchange& exchange_;
  const RequestContext& request_;
  std::string pendingEvents_; // not written to the caller yet
};

// Buffers the complete answer for a response that is not streamed.
class BufferingSink : public TokenSink
{
public:
  explicit BufferingSink(const RequestContext& aRequest)
    : request_(aRequest)
  {
  }

  asio::awaitable<bool> OnToken(const TokenEvent& aToken) override
  {
    RecordFirstToken(request_);
    text_ += aToken.text_;
    finishReason_ = aToken.finishReason_;
    co_return true;
  }

  std::string text_;
  std::string finishReason_;

private:
  const RequestContext& request_;
};

// Forwards an endpoint's response. A small body is buffered and sent at once;
// one of kStreamingThresholdBytes or more is streamed, so that memory stays
// bounded. A body that the endpoint truncated ends as a truncated stream or as
// an error, never as a shorter successful response.
asio::awaitable<Outcome<void>> ForwardResponse(HttpExchange& aExchange,
                                               HttpCall& aCall,
                                               const std::string& aRequestId)
{
  // Without a length or chunked framing, only the close of the connection ends
  // the body, so a truncated one cannot be told from a complete one.
  if (!aCall.HasExplicitEnd()) {
    co_return Error{ .code_ = ResultCode::kAnswerEndUnknown,
                     .ran_ = RanState::kYes };
  }
  HttpResponse head{ .status_ = aCall.Head().status_,
                     .fields_ = WithoutHostFields(aCall.Head().fields_) };
  head.fields_.push_back({ "X-Request-Id", aRequestId });
  while (true) {
    auto chunk = co_await aCall.ReadSome();
    if (!chunk) {
      co_return chunk.error();
    }
    if (!chunk.value()) {
      break;
    }
    if (aExchange.ResponseStarted()) {
      const bool written = co_await aExchange.Write(*chunk.value());
      if (!written) {
        co_return Error{ .code_ = ResultCode::kCallerLeft,
                         .ran_ = RanState::kYes };
      }
      continue;
    }
    head.body_ += *chunk.value();
    if (head.body_.size() >= kStreamingThresholdBytes) {
      const std::string buffered = std::exchange(head.body_, {});
      co_await aExchange.StartStream(head);
      co_await aExchange.Write(buffered);
    }
  }
  bool sent = false;
  if (aExchange.ResponseStarted()) {
    sent = co_await aExchange.Finish();
  } else {
    sent = co_await aExchange.Send(std::move(head));
  }
  if (!sent) {
    co_return Error{ .code_ = ResultCode::kCallerLeft, .ran_ = RanState::kYes };
  }
  co_return boost::outcome_v2::success();
}

} // namespace

struct CallerApi::Route
{
  std::string_view path_;
  bool isPrefix_;
  std::string_view method_; // empty matches any method
  Handler handler_;
};

const CallerApi::Route CallerApi::kRoutes[] = {
  { "/v1/chat/completions", false, "POST", &CallerApi::HandleModel },
  { "/v1/completions", false, "POST", &CallerApi::HandleModel },
  { kServicesPrefix, true, "", &CallerApi::HandleService },
  { kJobsPath, false, "", &CallerApi::HandleJobs },
  { kJobsPrefix, true, "", &CallerApi::HandleJobs },
};

CallerApi::CallerApi(Parts aParts)
  : parts_(aParts)
{
}

RequestContext CallerApi::MakeContext() const
{
  return { .id_ = MakeRequestId(),
           .arrived_ = TimerService::Now(),
           .configuration_ =
             parts_.board_.configuration_.Read()->configuration_ };
}

std::optional<HttpResponse> CallerApi::CheckHead(
  const HttpRequest& aHead,
  std::optional<TimePoint> aLatestEnd)
{
  BurnObservation burn;
  RequestContext request = MakeContext();
  request.burn_ = &burn;
  const auto route = FindRoute(aHead, aLatestEnd, request);
  if (route) {
    return std::nullopt;
  }
  Error error = route.error();
  AddRetryAfter(aHead, error);
  RecordFailure(request, error);
  return ErrorResponse(error, request.id_);
}

asio::awaitable<void> CallerApi::Handle(HttpExchange& aExchange)
{
  BurnObservation burn;
  GenerationProgress progress;
  RequestContext request = MakeContext();
  request.burn_ = &burn;
  request.progress_ = &progress;
  Error error;
  try {
    const auto done = co_await Dispatch(aExchange, request);
    if (done) {
      parts_.metrics_.Count("gooseberrylift_requests_total", "code=\"0\"");
      RecordBurn(request, ResultCode::kOk);
      co_return;
    }
    error = done.error();
  } catch (const boost::system::system_error& aCancelled) {
    // The exchange was aborted during an asynchronous operation. A request that
    // was already sent to an endpoint may have been executed.
    error = { .code_ = ResultCode::kCallerLeft, .ran_ = RanState::kUnknown };
  }
  co_await asio::this_coro::reset_cancellation_state();
  if (aExchange.Reason() == AbortReason::kDeadline) {
    error.code_ = ResultCode::kDeadlineExceeded;
  } else if (aExchange.Reason() == AbortReason::kCallerStalled) {
    error.code_ = ResultCode::kCallerTooSlow;
  } else if (aExchange.Reason() == AbortReason::kStopping) {
    error.code_ = ResultCode::kShuttingDown;
  }
  co_await SendFailure(aExchange, request, std::move(error));
}

// Finds the handler of a request and the team of its key, as far as its head
// tells them.
Outcome<const CallerApi::Route*> CallerApi::FindRoute(
  const HttpRequest& aRequest,
  std::optional<TimePoint> aLatestEnd,
  RequestContext& aContext)
{
  if (aContext.arrived_ >= aLatestEnd.value_or(TimePoint::max())) {
    return MakeError(ResultCode::kShuttingDown);
  }
  const std::string_view path = aRequest.Path();
  const auto* route = std::find_if(
    std::begin(kRoutes), std::end(kRoutes), [path](const Route& aRoute) {
      return aRoute.isPrefix_ ? path.starts_with(aRoute.path_)
                              : path == aRoute.path_;
    });
  if (route == std::end(kRoutes)) {
    return MakeError(ResultCode::kUnknownRoute);
  }
  if (!route->method_.empty() && aRequest.method_ != route->method_) {
    return MakeError(ResultCode::kMethodNotAllowed);
  }
  if (!aContext.configuration_) {
    Error error = MakeError(ResultCode::kNoConfiguration);
    error.retryAfter_ = milliseconds(1000);
    return error;
  }
  constexpr std::string_view kBearer = "Bearer ";
  const std::string_view field = aRequest.Field("Authorization");
  if (!field.starts_with(kBearer)) {
    return MakeError(ResultCode::kMissingTeamKey);
  }
  aContext.team_ =
    aContext.configuration_->TeamByKey(field.substr(kBearer.size()));
  if (aContext.team_ == nullptr) {
    return MakeError(ResultCode::kUnknownTeamKey);
  }
  return route;
}

asio::awaitable<Outcome<void>> CallerApi::Dispatch(HttpExchange& aExchange,
                                                   RequestContext& aRequest)
{
  if (aExchange.HasCallerLeft()) {
    co_return Error{ .code_ = ResultCode::kCallerLeft };
  }
  const auto route =
    FindRoute(aExchange.Request(), aExchange.LatestEnd(), aRequest);
  if (!route) {
    co_return route.error();
  }
  co_return co_await (this->*route.value()->handler_)(aExchange, aRequest);
}

bool CallerApi::TryHoldDocuments(HttpExchange& aExchange, std::uint64_t aCount)
{
  return aExchange.TryHoldMemory(
    aCount * EstimateParsedBytes(aExchange.Request().body_.Text()));
}

asio::awaitable<Outcome<void>> CallerApi::HandleModel(
  HttpExchange& aExchange,
  const RequestContext& aRequest)
{
  if (!TryHoldDocuments(aExchange, 1)) {
    co_return MakeMemoryFullError();
  }
  auto parsed = ParseModelRequest(aExchange.Request());
  if (!parsed) {
    co_return parsed.error();
  }
  ModelRequest& model = parsed.value();
  const ServiceConfig* service =
    aRequest.configuration_->ServiceByModel(model.model_);
  if (service == nullptr) {
    co_return Error{ .code_ = ResultCode::kUnknownModel,
                     .text_ =
                       "no service provides the model '" + model.model_ + "'" };
  }
  const auto deadline = ParseDeadline(aExchange.Request(), *service);
  if (!deadline) {
    co_return deadline.error();
  }
  SetBurnService(aRequest, *service, model.promptTokens_);
  Generation generation{
    .requestId_ = aRequest.id_,
    .pool_ = service->pool_,
    .target_ = std::string(aExchange.Request().Path()),
    .info_ = { .team_ = aRequest.team_->name_,
               .service_ = service->name_,
               .class_ = service->class_,
               .promptTokens_ = model.promptTokens_,
               .maxTokens_ = model.maxTokens_,
               .prefixHash_ = model.prefixHash_,
               .deadline_ = aRequest.arrived_ + deadline.value() },
    .body_ = std::move(model.body_),
    .arrived_ = aRequest.arrived_,
  };
  // From here on only one copy of the body is kept, as text or as JSON.
  HttpBody text = std::exchange(aExchange.MutableRequest().body_, {});
  if (model.canAppendFields_) {
    generation.text_ = std::move(text);
    generation.body_ = {};
    // The request to the engine is a copy, smaller than the document was.
    aExchange.TryHoldMemory(generation.text_.Text().size());
  }
  aExchange.SetDeadline(generation.info_.deadline_);
  if (model.stream_) {
    StreamSink sink(aExchange, aRequest);
    const auto done = co_await parts_.models_.Run(
      std::move(generation), sink, *aRequest.progress_);
    if (!done) {
      co_return done.error();
    }
    co_await sink.Finish();
    co_return boost::outcome_v2::success();
  }
  BufferingSink sink(aRequest);
  const auto done = co_await parts_.models_.Run(
    std::move(generation), sink, *aRequest.progress_);
  if (!done) {
    co_return done.error();
  }
  HttpResponse response =
    JsonResponse(200,
                 MakeModelResponse(model,
                                   aRequest.id_,
                                   sink.text_,
                                   sink.finishReason_,
                                   aRequest.progress_->next_));
  response.fields_.push_back({ "X-Request-Id", aRequest.id_ });
  co_await aExchange.Send(std::move(response));
  co_return boost::outcome_v2::success();
}

asio::awaitable<Outcome<void>> CallerApi::HandleService(
  HttpExchange& aExchange,
  const RequestContext& aRequest)
{
  HttpRequest& request = aExchange.MutableRequest();
  const std::string_view rest =
    std::string_view(request.target_).substr(kServicesPrefix.size());
  const std::string name(rest.substr(0, rest.find_first_of("/?")));
  const ServiceConfig* service = aRequest.configuration_->ServiceByName(name);
  if (service == nullptr || service->kind_ != ServiceKind::kPlain) {
    co_return Error{ .code_ = ResultCode::kUnknownService,
                     .text_ = "no plain service '" + name + "'" };
  }
  const auto deadline = ParseDeadline(request, *service);
  if (!deadline) {
    co_return deadline.error();
  }
  std::string target(rest.substr(name.size()));
  if (!target.starts_with('/')) {
    target.insert(0, "/");
  }
  HttpFields fields = WithoutHostFields(request.fields_);
  fields.push_back({ "X-Request-Id", aRequest.id_ });
  fields.push_back({ "X-Team", aRequest.team_->name_ });
  SetBurnService(aRequest, *service, 0);
  ServiceCall call{
    .requestId_ = aRequest.id_,
    .pool_ = service->pool_,
    .info_ = { .team_ = aRequest.team_->name_,
               .service_ = service->name_,
               .class_ = service->class_,
               .deadline_ = aRequest.arrived_ + deadline.value() },
    .request_ = { .method_ = request.method_,
                  .target_ = std::move(target),
                  .fields_ = std::move(fields),
                  .body_ = std::move(request.body_) },
    .retryable_ = service->repeatableMethods_.contains(request.method_),
  };
  aExchange.SetDeadline(call.info_.deadline_);
  const std::string key(request.Field("Idempotency-Key"));
  if (!call.retryable_ && !key.empty()) {
    co_return co_await HandleIdempotent(aExchange, std::move(call), key);
  }
  auto answer = co_await parts_.services_.Run(std::move(call));
  if (!answer) {
    co_return answer.error();
  }
  const auto forwarded =
    co_await ForwardResponse(aExchange, *answer.value().call_, aRequest.id_);
  answer.value().placement_.Finish(
    { .succeeded_ = forwarded.has_value(),
      .endpointAtFault_ =
        !forwarded && forwarded.error().code_ != ResultCode::kCallerLeft });
  co_return forwarded;
}

void CallerApi::RecordBurn(const RequestContext& aRequest, ResultCode aCode)
{
  if (aRequest.burn_->service_ != nullptr) {
    parts_.burn_.Record(
      *aRequest.burn_->service_, aRequest.burn_->sample_, aCode);
  }
}

void CallerApi::RecordTruncation(const RequestContext& aRequest,
                                 const Error& aError,
                                 AbortReason aReason)
{
  const int code = static_cast<int>(aError.code_);
  const GenerationProgress& progress = *aRequest.progress_;
  parts_.metrics_.Count("gooseberrylift_responses_truncated_total",
                        "code=\"" + std::to_string(code) + "\",reason=\"" +
                          std::string(NameOf(aReason)) + "\"");
  Log(LogEvent::kResponseTruncated,
      { { "request_id", aRequest.id_ },
        { "code", code },
        { "text", aError.text_ },
        { "reason", std::string(NameOf(aReason)) },
        { "next_token", progress.next_ },
        { "sends", progress.attempts_ },
        { "sends_started", progress.startedAttempts_ },
        { "endpoints_failed", progress.failed_ },
        { "elapsed_ms",
          std::chrono::duration_cast<milliseconds>(TimerService::Now() -
                                                   aRequest.arrived_)
            .count() } });
}

void CallerApi::RecordFailure(const RequestContext& aRequest,
                              const Error& aError)
{
  const int code = static_cast<int>(aError.code_);
  RecordBurn(aRequest, aError.code_);
  parts_.metrics_.Count("gooseberrylift_requests_total",
                        "code=\"" + std::to_string(code) + "\"");
  Log(LogEvent::kRequestFailed,
      { { "request_id", aRequest.id_ },
        { "team", aRequest.team_ == nullptr ? "" : aRequest.team_->name_ },
        { "code", code },
        { "text", aError.text_ },
        { "ran", NameOf(aError.ran_) } });
}

asio::awaitable<void> CallerApi::SendFailure(HttpExchange& aExchange,
                                             const RequestContext& aRequest,
                                             Error aError)
{
  AddRetryAfter(aExchange.Request(), aError);
  RecordFailure(aRequest, aError);
  if (aExchange.ResponseStarted()) {
    RecordTruncation(aRequest, aError, aExchange.Reason());
  }
  // A caller that has stopped reading would block another write too. A caller
  // that closed only its sending half still reads, and gets the error.
  if (aExchange.Reason() == AbortReason::kCallerStalled) {
    co_return;
  }
  if (!aExchange.ResponseStarted()) {
    co_await aExchange.Send(ErrorResponse(aError, aRequest.id_));
    co_return;
  }
  // The response head has been sent, so the error can only be reported inside
  // the stream. The stream is left unterminated, so that a caller that does not
  // parse error events detects the truncation too.
  co_await aExchange.Write("data: " + ErrorBody(aError, aRequest.id_) + "\n\n");
}

} // namespace gooseberrylift
