#include "gooseberrylift/limits/gooseberrylift-connection-room.h"

#include <algorithm>
#include <tuple>

namespace gooseberrylift {

std::optional<std::size_t> ChooseConnectionToClose(
  const std::vector<WaitingConnection>& aConnections,
  TimePoint aNow)
{
  std::optional<std::size_t> chosen;
  const auto order = [&aConnections](std::size_t aIndex) {
    const WaitingConnection& connection = aConnections[aIndex];
    return std::make_tuple(!connection.isIdle_, connection.since_);
  };
  for (std::size_t index = 0; index < aConnections.size(); ++index) {
    const bool mayClose =
      aNow - aConnections[index].since_ >= kMinConnectionWait;
    if (mayClose && (!chosen || order(index) < order(*chosen))) {
      chosen = index;
    }
  }
  return chosen;
}

} // namespace gooseberrylift
