// What the parts of a host that serves routes know and share.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_GATEWAY_BOARD_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_GATEWAY_BOARD_H_

#include "gooseberrylift/gooseberrylift-settings.h"
#include "gooseberrylift/internal/gooseberrylift-blackboard.h"
#include "gooseberrylift/routing/gooseberrylift-route-table.h"

namespace gooseberrylift {

// Written by RouteFollower.
struct RoutesState
{
  RouteTable::Ptr table_; // null until the first one arrived
};

// Written by GatewayHost at the start and with each change of the settings.
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
