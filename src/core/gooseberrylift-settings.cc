#include "gooseberrylift/gooseberrylift-settings.h"

#include <algorithm>
#include <cstdlib>

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>

#include "gooseberrylift/gooseberrylift-json-spelling.h"
#include "gooseberrylift/gooseberrylift-json-text.h"
#include "gooseberrylift/gooseberrylift-schema.h"

namespace gooseberrylift {

namespace leaf = boost::leaf;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view kSchema = R"json({
  "type": "object",
  "required": ["host", "caller", "store"],
  "additionalProperties": false,
  "definitions": {
    "endpoint": { "type": "string",
                  "pattern": "^([0-9.]+|\\[[0-9a-fA-F:]+\\]):[0-9]+$" },
    "ms": { "type": "integer", "minimum": 1, "maximum": 86400000 }
  },
  "properties": {
    "host": {
      "type": "object", "required": ["name", "zone"],
      "additionalProperties": false,
      "properties": {
        "name": { "type": "string", "minLength": 1, "maxLength": 128 },
        "zone": { "type": "string", "minLength": 1, "maxLength": 128 },
        "region": { "type": "string", "maxLength": 128 },
        "memory_mb": { "type": "integer", "minimum": 16,
                       "maximum": 16777216 }
      } },
    "caller": {
      "type": "object", "additionalProperties": false,
      "anyOf": [ { "required": ["port"] }, { "required": ["listen"] } ],
      "properties": {
        "listen": { "$ref": "#/definitions/endpoint" },
        "address": { "type": "string" },
        "port": { "type": "integer", "minimum": 0, "maximum": 65535 },
        "max_body_bytes": { "type": "integer", "minimum": 1024,
                            "maximum": 268435456 },
        "max_header_bytes": { "type": "integer", "minimum": 1024,
                              "maximum": 1048576 },
        "header_timeout_ms": { "$ref": "#/definitions/ms" },
        "body_timeout_ms": { "$ref": "#/definitions/ms" },
        "write_timeout_ms": { "$ref": "#/definitions/ms" },
        "max_connections": { "type": "integer", "minimum": 1,
                             "maximum": 1000000 }
      } },
    "ready": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "listen": { "$ref": "#/definitions/endpoint" },
        "address": { "type": "string" },
        "port": { "type": "integer", "minimum": 0, "maximum": 65535 }
      } },
    "gateway": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "strict_revocation": { "type": "boolean" },
        "revoke_ms": { "$ref": "#/definitions/ms" },
        "retry_ratio": { "type": "number", "minimum": 0, "maximum": 10 },
        "retry_window_ms": { "$ref": "#/definitions/ms" },
        "retry_allowance": { "type": "number", "minimum": 0 },
        "hold_max_ms": { "$ref": "#/definitions/ms" },
        "store_relay": { "type": "boolean" },
        "evacuations": { "type": "boolean" },
        "cold_overshoot": { "type": "number", "minimum": 0 },
        "cold_slack": { "type": "number", "minimum": 0 },
        "zone_regions": { "type": "object",
                          "additionalProperties": { "type": "string" } }
      } },
    "admin": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "listen": { "$ref": "#/definitions/endpoint" },
        "address": { "type": "string" },
        "port": { "type": "integer", "minimum": 0, "maximum": 65535 },
        "keys": { "type": "array",
                  "items": { "type": "string", "minLength": 16 } }
      } },
    "peer": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "listen": { "$ref": "#/definitions/endpoint" },
        "address": { "type": "string" },
        "port": { "type": "integer", "minimum": 0, "maximum": 65535 },
        "ports": { "type": "array", "maxItems": 2,
                   "items": { "type": "integer",
                              "minimum": 1, "maximum": 65535 } },
        "seeds": { "type": "array",
                   "items": { "$ref": "#/definitions/endpoint" } },
        "keys": { "type": "array",
                  "items": { "type": "string", "minLength": 16 } }
      } },
    "store": {
      "type": "object", "required": ["addresses"],
      "additionalProperties": false,
      "properties": {
        "addresses": { "type": "array", "minItems": 1,
                       "items": { "$ref": "#/definitions/endpoint" } }
      } },
    "host_list": {
      "type": "object", "required": ["address"],
      "additionalProperties": false,
      "properties": {
        "address": { "$ref": "#/definitions/endpoint" },
        "poll_ms": { "$ref": "#/definitions/ms" }
      } },
    "load_poll_ms": { "$ref": "#/definitions/ms" },
    "threads": { "type": "integer", "minimum": 1, "maximum": 256 },
    "drain": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "lag_ms": { "$ref": "#/definitions/ms" },
        "limit_ms": { "$ref": "#/definitions/ms" },
        "grace_ms": { "type": "integer", "minimum": 0, "maximum": 86400000 }
      } },
    "once": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "max_batch": { "type": "integer", "minimum": 1, "maximum": 4096 }
      } },
    "jobs": {
      "type": "object", "additionalProperties": false,
      "properties": { "lease_ms": { "$ref": "#/definitions/ms" } } },
    "log": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "level": { "enum": ["debug", "info", "warning", "error"] }
      } }
  }
})json";

