// HTTP messages as plain data, so that only the server and the client see
// Beast.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_HTTP_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_HTTP_H_

#include <string>
#include <string_view>
#include <vector>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

#include "gooseberrylift/gooseberrylift-result.h"

namespace gooseberrylift {

// A value or an Error, passed by value. LEAF keeps its error objects in the
// thread's own storage, which a coroutine that resumes on another thread
// loses; what crosses a co_await therefore uses Boost.Outcome.
template<typename Value>
using Outcome = boost::outcome_v2::
  basic_result<Value, Error, boost::outcome_v2::policy::terminate>;

struct HttpField
{
  std::string name_;
  std::string value_;
};

using HttpFields = std::vector<HttpField>;

/// Finds a header field, ignoring the case of its name.
/// @return its value; empty when there is none
std::string_view FindField(const HttpFields& aFields, std::string_view aName);

struct HttpRequest
{
  std::string method_ = "GET";
  std::string target_ = "/";
  HttpFields fields_{};
  std::string body_{};

  std::string_view Field(std::string_view aName) const
  {
    return FindField(fields_, aName);
  }

  /// Gives the target without its query.
  std::string_view Path() const;

  /// Finds a parameter of the query, as sent; empty when there is none.
  std::string_view QueryParameter(std::string_view aName) const;
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

/// Says whether an answer belongs to a request: endpoints echo X-Request-Id.
/// An answer without the echo is nobody's, since a late or crossed one, such as
/// a load report's, looks just like it.
bool IsResponseTo(const HttpResponse& aHead, std::string_view aRequestId);

// gcc 12 destroys a temporary aggregate twice when it stands inside a co_await
// expression. Coroutines therefore make messages through these functions or in
// a named variable, never with braces among the arguments.

/// Makes a request without a body.
HttpRequest MakeRequest(std::string aTarget);

/// Makes a request with a JSON body.
HttpRequest MakeRequest(std::string aMethod,
                        std::string aTarget,
                        std::string aBody);

/// Makes a response with a text body.
HttpResponse TextResponse(int aStatus, std::string aBody);

/// Makes a response with a JSON body.
HttpResponse JsonResponse(int aStatus, std::string aBody);

/// Makes the response that carries an error to a caller, with Retry-After in
/// whole seconds, rounded up, when the error says when to come back.
HttpResponse ErrorResponse(const Error& aError, std::string_view aRequestId);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_HTTP_H_
