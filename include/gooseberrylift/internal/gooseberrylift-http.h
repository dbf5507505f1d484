// HTTP messages as plain structs, so that only the server and the client depend
// on Boost.Beast.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_HTTP_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_HTTP_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

#include "gooseberrylift/gooseberrylift-endpoint.h"
#include "gooseberrylift/gooseberrylift-result.h"

namespace gooseberrylift {

// A value or an Error. Coroutines return Boost.Outcome results because
// Boost.LEAF stores error objects in thread-local storage, where a coroutine
// that resumes on another thread would not find them.
template<typename Value>
using Outcome = boost::outcome_v2::
  basic_result<Value, Error, boost::outcome_v2::policy::terminate>;

struct HttpField
{
  std::string name_;
  std::string value_;
};

using HttpFields = std::vector<HttpField>;

/// Returns whether a header field has this case-insensitive name.
bool IsNamed(const HttpField& aField, std::string_view aName);

/// Finds a header field by its case-insensitive name.
/// @return the value of the first such field, or an empty string
std::string_view FindField(const HttpFields& aFields, std::string_view aName);

// The body of a request, which can't be changed. Copies of the request, for
// attempts at several endpoints or other hosts, share it.
class HttpBody
{
public:
  HttpBody() = default;

  // Implicit, as for a text.
  HttpBody(std::string aText)
    : text_(aText.empty()
              ? nullptr
              : std::make_shared<const std::string>(std::move(aText)))
  {
  }
  HttpBody(const char* aText)
    : HttpBody(std::string(aText))
  {
  }

  /// Takes a body that its owner frees together with what accounts for it.
  explicit HttpBody(std::shared_ptr<const std::string> aText)
    : text_(std::move(aText))
  {
  }

  const std::string& Text() const
  {
    static const std::string kEmpty;
    return text_ ? *text_ : kEmpty;
  }
  operator const std::string&() const { return Text(); }

private:
  std::shared_ptr<const std::string> text_;
};

struct HttpRequest
{
  std::string method_ = "GET";
  std::string target_ = "/";
  HttpFields fields_{};
  HttpBody body_{};

  std::string_view Field(std::string_view aName) const
  {
    return FindField(fields_, aName);
  }

  /// Returns the target without its query.
  std::string_view Path() const;

  /// Returns the decoded value of a query parameter, or an empty string. A
  /// value whose percent-encoding is malformed is returned as it is.
  std::string QueryParameter(std::string_view aName) const;
};

struct HttpResponse
{
  int status_ = 200;
  HttpFields fields_{};
  std::string body_{};

  std::string_view Field(std::string_view aName) const
  {
    return FindField(fields_, aName);
  }
};

/// Returns whether a status is one that HTTP defines: 100 to 599 (RFC 9110,
/// section 15).
bool IsValidStatus(int aStatus);

/// Returns whether a status is that of a final response, rather than of an
/// informational one, which precedes it and has no body (RFC 9110, 15.2).
bool IsFinalStatus(int aStatus);

/// Parses a field value as a decimal number.
/// @return nothing if it is not a finite number of zero or more
std::optional<double> ParseDecimal(std::string_view aText);

/// Parses for how long the server that rejected a request with status 429 or
/// 503 asks this host to send it nothing. In other responses Retry-After is
/// meant for the caller. Of several values the longest applies, up to a day;
/// HTTP dates are not supported.
RequestedBackoff ParseBackoff(const HttpResponse& aHead);

/// Returns the backoff that a response asks for; nothing if it asks for none or
/// if it is malformed.
std::optional<std::chrono::milliseconds> RequestedRetryDelay(
  const HttpResponse& aHead);

/// Returns whether a response belongs to a request, whose X-Request-Id
/// endpoints echo. A response without it is rejected, because a late response
/// or one to another request, such as a load report, can't be told apart from
/// it.
bool IsResponseTo(const HttpResponse& aHead, std::string_view aRequestId);

// GCC 12 destroys a temporary aggregate in a co_await expression twice.
// Coroutines must therefore create messages with these functions or in a named
// variable, not with a braced initializer in an argument list.

/// Creates a GET request.
HttpRequest MakeRequest(std::string aTarget);

/// Creates a request with a JSON body.
HttpRequest MakeRequest(std::string aMethod,
                        std::string aTarget,
                        std::string aBody);

/// Creates a response with a text body.
HttpResponse TextResponse(int aStatus, std::string aBody);

/// Creates a response with a JSON body.
HttpResponse JsonResponse(int aStatus, std::string aBody);

/// Creates the response for an error. Sets Retry-After to whole seconds,
/// rounded up, if the error has a retry delay.
HttpResponse ErrorResponse(const Error& aError, std::string_view aRequestId);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_HTTP_H_
