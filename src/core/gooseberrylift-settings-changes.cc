#include <array>

#include "gooseberrylift/gooseberrylift-settings.h"

namespace gooseberrylift {

namespace {

struct RestartField
{
  std::string_view name_;
  bool (*equals_)(const Settings& aLeft, const Settings& aRight);
};

template<auto kMember>
bool Equals(const Settings& aLeft, const Settings& aRight)
{
  return aLeft.*kMember == aRight.*kMember;
}

template<auto kMember>
bool GatewayEquals(const Settings& aLeft, const Settings& aRight)
{
  const GatewaySettings defaults;
  return aLeft.gateway_.value_or(defaults).*kMember ==
         aRight.gateway_.value_or(defaults).*kMember;
}

// All fields but those of "gateway" and "drain" and the log level, which
// GatewayHost applies while it runs.
constexpr std::array kRestartFields = {
  RestartField{ "host.name", Equals<&Settings::hostName_> },
  RestartField{ "host.zone", Equals<&Settings::zone_> },
  RestartField{ "host.region", Equals<&Settings::region_> },
  RestartField{ "host.memory_mb", Equals<&Settings::memoryBytes_> },
  RestartField{ "caller", Equals<&Settings::caller_> },
  RestartField{ "caller.max_body_bytes", Equals<&Settings::maxBodyBytes_> },
  RestartField{ "caller.max_header_bytes", Equals<&Settings::maxHeaderBytes_> },
  RestartField{ "caller.header_timeout_ms", Equals<&Settings::headerTimeout_> },
  RestartField{ "caller.body_timeout_ms", Equals<&Settings::bodyTimeout_> },
  RestartField{ "caller.write_timeout_ms", Equals<&Settings::writeTimeout_> },
  RestartField{ "ready", Equals<&Settings::ready_> },
  RestartField{ "admin", Equals<&Settings::admin_> },
  RestartField{ "admin.keys", Equals<&Settings::adminKeys_> },
  RestartField{ "peer", Equals<&Settings::peer_> },
  RestartField{ "peer.keys", Equals<&Settings::peerKeys_> },
  RestartField{ "peer.seeds", Equals<&Settings::peerSeeds_> },
  RestartField{ "store.addresses", Equals<&Settings::storeAddresses_> },
  RestartField{ "host_list.address", Equals<&Settings::hostListAddress_> },
  RestartField{ "host_list.poll_ms", Equals<&Settings::hostListPoll_> },
  RestartField{ "load_poll_ms", Equals<&Settings::loadPoll_> },
  RestartField{ "threads", Equals<&Settings::threads_> },
  RestartField{ "once.max_batch", Equals<&Settings::onceMaxBatch_> },
  RestartField{ "jobs.lease_ms", Equals<&Settings::jobLease_> },
  RestartField{ "gateway.store_relay",
                GatewayEquals<&GatewaySettings::relaysStore_> },
  RestartField{ "gateway.evacuations",
                GatewayEquals<&GatewaySettings::evacuations_> },
};

} // namespace

std::vector<std::string> FindRestartFields(const Settings& aStart,
                                           const Settings& aNew)
{
  std::vector<std::string> fields;
  for (const RestartField& field : kRestartFields) {
    if (!field.equals_(aStart, aNew)) {
      fields.emplace_back(field.name_);
    }
  }
  return fields;
}

} // namespace gooseberrylift
