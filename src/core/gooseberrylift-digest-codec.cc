#include "gooseberrylift/gooseberrylift-digest-codec.h"

namespace gooseberrylift {

using nlohmann::json;

namespace {

// The wire encoding of EndpointState. The values must not change, because hosts
// of different versions exchange them.
constexpr int kWireLive = 0;
constexpr int kWireLeaving = 1;
constexpr int kWireDead = 2;

int StateToWire(EndpointState aState)
{
  switch (aState) {
    case EndpointState::kLeaving:
      return kWireLeaving;
    case EndpointState::kDead:
      return kWireDead;
    case EndpointState::kLive:
      break;
  }
  return kWireLive;
}

EndpointState StateFromWire(int aWire)
{
  if (aWire == kWireLeaving) {
    return EndpointState::kLeaving;
  }
  return aWire == kWireDead ? EndpointState::kDead : EndpointState::kLive;
}

std::int64_t MillisecondsOf(std::chrono::system_clock::time_point aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           aTime.time_since_epoch())
    .count();
}

json EndpointsToJson(const std::vector<EndpointDigest>& aEndpoints)
{
  json list = json::array();
  for (const EndpointDigest& endpoint : aEndpoints) {
    list.push_back(
      { endpoint.name_, endpoint.incarnation_, StateToWire(endpoint.state_) });
  }
  return list;
}

json QuarantineToJson(const std::vector<QuarantineEntry>& aEntries)
{
  json list = json::array();
  for (const QuarantineEntry& entry : aEntries) {
    list.push_back({ entry.fingerprint_,
                     entry.version_,
                     entry.released_,
                     MillisecondsOf(entry.until_) });
  }
  return list;
}

EndpointRate RateFromJson(const json& aItem)
{
  const std::chrono::milliseconds born(aItem.at(1).get<std::int64_t>());
  EndpointRate rate{ .endpoint_ = { .id_ = aItem.at(0),
                                    .startTime_ = StartTime(born) },
                     .version_ = aItem.at(2) };
  if (aItem.size() > 3) {
    rate.perSecond_ = aItem.at(3).get<double>();
  }
  return rate;
}

json DemandToJson(const std::vector<TeamDemand>& aDemand)
{
  json list = json::array();
  for (const TeamDemand& demand : aDemand) {
    list.push_back({ demand.team_, demand.tokensPerSecond_ });
  }
  return list;
}

const json& ListOf(const json& aDocument, const char* aName)
{
  static const json kEmpty = json::array();
  const auto found = aDocument.find(aName);
  return found != aDocument.end() && found->is_array() ? *found : kEmpty;
}

void ParseLists(const json& aDocument, Digest& aDigest)
{
  for (const json& item : ListOf(aDocument, "e")) {
    aDigest.endpoints_.push_back({ .name_ = item.at(0),
                                   .incarnation_ = item.at(1),
                                   .state_ = StateFromWire(item.at(2)) });
  }
  for (const json& item : ListOf(aDocument, "q")) {
    const std::chrono::milliseconds until(item.at(3).get<std::int64_t>());
    aDigest.quarantine_.push_back(
      { .fingerprint_ = item.at(0),
        .version_ = item.at(1),
        .released_ = item.at(2),
        .until_ = std::chrono::system_clock::time_point(until) });
  }
  aDigest.rates_ = EndpointRatesFromJson(ListOf(aDocument, "p"));
  for (const json& item : ListOf(aDocument, "d")) {
    aDigest.demand_.push_back(
      { .team_ = item.at(0), .tokensPerSecond_ = item.at(1) });
  }
}

} // namespace

json EndpointRatesToJson(const std::vector<EndpointRate>& aRates)
{
  json list = json::array();
  for (const EndpointRate& rate : aRates) {
    json item = { rate.endpoint_.id_,
                  rate.endpoint_.startTime_.time_since_epoch().count(),
                  rate.version_ };
    if (rate.perSecond_) {
      item.push_back(*rate.perSecond_);
    }
    list.push_back(std::move(item));
  }
  return list;
}

std::vector<EndpointRate> EndpointRatesFromJson(const json& aList)
{
  std::vector<EndpointRate> rates;
  rates.reserve(aList.size());
  for (const json& item : aList) {
    rates.push_back(RateFromJson(item));
  }
  return rates;
}

json DigestToJson(const Digest& aDigest)
{
  json document = { { "h", aDigest.host_ },
                    { "z", aDigest.zone_ },
                    { "a", aDigest.peerAddress_ },
                    { "i", aDigest.incarnation_ },
                    { "s", aDigest.sequence_ },
                    { "g", aDigest.generation_ },
                    { "c", aDigest.configurationHash_ },
                    { "o", aDigest.storeReachable_ } };
  if (!aDigest.region_.empty()) {
    document["r"] = aDigest.region_;
  }
  if (aDigest.draining_) {
    document["l"] = true;
  }
  if (!aDigest.endpoints_.empty()) {
    document["e"] = EndpointsToJson(aDigest.endpoints_);
  }
  if (!aDigest.quarantine_.empty()) {
    document["q"] = QuarantineToJson(aDigest.quarantine_);
  }
  if (!aDigest.rates_.empty()) {
    document["p"] = EndpointRatesToJson(aDigest.rates_);
  }
  if (!aDigest.demand_.empty()) {
    document["d"] = DemandToJson(aDigest.demand_);
  }
  if (aDigest.keysProven_) {
    document["k"] = true;
  }
  if (aDigest.acceptsRelays_) {
    document["w"] = true;
  }
  if (!aDigest.linksLost_.empty()) {
    document["u"] = aDigest.linksLost_;
  }
  if (aDigest.zoneHostCount_ > 0) {
    document["n"] = aDigest.zoneHostCount_;
  }
  return document;
}

Digest DigestFromJson(const json& aDocument)
{
  if (!aDocument.is_object()) {
    return {};
  }
  // A field of the wrong type throws, so that a malformed digest is rejected as
  // a whole instead of being applied in part.
  try {
    Digest digest{
      .host_ = aDocument.value("h", ""),
      .zone_ = aDocument.value("z", ""),
      .region_ = aDocument.value("r", ""),
      .peerAddress_ = aDocument.value("a", ""),
      .incarnation_ = aDocument.value("i", std::uint64_t{ 0 }),
      .sequence_ = aDocument.value("s", std::uint64_t{ 0 }),
      .generation_ = aDocument.value("g", std::uint64_t{ 0 }),
      .configurationHash_ = aDocument.value("c", std::uint64_t{ 0 }),
      .storeReachable_ = aDocument.value("o", false),
      .draining_ = aDocument.value("l", false),
      .keysProven_ = aDocument.value("k", false),
      .acceptsRelays_ = aDocument.value("w", false),
      .linksLost_ = aDocument.value("u", std::vector<std::string>{}),
      .zoneHostCount_ = aDocument.value("n", std::size_t{ 0 }),
    };
    ParseLists(aDocument, digest);
    return digest;
  } catch (const json::exception&) {
    return {};
  }
}

} // namespace gooseberrylift
