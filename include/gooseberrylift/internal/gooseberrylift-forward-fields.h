// Filters the header fields that a proxy must not forward.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_FORWARD_FIELDS_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_FORWARD_FIELDS_H_

#include "gooseberrylift/internal/gooseberrylift-http.h"

namespace gooseberrylift {

/// Removes hop-by-hop fields, including those that the message lists in its
/// Connection field.
HttpFields WithoutConnectionFields(const HttpFields& aFields);

/// Removes hop-by-hop fields and the fields that this host sets in requests to
/// endpoints.
HttpFields WithoutHostFields(const HttpFields& aFields);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_FORWARD_FIELDS_H_
