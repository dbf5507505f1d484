// The process's limit of file descriptors, and what of it callers may use.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_DESCRIPTOR_LIMIT_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_DESCRIPTOR_LIMIT_H_

#include <cstddef>
#include <functional>
#include <optional>

#include <boost/system/error_code.hpp>

#include "gooseberrylift/gooseberrylift-settings.h"
#include "gooseberrylift/internal/gooseberrylift-metrics.h"

namespace gooseberrylift {

/// Raises the soft limit of descriptors to the hard one.
/// @return the limit in force; nothing if there is none, or if the system lets
/// the process neither read nor raise it, which doesn't tell the real one
std::optional<std::size_t> RaiseDescriptorLimit();

/// Bounds the connections that are accepted at all addresses together, so that
/// descriptors are left for endpoints, the store and files.
/// @param aLimit the limit of descriptors, if any
void BoundConnections(Settings& aSettings, std::optional<std::size_t> aLimit);

/// Returns a function that counts connections that a server can't accept and
/// logs them from time to time.
/// @param aMetrics must outlive the function
std::function<void(const boost::system::error_code& aError)>
AcceptErrorRecorder(Metrics& aMetrics);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_DESCRIPTOR_LIMIT_H_
