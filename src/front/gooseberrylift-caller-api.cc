#include "gooseberrylift/internal/gooseberrylift-caller-api.h"

#include <algorithm>
#include <charconv>
#include <random>

#include <boost/asio/this_coro.hpp>
#include <boost/system/system_error.hpp>
#include <xxhash.h>

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
constexpr std::size_t kWholeBodyBytes = 256 * 1024;

std::string MakeRequestId()
{
  thread_local std::mt19937_64 sGenerator{ std::random_device{}() };
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string id(32, '0');
  std::uint64_t bits = 0;
  for (std::size_t place = 0; place < id.size(); ++place) {
    bits = place % 16 == 0 ? sGenerator() : bits >> 4;
    id[place] = kDigits[bits & 0xf];
  }
  return id;
}

// Reads X-Deadline-Ms; the service's own deadline when the caller gave none.
Outcome<milliseconds> DeadlineOf(const HttpRequest& aRequest,
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
                  .text_ = "X-Deadline-Ms: a number of milliseconds from 1 to "
                           "86400000 is needed" };
  }
  return milliseconds(value);
}

HttpResponse EventStreamHead(const std::string& aRequestId)
{
  return { .status_ = 200,
           .fields_ = { { "Content-Type", "text/event-stream" },
                        { "Cache-Control", "no-store" },
                        { "X-Request-Id", aRequestId } } };
}

void NoteService(const CallerRequest& aRequest,
                 const ServiceConfig& aService,
                 std::uint64_t aPromptTokens)
{
  *aRequest.burn_ = { .service_ = &aService,
                      .sample_ = { .team_ = aRequest.team_->name_,
                                   .service_ = aService.name_,
                                   .promptTokens_ = aPromptTokens } };
}

void NoteFirstToken(const CallerRequest& aRequest)
{
  auto& firstToken = aRequest.burn_->sample_.firstToken_;
  if (!firstToken) {
    firstToken = std::chrono::duration_cast<std::chrono::microseconds>(
      TimerService::Now() - aRequest.arrived_);
  }
}

// Says when to come back after a failure of this side, unless the call may have
// run and must not be repeated. The times are spread, so that the callers of
// one failed endpoint do not return in one moment.
void AddRetryAfter(const HttpRequest& aRequest, Error& aError)
{
  constexpr int kLeastMs = 500;
  constexpr int kMostMs = 2000;
  const int status = InfoOf(aError.code_).httpStatus_;
  const bool mayRepeat =
    aError.ran_ == RanState::kNo || aRequest.Path().ends_with("/completions");
  if (aError.retryAfter_ || status < 502 || status > 504 || !mayRepeat) {
    return;
  }
  thread_local std::mt19937 sGenerator{ std::random_device{}() };
  std::uniform_int_distribution<int> spread(kLeastMs, kMostMs);
  aError.retryAfter_ = milliseconds(spread(sGenerator));
}

// Passes each event on as it comes.
class StreamSink : public TokenSink
{
public:
  StreamSink(HttpExchange& aExchange, const CallerRequest& aRequest)
    : exchange_(aExchange)
    , request_(aRequest)
  {
  }

  asio::awaitable<bool> OnToken(const TokenEvent& aToken) override
  {
    NoteFirstToken(request_);
    events_ += "data: ";
    events_ += aToken.raw_;
    events_ += "\n\n";
    co_return true;
  }

  // Tokens that came in one piece leave in one write; none waits for the next
  // piece. Those of a piece that turned out faulty stay for the next attempt's.
  asio::awaitable<bool> Flush() override
  {
    if (events_.empty()) {
      co_return true;
    }
    const bool open = co_await Open();
    if (!open) {
      co_return false;
    }
    const std::string events = std::exchange(events_, {});
    co_return co_await exchange_.Write(events);
  }

  asio::awaitable<void> Finish()
  {
    events_ += "data: [DONE]\n\n";
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
    co_return co_await exchange_.StartStream(EventStreamHead(request_.id_));
  }

  HttpExchange& exchange_;
  const CallerRequest& request_;
  std::string events_; // not written yet
};

