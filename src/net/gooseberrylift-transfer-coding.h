// The check of how a body is framed that the parser leaves to its user.

#ifndef GOOSEBERRYLIFT_NET_GOOSEBERRYLIFT_TRANSFER_CODING_H_
#define GOOSEBERRYLIFT_NET_GOOSEBERRYLIFT_TRANSFER_CODING_H_

#include <boost/beast/http/fields.hpp>

namespace gooseberrylift {

/// Returns whether the parser reads the body of a message as its sender made
/// it: either no transfer coding is named, or "chunked" alone, once. The parser
/// undoes no other coding. Of a message whose last one isn't "chunked" it reads
/// no body if it is a request, and all up to the close of the connection if it
/// is a response.
bool IsTransferCodingSupported(const boost::beast::http::fields& aFields);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_NET_GOOSEBERRYLIFT_TRANSFER_CODING_H_
