#include "gooseberrylift/gooseberrylift-config.h"

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>

#include "gooseberrylift/gooseberrylift-json-text.h"
#include "gooseberrylift/gooseberrylift-placement-strategy.h"
#include "gooseberrylift/gooseberrylift-schema.h"

namespace gooseberrylift {

namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

constexpr std::string_view kSchema = R"json({
  "type": "object",
  "required": ["teams", "pools", "services"],
  "additionalProperties": false,
  "definitions": {
    "ms": { "type": "integer", "minimum": 1, "maximum": 86400000 },
    "share": { "type": "number", "minimum": 0.5, "maximum": 0.99999 }
  },
  "properties": {
    "teams": { "type": "array", "items": {
      "type": "object", "required": ["name", "keys"],
      "additionalProperties": false,
      "properties": {
        "name": { "type": "string", "minLength": 1, "maxLength": 128 },
        "keys": { "type": "array", "minItems": 1,
                  "items": { "type": "string", "minLength": 8 } },
        "weight": { "type": "number", "minimum": 0.01, "maximum": 1000 },
        "tokens_per_second": { "type": "number", "minimum": 0 }
      } } },
    "pools": { "type": "array", "items": {
      "type": "object", "required": ["name"],
      "additionalProperties": false,
      "properties": {
        "name": { "type": "string", "minLength": 1, "maxLength": 128 },
        "fencing": { "enum": ["enforced", "ignored"] },
        "placement": { "type": "string" },
        "max_concurrency": { "type": "integer", "minimum": 1,
                             "maximum": 100000 }
      } } },
    "services": { "type": "array", "items": {
      "type": "object", "required": ["name", "kind", "pool"],
      "additionalProperties": false,
      "properties": {
        "name": { "type": "string", "minLength": 1, "maxLength": 128 },
        "kind": { "enum": ["model", "plain"] },
        "model": { "type": "string", "minLength": 1 },
        "pool": { "type": "string" },
        "class": { "enum": ["urgent", "normal", "batch"] },
        "deadline_ms": { "type": "integer", "minimum": 10,
                         "maximum": 86400000 },
        "repeatable_methods": { "type": "array",
                                "items": { "type": "string" } },
        "depends_on": { "type": "array", "items": { "type": "string" } },
        "objective": {
          "type": "object", "additionalProperties": false,
          "properties": {
            "first_token_ms": {
              "type": "object", "additionalProperties": false,
              "properties": {
                "le4k": { "$ref": "#/definitions/ms" },
                "le10k": { "$ref": "#/definitions/ms" },
                "le100k": { "$ref": "#/definitions/ms" },
                "le1M": { "$ref": "#/definitions/ms" },
                "over1M": { "$ref": "#/definitions/ms" }
              } },
            "first_token_share": { "$ref": "#/definitions/share" },
            "success_share": { "$ref": "#/definitions/share" }
          } }
      } } }
  }
})json";

ServiceClass ServiceClassFromName(const std::string& aName)
{
  if (aName == "urgent") {
    return ServiceClass::kUrgent;
  }
  return aName == "batch" ? ServiceClass::kBatch : ServiceClass::kNormal;
}

ServiceObjective ParseObjective(const json& aItem)
{
  ServiceObjective objective;
  objective.firstTokenShare_ =
    aItem.value("first_token_share", objective.firstTokenShare_);
  objective.successShare_ =
    aItem.value("success_share", objective.successShare_);
  const json bounds = aItem.value("first_token_ms", json::object());
  for (std::size_t band = 0; band < kPromptBands.size(); ++band) {
    const auto bound = bounds.find(kPromptBands.at(band).name_);
    if (bound != bounds.end()) {
      objective.firstToken_.at(band) =
        std::chrono::milliseconds(bound->get<std::int64_t>());
    }
  }
  return objective;
}

leaf::error_id InvalidConfiguration(std::string aText)
{
  return leaf::new_error(Error{ .code_ = ResultCode::kConfigurationInvalid,
                                .text_ = std::move(aText) });
}

} // namespace

// Builds a Configuration from JSON that conforms to the schema, and validates
// what the schema can't express: unique names, resolvable references and
// acyclic dependencies.
class ConfigurationParser
{
public:
  explicit ConfigurationParser(Configuration& aTarget)
    : target_(aTarget)
  {
  }

  leaf::result<void> Load(const json& aDocument)
  {
    BOOST_LEAF_CHECK(AddTeams(aDocument.at("teams")));
    BOOST_LEAF_CHECK(AddPools(aDocument.at("pools")));
    BOOST_LEAF_CHECK(AddServices(aDocument.at("services")));
    return CheckDependencies();
  }

private:
  leaf::result<void> AddTeams(const json& aTeams)
  {
    for (const json& item : aTeams) {
      TeamConfig team{
        .name_ = item.at("name"),
        .keys_ = item.at("keys"),
        .weight_ = item.value("weight", 1.0),
        .tokensPerSecond_ = item.value("tokens_per_second", 0.0),
      };
      for (const std::string& key : team.keys_) {
        if (!target_.teamOfKey_.emplace(key, team.name_).second) {
          return InvalidConfiguration("teams/" + team.name_ +
                                      "/keys: duplicate key");
        }
      }
      const std::string name = team.name_;
      if (!target_.teams_.emplace(name, std::move(team)).second) {
        return InvalidConfiguration("teams/" + name + ": duplicate name");
      }
    }
    return {};
  }