// What a host needs after its drain limit: it sends the final answers and ends
// its tasks (FinishStop).
constexpr milliseconds kStopReserve{ 800 };
// The rest of a grace period is split between the lag and the limit. Load
// balancers notice within the lag that a host is not ready.
constexpr int kLagParts = 5;
constexpr int kLimitParts = 7;
// Callers count on the end of a request that they send up to 3 s after the
// signal; one that is sent later must not be cut. A host whose share of the
// processor is a quota may handle the signal a tenth of a second late.
constexpr milliseconds kMaxDerivedLag{ 2'800 };

constexpr std::uint64_t kBytesPerMb = 1024 * 1024;

leaf::error_id InvalidSettings(std::string aText)
{
  return leaf::new_error(
    Error{ .code_ = ResultCode::kSettingsInvalid, .text_ = std::move(aText) });
}

bool IsLoopback(const std::string& aAddress)
{
  return aAddress.starts_with("127.") || aAddress == "::1";
}

// Parses a listener section. Stores its "keys" in aKeys if that is not null.
ListenSettings ParseListener(const json& aSection,
                             std::vector<std::string>* aKeys = nullptr)
{
  if (aKeys != nullptr) {
    *aKeys = aSection.value("keys", std::vector<std::string>{});
  }
  ListenSettings listen{ .address_ = aSection.value("address", "127.0.0.1"),
                         .port_ = aSection.value("port", std::uint16_t{ 0 }) };
  const std::string combined = aSection.value("listen", "");
  if (!combined.empty()) {
    const std::size_t colon = combined.rfind(':'); // required by the schema
    listen.address_ = combined.substr(0, colon);
    listen.port_ =
      static_cast<std::uint16_t>(std::atoi(combined.c_str() + colon + 1));
  }
  return listen;
}

// Parses the port between hosts, which may be one of a range.
ListenSettings ParsePeerListener(const json& aSection,
                                 std::vector<std::string>& aKeys)
{
  ListenSettings listen = ParseListener(aSection, &aKeys);
  const auto ports =
    aSection.value("ports", std::vector<std::uint16_t>{}); // at most two
  if (!ports.empty()) {
    listen.port_ = ports.front();
    listen.lastPort_ = ports.back();
  }
  return listen;
}

milliseconds ParseMilliseconds(const json& aSection,
                               const char* aName,
                               milliseconds aDefault)
{
  return milliseconds(
    aSection.value(aName, static_cast<std::int64_t>(aDefault.count())));
}

void ParseCaller(const json& aSection, Settings& aSettings)
{
  aSettings.caller_ = ParseListener(aSection);
  aSettings.maxBodyBytes_ =
    aSection.value("max_body_bytes", aSettings.maxBodyBytes_);
  aSettings.maxHeaderBytes_ =
    aSection.value("max_header_bytes", aSettings.maxHeaderBytes_);
  aSettings.headerTimeout_ =
    ParseMilliseconds(aSection, "header_timeout_ms", aSettings.headerTimeout_);
  aSettings.bodyTimeout_ =
    ParseMilliseconds(aSection, "body_timeout_ms", aSettings.bodyTimeout_);
  aSettings.writeTimeout_ =
    ParseMilliseconds(aSection, "write_timeout_ms", aSettings.writeTimeout_);
}

// Sets the times of a planned stop. If they aren't given, they are derived from
// the time after which the process is killed.
void ParseDrain(const json& aSection, Settings& aSettings)
{
  std::optional<milliseconds> usable;
  if (aSection.contains("grace_ms")) {
    const milliseconds grace(aSection.at("grace_ms").get<std::int64_t>());
    usable = grace - std::min(kStopReserve, grace / 2);
    aSettings.drainLag_ =
      std::min(kMaxDerivedLag, *usable * kLagParts / (kLagParts + kLimitParts));
  }
  aSettings.drainLag_ =
    ParseMilliseconds(aSection, "lag_ms", aSettings.drainLag_);
  if (usable) {
    aSettings.drainLimit_ =
      std::max(*usable - aSettings.drainLag_, milliseconds(0));
  }
  aSettings.drainLimit_ =
    ParseMilliseconds(aSection, "limit_ms", aSettings.drainLimit_);
}

GatewaySettings ParseGateway(const json& aSection)
{
  GatewaySettings gateway;
  gateway.strictRevocation_ =
    aSection.value("strict_revocation", gateway.strictRevocation_);
  gateway.revokeWithin_ =
    ParseMilliseconds(aSection, "revoke_ms", gateway.revokeWithin_);
  gateway.retryRatio_ = aSection.value("retry_ratio", gateway.retryRatio_);
  gateway.retryWindow_ =
    ParseMilliseconds(aSection, "retry_window_ms", gateway.retryWindow_);
  gateway.retryAllowance_ =
    aSection.value("retry_allowance", gateway.retryAllowance_);
  gateway.maxHold_ =
    ParseMilliseconds(aSection, "hold_max_ms", gateway.maxHold_);
  gateway.relaysStore_ = aSection.value("store_relay", gateway.relaysStore_);
  gateway.evacuations_ = aSection.value("evacuations", gateway.evacuations_);
  if (aSection.contains("cold_overshoot")) {
    gateway.coldOvershoot_ = aSection.at("cold_overshoot").get<double>();
  }
  if (aSection.contains("cold_slack")) {
    gateway.coldSlack_ = aSection.at("cold_slack").get<double>();
  }
  gateway.zoneRegions_ = aSection.value("zone_regions", gateway.zoneRegions_);
  return gateway;
}

Settings ParseDocument(const json& aDocument)
{
  const json empty = json::object();
  const auto section = [&](const char* aName) -> const json& {
    return aDocument.contains(aName) ? aDocument.at(aName) : empty;
  };
  Settings settings;
  settings.hostName_ = section("host").at("name");
  settings.zone_ = section("host").at("zone");
  settings.region_ = section("host").value("region", "");
  if (section("host").contains("memory_mb")) {
    settings.memoryBytes_ =
      section("host").at("memory_mb").get<std::uint64_t>() * kBytesPerMb;
  }
  ParseCaller(section("caller"), settings);
  settings.caller_.maxConnections_ = section("caller").value(
    "max_connections", settings.caller_.maxConnections_);
  settings.admin_ = ParseListener(section("admin"), &settings.adminKeys_);
  settings.ready_ = ParseListener(section("ready"));
  if (aDocument.contains("gateway")) {
    settings.gateway_ = ParseGateway(aDocument.at("gateway"));
    settings.gateway_->zoneRegions_.try_emplace(settings.zone_,
                                                settings.region_);
  }
  settings.peer_ = ParsePeerListener(section("peer"), settings.peerKeys_);
  settings.peerSeeds_ =
    section("peer").value("seeds", std::vector<std::string>{});
  settings.storeAddresses_ = section("store").at("addresses");
  settings.hostListAddress_ = section("host_list").value("address", "");
  settings.hostListPoll_ =
    ParseMilliseconds(section("host_list"), "poll_ms", settings.hostListPoll_);
  settings.loadPoll_ =
    ParseMilliseconds(aDocument, "load_poll_ms", settings.loadPoll_);
  settings.threads_ = aDocument.value("threads", settings.threads_);
  ParseDrain(section("drain"), settings);
  settings.onceMaxBatch_ =
    section("once").value("max_batch", settings.onceMaxBatch_);
  settings.jobLease_ =
    ParseMilliseconds(section("jobs"), "lease_ms", settings.jobLease_);
  settings.logLevel_ = section("log").value("level", settings.logLevel_);
  return settings;
}

} // namespace

