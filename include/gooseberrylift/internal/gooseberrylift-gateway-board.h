// The state that the components of a gateway host share.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_GATEWAY_BOARD_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_GATEWAY_BOARD_H_

#include "gooseberrylift/gooseberrylift-settings.h"
#include "gooseberrylift/internal/gooseberrylift-blackboard.h"
#include "gooseberrylift/routing/gooseberrylift-route-table.h"

namespace gooseberrylift {

// Written by RouteFollower.
struct RoutesState
{
  RouteTable::Ptr table_; // null until the first table arrives
};

// Written by GatewayHost at startup and whenever the settings change.
struct GatewaySettingsState
{
  GatewaySettings gatewaySettings_;
};

struct GatewayBoard
{
  BlackboardSection<RoutesState> routes_;
  BlackboardSection<HostState> host_; // written by GatewayHost
  BlackboardSection<GatewaySettingsState> gatewaySettings_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_GATEWAY_BOARD_H_
