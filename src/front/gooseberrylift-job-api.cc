#include "gooseberrylift/internal/gooseberrylift-job-api.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "gooseberrylift/gooseberrylift-json-text.h"
#include "gooseberrylift/internal/gooseberrylift-encoding.h"
#include "gooseberrylift/internal/gooseberrylift-model-request.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr std::size_t kMaxKeyBytes = 255;

std::string ToHex(const std::string& aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const char byte : aBytes) {
    const auto value = static_cast<unsigned char>(byte);
    text += kDigits[value >> 4U];
    text += kDigits[value & 0xfU];
  }
  return text;
}

// Converts an error of the object store to one of the jobs API.
Error ToJobError(const Error& aError)
{
  if (aError.code_ == ResultCode::kStoreNotFound) {
    return { .code_ = ResultCode::kJobUnknown };
  }
  return { .code_ = ResultCode::kJobStoreUnavailable,
           .text_ = aError.text_,
           .ran_ = aError.ran_,
           .retryAfter_ = std::chrono::milliseconds(1000) };
}

json JobToJson(const StoredJob& aJob)
{
  const JobRecord& record = aJob.record_;
  json view = { { "id", aJob.id_ },
                { "object", "job" },
                { "state", JobStateName(record.state_) },
                { "claims", record.claims_ } };
  if (record.state_ == JobState::kFailed) {
    const auto code = static_cast<ResultCode>(record.code_);
    view["error"] = { { "code", record.code_ },
                      { "name", InfoOf(code).name_ },
                      { "message",
                        record.reason_.empty()
                          ? std::string(InfoOf(code).meaning_)
                          : record.reason_ } };
  }
  return view;
}

HttpResponse MakeJsonResponse(int aStatus, const json& aBody)
{
  return JsonResponse(
    aStatus, aBody.dump(-1, ' ', false, json::error_handler_t::replace));
}

// The content of a request that creates a job.
struct JobRequest
{
  std::string target_;
  std::string text_; // the model request's body
};

Outcome<JobRequest> ReadJobRequest(const HttpRequest& aRequest,
                                   const Configuration& aConfig)
{
  const json body = ParseJson(aRequest.body_.Text());
  if (!body.is_object()) {
    return MakeError(ResultCode::kMalformedJson);
  }
  const json url = body.value("url", json());
  if (url != "/v1/chat/completions" && url != "/v1/completions") {
    return MakeError(ResultCode::kBadField,
                     "url: must be /v1/chat/completions or /v1/completions");
  }
  JobRequest job{ .target_ = url, .text_ = body.value("body", json()).dump() };
  const auto model =
    ParseModelRequest(MakeRequest("POST", job.target_, job.text_));
  if (!model) {
    return model.error();
  }
  if (aConfig.ServiceByModel(model.value().model_) == nullptr) {
    return MakeError(ResultCode::kUnknownModel);
  }
  return job;
}

} // namespace

JobApi::JobApi(ObjectStore& aStore, JobRunner& aRunner, Options aOptions)
  : store_(aStore)
  , runner_(aRunner)
  , options_(aOptions)
{
}

asio::awaitable<Outcome<void>> JobApi::Handle(HttpExchange& aExchange,
                                              Configuration::Ptr aConfig,
                                              std::string aTeam)
{
  const HttpRequest& request = aExchange.Request();
  const std::string_view path = request.Path();
  const std::string id(
    path.size() > kJobsPrefix.size() ? path.substr(kJobsPrefix.size()) : "");
  Outcome<HttpResponse> answer = MakeError(ResultCode::kMethodNotAllowed);
  if (request.method_ == "POST" && id.empty()) {
    answer = co_await Add(request, aConfig, aTeam);
  } else if (request.method_ == "GET" && !id.empty()) {
    answer = co_await Get(id, aTeam);
  } else if (request.method_ == "DELETE" && !id.empty()) {
    answer = co_await Remove(id, aTeam);
  }
  if (!answer) {
    co_return answer.error();
  }
  co_await aExchange.Send(std::move(answer.value()));
  co_return boost::outcome_v2::success();
}

