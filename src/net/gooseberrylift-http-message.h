// Conversions between Beast's HTTP messages and those of this project.

#ifndef GOOSEBERRYLIFT_NET_GOOSEBERRYLIFT_HTTP_MESSAGE_H_
#define GOOSEBERRYLIFT_NET_GOOSEBERRYLIFT_HTTP_MESSAGE_H_

#include <optional>

#include <boost/beast/http.hpp>

#include "gooseberrylift/internal/gooseberrylift-http.h"

namespace gooseberrylift {

/// Returns the error that a caller gets for a request that can't be read;
/// nothing if the caller has left.
/// @param aTimedOut whether the caller was too slow
/// @param aStopping whether the host has no more time for requests
std::optional<Error> MakeReadError(const boost::system::error_code& aCode,
                                   bool aTimedOut,
                                   bool aStopping);

/// Converts the head of a request.
HttpRequest ToHttpRequest(const boost::beast::http::request_header<>& aHead);

/// Copies the status and the header fields of a response.
template<typename Body>
void CopyHead(boost::beast::http::response<Body>& aMessage,
              const HttpResponse& aResponse)
{
  aMessage.result(static_cast<unsigned>(aResponse.status_));
  for (const HttpField& field : aResponse.fields_) {
    aMessage.insert(field.name_, field.value_);
  }
}

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_NET_GOOSEBERRYLIFT_HTTP_MESSAGE_H_
