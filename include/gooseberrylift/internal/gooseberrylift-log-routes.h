// Admin routes that read and change the log levels.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LOG_ROUTES_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LOG_ROUTES_H_

#include "gooseberrylift/internal/gooseberrylift-admin-api.h"

namespace gooseberrylift {

/// Adds GET /log, which returns the level of each component, and
/// POST /log?component=NAME&level=NAME, which sets the level of a component, or
/// of "all" of them, until the next restart.
void AddLogRoutes(AdminApi& aAdminApi);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LOG_ROUTES_H_