asio::awaitable<Outcome<HttpResponse>> JobApi::Add(HttpRequest aRequest,
                                                   Configuration::Ptr aConfig,
                                                   std::string aTeam)
{
  auto parsed = ReadJobRequest(aRequest, *aConfig);
  if (!parsed) {
    co_return parsed.error();
  }
  const std::string key(aRequest.Field("Idempotency-Key"));
  if (key.size() > kMaxKeyBytes) {
    co_return MakeError(ResultCode::kBadField,
                        "Idempotency-Key: must be at most 255 bytes");
  }
  if (!runner_.CanAddJob(aTeam)) {
    Error full = MakeError(ResultCode::kJobTeamFull);
    full.retryAfter_ = std::chrono::seconds(10);
    co_return full;
  }
  JobRequest& request = parsed.value();
  StoredJob job;
  job.id_ = ToHex(key.empty() ? ComputeDigest({ MakeNonce() })
                              : ComputeDigest({ aTeam, key }));
  job.record_.team_ = aTeam;
  job.record_.target_ = request.target_;
  job.record_.digest_ =
    EncodeBase64(ComputeDigest({ request.target_, request.text_ }));
  job.record_.expires_ = std::chrono::system_clock::now() + options_.retention_;
  const auto stored = co_await Store(std::move(job), std::move(request.text_));
  if (!stored) {
    co_return stored.error();
  }
  co_return MakeJsonResponse(202, JobToJson(stored.value()));
}

// Stores a job, or returns the one that an earlier request with the same
// Idempotency-Key stored.
asio::awaitable<Outcome<StoredJob>> JobApi::Store(StoredJob aJob,
                                                  std::string aText)
{
  const std::string id = aJob.id_;
  const std::string digest = aJob.record_.digest_;
  const TimePoint deadline = TimerService::Now() + options_.storeTimeout_;
  const auto added =
    co_await store_.Add(std::move(aJob), std::move(aText), deadline);
  if (added) {
    co_return added;
  }
  if (added.error().code_ != ResultCode::kStoreConflict) {
    co_return ToJobError(added.error());
  }
  const auto earlier = co_await store_.Read(id, deadline);
  if (!earlier) {
    co_return ToJobError(earlier.error());
  }
  if (earlier.value().record_.digest_ != digest) {
    co_return MakeError(ResultCode::kOnceKeyReused);
  }
  if (earlier.value().record_.state_ == JobState::kStoring) {
    // An earlier request failed between the chunks, so its job is incomplete
    // and was never acknowledged. It is deleted, and the next attempt stores it
    // again.
    co_await store_.Remove(earlier.value(), deadline);
    Error again =
      MakeError(ResultCode::kJobStoreUnavailable,
                "an earlier attempt did not store the complete job");
    again.retryAfter_ = std::chrono::milliseconds(1000);
    co_return again;
  }
  co_return earlier;
}

// Reads a job of a team. A job of another team is reported as unknown.
asio::awaitable<Outcome<StoredJob>> JobApi::Find(std::string aId,
                                                 std::string aTeam)
{
  const bool isHex = std::all_of(aId.begin(), aId.end(), [](char aCharacter) {
    return std::isxdigit(static_cast<unsigned char>(aCharacter)) != 0;
  });
  if (!isHex) {
    co_return MakeError(ResultCode::kJobUnknown);
  }
  const TimePoint deadline = TimerService::Now() + options_.callTimeout_;
  const auto job = co_await store_.Read(aId, deadline);
  if (!job) {
    co_return ToJobError(job.error());
  }
  if (job.value().record_.team_ != aTeam) {
    co_return MakeError(ResultCode::kJobUnknown);
  }
  co_return job;
}

asio::awaitable<Outcome<HttpResponse>> JobApi::Get(std::string aId,
                                                   std::string aTeam)
{
  const auto job = co_await Find(std::move(aId), std::move(aTeam));
  if (!job) {
    co_return job.error();
  }
  json view = JobToJson(job.value());
  if (job.value().record_.state_ == JobState::kDone) {
    const TimePoint deadline = TimerService::Now() + options_.callTimeout_;
    const auto result = co_await store_.ReadResult(job.value(), deadline);
    if (!result) {
      co_return ToJobError(result.error());
    }
    view["result"] = ParseJson(result.value());
  }
  co_return MakeJsonResponse(200, view);
}

asio::awaitable<Outcome<HttpResponse>> JobApi::Remove(std::string aId,
                                                      std::string aTeam)
{
  const auto job = co_await Find(std::move(aId), std::move(aTeam));
  if (!job) {
    co_return job.error();
  }
  const TimePoint deadline = TimerService::Now() + options_.callTimeout_;
  const auto removed = co_await store_.Remove(job.value(), deadline);
  if (!removed) {
    co_return ToJobError(removed.error());
  }
  json view = json::object();
  view["id"] = job.value().id_;
  view["deleted"] = true;
  co_return MakeJsonResponse(200, view);
}

} // namespace gooseberrylift