std::string_view Settings::Schema()
{
  return kSchema;
}

leaf::result<Settings> Settings::Parse(std::string_view aText)
{
  json document = ParseJson(aText);
  if (document.is_discarded()) {
    return InvalidSettings("<root>: not valid JSON");
  }
  NormalizeSpelling(document, kSchema);
  if (const auto violation = FindSchemaViolation(document, kSchema)) {
    return InvalidSettings(*violation);
  }
  Settings settings = ParseDocument(document);
  if (settings.peer_.lastPort_ != 0 &&
      settings.peer_.lastPort_ < settings.peer_.port_) {
    return InvalidSettings("<root>[peer][ports]: the last port is below the "
                           "first one");
  }
  if (!settings.gateway_ && settings.hostListAddress_.empty()) {
    return InvalidSettings("<root>: missing required property 'host_list'");
  }
  if (settings.gateway_) {
    return settings; // gateways get their keys from the store
  }
  // Without keys, anyone who can reach the admin or peer port could drain hosts
  // or send them forged state.
  if (!IsLoopback(settings.admin_.address_) && settings.adminKeys_.empty()) {
    return InvalidSettings(
      "<root>[admin]: keys are required on a non-loopback address");
  }
  if (!IsLoopback(settings.peer_.address_) && settings.peerKeys_.empty()) {
    return InvalidSettings(
      "<root>[peer]: keys are required on a non-loopback address");
  }
  return settings;
}

} // namespace gooseberrylift
