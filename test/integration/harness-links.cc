#include "harness-links.h"

#include "harness-callers.h"

#include <CppUTest/TestHarness.h>

namespace gooseberrylift::test {

namespace {

json RulesOf(LinkFault aFault)
{
  switch (aFault) {
    case LinkFault::kHang:
      return { { { "fault", "hang" } },
               { { "fault", "black_hole" }, { "direction", "both" } } };
    case LinkFault::kReset:
    case LinkFault::kRefuseNew:
      return { { { "fault", "refuse" } } };
    case LinkFault::kOneWay:
      return { { { "fault", "black_hole" }, { "direction", "to_client" } } };
  }
  return json::array();
}

// Waits until a host has found its links to a number of services lost.
bool WaitUntilLinksAreLost(Host& aHost, std::size_t aServices)
{
  return WaitUntil(std::chrono::seconds(10), [&aHost, aServices] {
    const json status = aHost.Status();
    return status.is_object() && status.at("links_lost").size() == aServices;
  });
}

} // namespace

void CutLinks(GatewayDeployment& aDeployment,
              LinkFault aFault,
              std::size_t aBegin,
              std::size_t aEnd)
{
  for (std::size_t link = aBegin; link < aEnd; ++link) {
    aDeployment.Link(link).Script(RulesOf(aFault));
  }
  // No link is reset while another one still accepts connections.
  for (std::size_t link = aBegin; link < aEnd; ++link) {
    if (aFault == LinkFault::kReset) {
      aDeployment.Link(link).ResetAll();
    }
  }
}

void CutAllLinks(GatewayDeployment& aDeployment, LinkFault aFault)
{
  CutLinks(aDeployment, aFault, 0, aDeployment.CountLinks());
}

void RestoreLinks(GatewayDeployment& aDeployment)
{
  for (std::size_t link = 0; link < aDeployment.CountLinks(); ++link) {
    aDeployment.Link(link).Script(json::array());
  }
}

GatewayDeployment::Options ThreeHosts(int aLinked)
{
  return { .hosts_ = 3, .engines_ = 6, .boards_ = 3, .linkedHosts_ = aLinked };
}

void CutOff(GatewayDeployment& aDeployment,
            std::size_t aLinked,
            LinkFault aFault)
{
  CutAllLinks(aDeployment, aFault);
  for (std::size_t host = 0; host < aLinked; ++host) {
    (void)Send(aDeployment.At(host).Port(), MakeSafeRequest("find out"));
    (void)Send(aDeployment.At(host).Port(), MakeShortPrompt("find out"));
    CHECK_TRUE(
      WaitUntilLinksAreLost(aDeployment.At(host), aDeployment.CountServices()));
  }
}

} // namespace gooseberrylift::test
