// Tests of deploy/settings.template.json: it renders valid settings for every
// spelling of a field, and for fields that are missing or empty.

#include "harness-template.h"

#include "gooseberrylift/gooseberrylift-settings.h"

#include <fstream>
#include <iterator>
#include <vector>

#include <boost/leaf/handle_errors.hpp>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using nlohmann::json;

namespace {

json AllFields()
{
  return json::parse(R"({
    "nodeName": "edge-1", "zone": "vantaa-a", "region": "uusimaa",
    "ip": "10.1.0.40",
    "zones": { "vantaa-a": "uusimaa", "espoo-b": "uusimaa" },
    "listen": { "frontend": "10.1.0.40:8227", "readyAddr": "10.1.0.40:8220",
                "control": "10.1.0.40:8229" },
    "portRange": [ 7340, 7355 ],
    "seeds": [ "10.1.0.40:8229", "10.2.0.29:8229" ],
    "platform": { "address": "10.200.1.7:8223" },
    "bounds": { "graceS": 8, "strictRevocation": false, "revokeMs": 4000,
                "retryBudgetRatio": 0.1, "budgetWindowS": 6,
                "retryAllowance": 50, "holdMaxMs": 10000,
                "coldOvershoot": 1.5, "coldSlack": 3, "evacuateMs": 2000 },
    "added": { "later": [ "x" ] }
  })");
}

// Returns the settings that the fields render; fails if they are invalid.
Settings Render(const json& aFields, bool aHasEmpty = true)
{
  std::ifstream file(SOURCE_ROOT "/deploy/settings.template.json");
  const std::string text(std::istreambuf_iterator<char>(file), {});
  const std::string rendered = RenderTemplate(text, aFields, aHasEmpty);
  return boost::leaf::try_handle_all(
    [&] { return Settings::Parse(rendered); },
    [&](const Error& aError) {
      FAIL((aError.text_ + "\n" + rendered).c_str());
      return Settings{};
    },
    [&] { return Settings{}; });
}

json With(const char* aPointer, const json& aValue)
{
  json fields = AllFields();
  fields[json::json_pointer(aPointer)] = aValue;
  return fields;
}

} // namespace

TEST_GROUP(SettingsTemplateTest){};

TEST(SettingsTemplateTest, PassesOnAllFields)
{
  const Settings settings = Render(AllFields());
  const GatewaySettings& gateway = settings.gateway_.value();
  STRCMP_EQUAL("edge-1", settings.hostName_.c_str());
  LONGS_EQUAL(8227, settings.caller_.port_);
  LONGS_EQUAL(8220, settings.ready_.port_);
  LONGS_EQUAL(8229, settings.admin_.port_);
  LONGS_EQUAL(7340, settings.peer_.port_);
  LONGS_EQUAL(2, settings.peerSeeds_.size());
  LONGS_EQUAL(1, settings.storeAddresses_.size());
  LONGS_EQUAL(2800, settings.drainLag_.count());
  LONGS_EQUAL(4400, settings.drainLimit_.count());
  LONGS_EQUAL(2, gateway.zoneRegions_.size());
  LONGS_EQUAL(6000, gateway.retryWindow_.count());
  LONGS_EQUAL(10'000, gateway.maxHold_.count());
  LONGS_EQUAL(4000, gateway.revokeWithin_.count());
  DOUBLES_EQUAL(0.1, gateway.retryRatio_, 1e-9);
  DOUBLES_EQUAL(50, gateway.retryAllowance_, 1e-9);
  DOUBLES_EQUAL(1.5, gateway.coldOvershoot_.value(), 1e-9);
  CHECK_FALSE(gateway.strictRevocation_);
  CHECK_TRUE(gateway.evacuations_);
}

// Guards against hosts that don't start as a bound is spelled as a fraction.
TEST(SettingsTemplateTest, TakesBoundsInEverySpelling)
{
  const json spellings[] = { 2.5, 10.0, 1e1, "10", "10.0", "2.5" };
  for (const auto& bound : AllFields().at("bounds").items()) {
    for (const json& value : spellings) {
      if (bound.key() != "strictRevocation") {
        (void)Render(With(("/bounds/" + bound.key()).c_str(), value));
      }
    }
  }
  const Settings settings = Render(With("/bounds/budgetWindowS", 2.5));
  LONGS_EQUAL(2500, settings.gateway_->retryWindow_.count());
  CHECK_FALSE(Render(With("/bounds/strictRevocation", "false"))
                .gateway_->strictRevocation_);
}

TEST(SettingsTemplateTest, TakesMissingAndEmptyFields)
{
  std::vector<std::string> pointers = { "/region", "/seeds",     "/zones",
                                        "/bounds", "/portRange", "/added" };
  for (const auto& bound : AllFields().at("bounds").items()) {
    pointers.push_back("/bounds/" + bound.key());
  }
  for (const std::string& pointer : pointers) {
    for (const bool hasEmpty : { false, true }) {
      const json::json_pointer path(pointer);
      json fields = AllFields();
      fields.at(path.parent_pointer()).erase(path.back());
      (void)Render(fields, hasEmpty);
      const json values[] = { nullptr, "", false, json::array() };
      for (const json& value : values) {
        (void)Render(With(pointer.c_str(), value), hasEmpty);
      }
    }
  }
  const Settings settings = Render(With("/bounds", json::object()));
  CHECK_TRUE(settings.gateway_->strictRevocation_);
  CHECK_FALSE(settings.gateway_->coldSlack_.has_value());
  LONGS_EQUAL(2800, settings.drainLag_.count());
  LONGS_EQUAL(4400, settings.drainLimit_.count());
}