// Gathers the whole answer.
class CollectSink : public TokenSink
{
public:
  explicit CollectSink(const CallerRequest& aRequest)
    : request_(aRequest)
  {
  }

  asio::awaitable<bool> OnToken(const TokenEvent& aToken) override
  {
    NoteFirstToken(request_);
    text_ += aToken.text_;
    finishReason_ = aToken.finishReason_;
    co_return true;
  }

  std::string text_;
  std::string finishReason_;

private:
  const CallerRequest& request_;
};

// Sends an endpoint's answer on: whole while it is small, piece by piece when
// it is not, so that memory stays bounded. A body cut by the endpoint ends as
// a cut stream or as an error, never as a short success.
asio::awaitable<Outcome<void>> PassOn(HttpExchange& aExchange,
                                      HttpCall& aCall,
                                      const std::string& aRequestId)
{
  // A body that only the close ends looks whole wherever it was cut.
  if (!aCall.HasExplicitEnd()) {
    co_return Error{ .code_ = ResultCode::kAnswerEndUnknown,
                     .ran_ = RanState::kYes };
  }
  HttpResponse head{ .status_ = aCall.Head().status_,
                     .fields_ = WithoutHostFields(aCall.Head().fields_) };
  head.fields_.push_back({ "X-Request-Id", aRequestId });
  while (true) {
    auto piece = co_await aCall.ReadSome();
    if (!piece) {
      co_return piece.error();
    }
    if (!piece.value()) {
      break;
    }
    if (aExchange.ResponseStarted()) {
      const bool written = co_await aExchange.Write(*piece.value());
      if (!written) {
        co_return Error{ .code_ = ResultCode::kCallerLeft,
                         .ran_ = RanState::kYes };
      }
      continue;
    }
    head.body_ += *piece.value();
    if (head.body_.size() >= kWholeBodyBytes) {
      const std::string begin = std::exchange(head.body_, {});
      co_await aExchange.StartStream(head);
      co_await aExchange.Write(begin);
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
  bool prefix_;
  std::string_view method_; // empty for any
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

asio::awaitable<void> CallerApi::Handle(HttpExchange& aExchange)
{
  BurnNote burn;
  CallerRequest request{ .id_ = MakeRequestId(),
                         .arrived_ = TimerService::Now(),
                         .configuration_ =
                           parts_.board_.configuration_.Read()->configuration_,
                         .burn_ = &burn };
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
    // The exchange was aborted while something was awaited; what had been
    // sent to an endpoint by then may have run.
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
  co_await AnswerFailure(aExchange, request, std::move(error));
}

asio::awaitable<Outcome<void>> CallerApi::Dispatch(HttpExchange& aExchange,
                                                   CallerRequest& aRequest)
{
  const HttpRequest& request = aExchange.Request();
  const std::string_view path = request.Path();
  const auto* route = std::find_if(
    std::begin(kRoutes), std::end(kRoutes), [path](const Route& aRoute) {
      return aRoute.prefix_ ? path.starts_with(aRoute.path_)
                            : path == aRoute.path_;
    });
  if (route == std::end(kRoutes)) {
    co_return Error{ .code_ = ResultCode::kUnknownRoute };
  }
  if (!route->method_.empty() && request.method_ != route->method_) {
    co_return Error{ .code_ = ResultCode::kMethodNotAllowed };
  }
  if (!aRequest.configuration_) {
    co_return Error{ .code_ = ResultCode::kNoConfiguration,
                     .retryAfter_ = milliseconds(1000) };
  }
  constexpr std::string_view kBearer = "Bearer ";
  const std::string_view field = request.Field("Authorization");
  if (!field.starts_with(kBearer)) {
    co_return Error{ .code_ = ResultCode::kMissingTeamKey };
  }
  aRequest.team_ =
    aRequest.configuration_->TeamByKey(field.substr(kBearer.size()));
  if (aRequest.team_ == nullptr) {
    co_return Error{ .code_ = ResultCode::kUnknownTeamKey };
  }
  co_return co_await (this->*route->handler_)(aExchange, aRequest);
}

asio::awaitable<Outcome<void>> CallerApi::HandleModel(
  HttpExchange& aExchange,
  const CallerRequest& aRequest)
{
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
                       "no service serves the model '" + model.model_ + "'" };
  }
  const auto deadline = DeadlineOf(aExchange.Request(), *service);
  if (!deadline) {
    co_return deadline.error();
  }
  NoteService(aRequest, *service, model.promptTokens_);
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
  // Held once from here on, as text or as JSON.
  std::string text = std::exchange(aExchange.MutableRequest().body_, {});
  if (model.textIsExtensible_) {
    generation.text_ = std::move(text);
    generation.body_ = {};
  }
  aExchange.SetDeadline(generation.info_.deadline_);
  if (model.stream_) {
    StreamSink sink(aExchange, aRequest);
    const auto done = co_await parts_.models_.Run(std::move(generation), sink);
    if (!done) {
      co_return done.error();
    }
    co_await sink.Finish();
    co_return boost::outcome_v2::success();
  }
  CollectSink sink(aRequest);
  const auto done = co_await parts_.models_.Run(std::move(generation), sink);
  if (!done) {
    co_return done.error();
  }
  HttpResponse response = JsonResponse(200,
                                       MakeModelResponse(model,
                                                         aRequest.id_,
                                                         sink.text_,
                                                         sink.finishReason_,
                                                         done.value().tokens_));
  response.fields_.push_back({ "X-Request-Id", aRequest.id_ });
  co_await aExchange.Send(std::move(response));
  co_return boost::outcome_v2::success();
}

asio::awaitable<Outcome<void>> CallerApi::HandleService(
  HttpExchange& aExchange,
  const CallerRequest& aRequest)
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
  const auto deadline = DeadlineOf(request, *service);
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
  NoteService(aRequest, *service, 0);
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
    co_return co_await HandleOnce(aExchange, std::move(call), key);
  }
  auto answer = co_await parts_.services_.Run(std::move(call));
  if (!answer) {
    co_return answer.error();
  }
  const auto passed =
    co_await PassOn(aExchange, *answer.value().call_, aRequest.id_);
  answer.value().placement_.Finish(
    { .succeeded_ = passed.has_value(),
      .endpointAtFault_ =
        !passed && passed.error().code_ != ResultCode::kCallerLeft });
  co_return passed;
}

