// Which header fields pass from a caller to an endpoint and back.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_FORWARD_FIELDS_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_FORWARD_FIELDS_H_

#include "gooseberrylift/internal/gooseberrylift-http.h"

namespace gooseberrylift {

/// Gives the fields without those that concern one connection, which a message
/// may name itself in its Connection field.
HttpFields WithoutConnectionFields(const HttpFields& aFields);

/// Gives the fields without those that concern one connection or that this
/// host sets itself.
HttpFields WithoutHostFields(const HttpFields& aFields);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_FORWARD_FIELDS_H_
