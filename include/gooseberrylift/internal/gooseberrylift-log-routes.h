// Reads and changes the log levels through the admin port.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LOG_ROUTES_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LOG_ROUTES_H_

#include "gooseberrylift/internal/gooseberrylift-admin-api.h"

namespace gooseberrylift {

/// Adds GET /log, which gives the level of each component, and
/// POST /log?component=NAME&level=NAME, which sets one until the next restart.
void AddLogRoutes(AdminApi& aAdminApi);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LOG_ROUTES_H_
