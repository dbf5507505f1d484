#include "gooseberrylift/internal/gooseberrylift-http.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>

#include "gooseberrylift/internal/gooseberrylift-uri.h"

namespace gooseberrylift {

namespace {

// Longer backoffs are shortened to this, so that times don't overflow.
constexpr std::chrono::duration<double> kMaxBackoff = std::chrono::hours(24);

} // namespace

bool IsNamed(const HttpField& aField, std::string_view aName)
{
  return std::equal(aField.name_.begin(),
                    aField.name_.end(),
                    aName.begin(),
                    aName.end(),
                    [](unsigned char aOne, unsigned char aTwo) {
                      return std::tolower(aOne) == std::tolower(aTwo);
                    });
}

std::string_view FindField(const HttpFields& aFields, std::string_view aName)
{
  for (const HttpField& field : aFields) {
    if (IsNamed(field, aName)) {
      return field.value_;
    }
  }
  return {};
}

std::string_view HttpRequest::Path() const
{
  const std::string_view target = target_;
  return target.substr(0, target.find('?'));
}

std::string HttpRequest::QueryParameter(std::string_view aName) const
{
  std::string_view query = target_;
  const std::size_t queryStart = query.find('?');
  query =
    queryStart == std::string_view::npos ? "" : query.substr(queryStart + 1);
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == aName) {
      const std::string_view value =
        equals == std::string_view::npos ? "" : pair.substr(equals + 1);
      return DecodeUriComponent(value).value_or(std::string(value));
    }
  }
  return {};
}

bool IsValidStatus(int aStatus)
{
  return aStatus >= 100 && aStatus <= 599;
}

bool IsFinalStatus(int aStatus)
{
  return IsValidStatus(aStatus) && aStatus >= 200;
}

std::optional<double> ParseDecimal(std::string_view aText)
{
  double number = 0;
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), number);
  const bool complete =
    error == std::errc{} && end == aText.data() + aText.size();
  if (!complete || !std::isfinite(number) || number < 0) {
    return std::nullopt;
  }
  return number;
}

RequestedBackoff ParseBackoff(const HttpResponse& aHead)
{
  RequestedBackoff backoff;
  if (aHead.status_ != 503 && aHead.status_ != 429) {
    return backoff;
  }
  for (const HttpField& field : aHead.fields_) {
    if (!IsNamed(field, "Retry-After") || field.value_.empty()) {
      continue;
    }
    const auto seconds = ParseDecimal(field.value_);
    if (!seconds) {
      if (backoff.kind_ == RequestedBackoff::Kind::kNone) {
        backoff.kind_ = RequestedBackoff::Kind::kMalformed;
      }
    } else if (*seconds > 0) {
      const auto duration = std::chrono::ceil<std::chrono::milliseconds>(
        std::min(std::chrono::duration<double>(*seconds), kMaxBackoff));
      backoff.kind_ = RequestedBackoff::Kind::kSpecified;
      backoff.duration_ = std::max(backoff.duration_, duration);
    }
  }
  return backoff;
}

std::optional<std::chrono::milliseconds> RequestedRetryDelay(
  const HttpResponse& aHead)
{
  const RequestedBackoff backoff = ParseBackoff(aHead);
  return backoff.kind_ == RequestedBackoff::Kind::kSpecified
           ? std::optional(backoff.duration_)
           : std::nullopt;
}

bool IsResponseTo(const HttpResponse& aHead, std::string_view aRequestId)
{
  return aHead.Field("X-Request-Id") == aRequestId;
}

HttpRequest MakeRequest(std::string aTarget)
{
  return { .target_ = std::move(aTarget) };
}

HttpRequest MakeRequest(std::string aMethod,
                        std::string aTarget,
                        std::string aBody)
{
  return { .method_ = std::move(aMethod),
           .target_ = std::move(aTarget),
           .fields_ = { { "Content-Type", "application/json" } },
           .body_ = std::move(aBody) };
}

HttpResponse TextResponse(int aStatus, std::string aBody)
{
  return { .status_ = aStatus, .body_ = std::move(aBody) };
}

HttpResponse JsonResponse(int aStatus, std::string aBody)
{
  return HttpResponse{ .status_ = aStatus,
                       .fields_ = { { "Content-Type", "application/json" } },
                       .body_ = std::move(aBody) };
}

HttpResponse ErrorResponse(const Error& aError, std::string_view aRequestId)
{
  HttpResponse response = JsonResponse(InfoOf(aError.code_).httpStatus_,
                                       ErrorBody(aError, aRequestId));
  if (aError.retryAfter_) {
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(*aError.retryAfter_);
    response.fields_.push_back(
      { "Retry-After", std::to_string(seconds.count()) });
  }
  return response;
}

} // namespace gooseberrylift