  leaf::result<void> AddPools(const json& aPools)
  {
    for (const json& item : aPools) {
      PoolConfig pool{
        .name_ = item.at("name"),
        .fencing_ = item.value("fencing", "ignored") == "enforced"
                      ? Fencing::kEnforced
                      : Fencing::kIgnored,
        .placement_ = item.value("placement", "least-work"),
        .maxConcurrency_ = item.value("max_concurrency", 32),
      };
      const std::string name = pool.name_;
      if (FindPlacement(pool.placement_) == nullptr) {
        return InvalidConfiguration("pools/" + name +
                                    "/placement: unknown strategy '" +
                                    pool.placement_ + "'");
      }
      if (!target_.pools_.emplace(name, std::move(pool)).second) {
        return InvalidConfiguration("pools/" + name + ": duplicate name");
      }
    }
    return {};
  }

  leaf::result<void> AddServices(const json& aServices)
  {
    for (const json& item : aServices) {
      BOOST_LEAF_CHECK(AddService(ParseService(item)));
    }
    return {};
  }

  static ServiceConfig ParseService(const json& aItem)
  {
    return ServiceConfig{
      .name_ = aItem.at("name"),
      .kind_ =
        aItem.at("kind") == "model" ? ServiceKind::kModel : ServiceKind::kPlain,
      .model_ = aItem.value("model", ""),
      .pool_ = aItem.at("pool"),
      .class_ = ServiceClassFromName(aItem.value("class", "normal")),
      .deadline_ =
        std::chrono::milliseconds(aItem.value("deadline_ms", 60'000)),
      .repeatableMethods_ = aItem.value("repeatable_methods",
                                        std::set<std::string>{ "GET", "HEAD" }),
      .dependsOn_ = aItem.value("depends_on", std::vector<std::string>{}),
      .objective_ = aItem.contains("objective")
                      ? std::optional(ParseObjective(aItem.at("objective")))
                      : std::nullopt,
    };
  }

  leaf::result<void> AddService(ServiceConfig aService)
  {
    const std::string path = "services/" + aService.name_;
    if (!target_.pools_.contains(aService.pool_)) {
      return InvalidConfiguration(path + "/pool: unknown pool '" +
                                  aService.pool_ + "'");
    }
    if (aService.kind_ == ServiceKind::kModel) {
      if (aService.model_.empty()) {
        return InvalidConfiguration(path +
                                    "/model: a model service requires a model");
      }
      if (!target_.serviceOfModel_.emplace(aService.model_, aService.name_)
             .second) {
        return InvalidConfiguration(
          path + "/model: already served by another service");
      }
    }
    const std::string name = aService.name_;
    if (!target_.services_.emplace(name, std::move(aService)).second) {
      return InvalidConfiguration(path + ": duplicate name");
    }
    return {};
  }

  leaf::result<void> CheckDependencies()
  {
    for (const auto& [name, service] : target_.services_) {
      std::vector<std::string> path{ name };
      BOOST_LEAF_CHECK(VisitDependencies(service, path));
    }
    return {};
  }

  // Depth-first search for dependency cycles. aPath holds the services from the
  // root of the search to aService.
  leaf::result<void> VisitDependencies(const ServiceConfig& aService,
                                       std::vector<std::string>& aPath)
  {
    if (visited_.contains(aService.name_)) {
      return {};
    }
    for (const std::string& next : aService.dependsOn_) {
      const auto found = target_.services_.find(next);
      if (found == target_.services_.end()) {
        return InvalidConfiguration("services/" + aService.name_ +
                                    "/depends_on: unknown service '" + next +
                                    "'");
      }
      if (std::find(aPath.begin(), aPath.end(), next) != aPath.end()) {
        return InvalidConfiguration(
          "services/" + aService.name_ +
          "/depends_on: dependency cycle: " + Join(aPath) + " > " + next);
      }
      aPath.push_back(next);
      BOOST_LEAF_CHECK(VisitDependencies(found->second, aPath));
      aPath.pop_back();
    }
    visited_.insert(aService.name_);
    return {};
  }

  static std::string Join(const std::vector<std::string>& aPath)
  {
    std::string text;
    for (const std::string& step : aPath) {
      text += text.empty() ? step : " > " + step;
    }
    return text;
  }

  Configuration& target_;
  std::set<std::string> visited_;
};

std::string_view Configuration::Schema()
{
  return kSchema;
}

leaf::result<Configuration::Ptr> Configuration::Parse(std::string_view aText,
                                                      std::uint64_t aGeneration)
{
  const json document = ParseJson(aText);
  if (document.is_discarded()) {
    return InvalidConfiguration("not valid JSON");
  }
  if (const auto violation = FindSchemaViolation(document, kSchema)) {
    return InvalidConfiguration(*violation);
  }
  auto configuration = std::make_shared<Configuration>();
  configuration->generation_ = aGeneration;
  configuration->text_ = aText;
  BOOST_LEAF_CHECK(ConfigurationParser(*configuration).Load(document));
  return Configuration::Ptr(std::move(configuration));
}

const TeamConfig* Configuration::TeamByKey(std::string_view aKey) const
{
  const auto found = teamOfKey_.find(aKey);
  if (found == teamOfKey_.end()) {
    return nullptr;
  }
  return &teams_.find(found->second)->second;
}

const ServiceConfig* Configuration::ServiceByModel(
  std::string_view aModel) const
{
  const auto found = serviceOfModel_.find(aModel);
  return found == serviceOfModel_.end() ? nullptr
                                        : ServiceByName(found->second);
}

const ServiceConfig* Configuration::ServiceByName(std::string_view aName) const
{
  const auto found = services_.find(aName);
  return found == services_.end() ? nullptr : &found->second;
}

const PoolConfig* Configuration::PoolByName(std::string_view aName) const
{
  const auto found = pools_.find(aName);
  return found == pools_.end() ? nullptr : &found->second;
}

} // namespace gooseberrylift
