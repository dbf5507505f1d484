#include "gooseberrylift/internal/gooseberrylift-http.h"

#include <algorithm>
#include <cctype>

namespace gooseberrylift {

namespace {

bool EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](unsigned char aOne, unsigned char aTwo) {
                      return std::tolower(aOne) == std::tolower(aTwo);
                    });
}

} // namespace

std::string_view FindField(const HttpFields& aFields, std::string_view aName)
{
  for (const HttpField& field : aFields) {
    if (EqualsIgnoringCase(field.name_, aName)) {
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

std::string_view HttpRequest::QueryParameter(std::string_view aName) const
{
  std::string_view rest = target_;
  const std::size_t mark = rest.find('?');
  rest = mark == std::string_view::npos ? "" : rest.substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == aName) {
      return equals == std::string_view::npos ? "" : pair.substr(equals + 1);
    }
  }
  return {};
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