void CallerApi::RecordBurn(const CallerRequest& aRequest, ResultCode aCode)
{
  if (aRequest.burn_->service_ != nullptr) {
    parts_.burn_.Record(
      *aRequest.burn_->service_, aRequest.burn_->sample_, aCode);
  }
}

asio::awaitable<void> CallerApi::AnswerFailure(HttpExchange& aExchange,
                                               const CallerRequest& aRequest,
                                               Error aError)
{
  const int code = static_cast<int>(aError.code_);
  AddRetryAfter(aExchange.Request(), aError);
  RecordBurn(aRequest, aError.code_);
  parts_.metrics_.Count("gooseberrylift_requests_total",
                        "code=\"" + std::to_string(code) + "\"");
  Log(LogEvent::kRequestFailed,
      { { "request_id", aRequest.id_ },
        { "team", aRequest.team_ == nullptr ? "" : aRequest.team_->name_ },
        { "code", code },
        { "text", aError.text_ },
        { "ran", NameOf(aError.ran_) } });
  // Another write to a caller that does not read would wait in vain again. One
  // that closed its sending half only still reads, and is told.
  if (aExchange.Reason() == AbortReason::kCallerStalled) {
    co_return;
  }
  if (!aExchange.ResponseStarted()) {
    co_await aExchange.Send(ErrorResponse(aError, aRequest.id_));
    co_return;
  }
  // The head is out, so the error can only be said inside the stream; leaving
  // the stream unfinished shows even a careless caller that it was cut.
  co_await aExchange.Write("data: " + ErrorBody(aError, aRequest.id_) + "\n\n");
}

} // namespace gooseberrylift
