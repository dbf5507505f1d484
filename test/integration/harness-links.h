// Faults of the links between hosts and endpoints.

#ifndef GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_LINKS_H_
#define GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_LINKS_H_

#include "harness-gateway.h"

namespace gooseberrylift::test {

// What happens to a link between the linked hosts and an endpoint.
enum class LinkFault
{
  kHang,      // old connections fall silent, new ones hang
  kReset,     // all connections are reset
  kRefuseNew, // old connections live on, new ones are refused
  kOneWay,    // requests arrive, responses are lost
};

/// Cuts the links with the indexes aBegin to aEnd - 1.
void CutLinks(GatewayDeployment& aDeployment,
              LinkFault aFault,
              std::size_t aBegin,
              std::size_t aEnd);

/// Cuts all links.
void CutAllLinks(GatewayDeployment& aDeployment, LinkFault aFault);

/// Ends all faults.
void RestoreLinks(GatewayDeployment& aDeployment);

/// Returns options of three hosts, of which the first ones are linked.
GatewayDeployment::Options ThreeHosts(int aLinked);

/// Cuts all links and checks that each linked host finds that those to all
/// services are lost.
void CutOff(GatewayDeployment& aDeployment,
            std::size_t aLinked,
            LinkFault aFault = LinkFault::kReset);

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_LINKS_H_
