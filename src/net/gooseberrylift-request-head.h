// Checks of the head of a request before it is sent.

#ifndef GOOSEBERRYLIFT_NET_GOOSEBERRYLIFT_REQUEST_HEAD_H_
#define GOOSEBERRYLIFT_NET_GOOSEBERRYLIFT_REQUEST_HEAD_H_

#include <optional>

#include "gooseberrylift/gooseberrylift-result.h"
#include "gooseberrylift/internal/gooseberrylift-http.h"

namespace gooseberrylift {

/// Checks that the server will read the method, the target and the fields of a
/// request as they are, rather than further fields or another request. Parts of
/// them come from documents of other writers.
/// @return kInternal if they have characters that end the line or the part of
/// it (RFC 9112, sections 3 and 5); nothing if the request may be sent
std::optional<Error> CheckRequestHead(const HttpRequest& aRequest);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_NET_GOOSEBERRYLIFT_REQUEST_HEAD_H_
