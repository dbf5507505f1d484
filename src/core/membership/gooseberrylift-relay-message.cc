#include "gooseberrylift/membership/gooseberrylift-relay-message.h"

#include <algorithm>

namespace gooseberrylift {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

// A peer that sends longer times is faulty.
constexpr milliseconds kMaxDuration{ 3'600'000 };

// Wire values; their meaning must not change.
constexpr int kWireNo = 0;
constexpr int kWireYes = 1;
constexpr int kWireUnknown = 2;

int ToWire(RanState aRan)
{
  switch (aRan) {
    case RanState::kNo:
      return kWireNo;
    case RanState::kYes:
      return kWireYes;
    case RanState::kUnknown:
      break;
  }
  return kWireUnknown;
}

// Unknown values of later versions must not become a promise.
RanState FromWire(int aWire)
{
  if (aWire == kWireNo) {
    return RanState::kNo;
  }
  return aWire == kWireYes ? RanState::kYes : RanState::kUnknown;
}

milliseconds BoundedDuration(const json& aValue)
{
  return std::clamp(
    milliseconds(aValue.get<std::int64_t>()), milliseconds(0), kMaxDuration);
}

} // namespace

json RelayTermsToJson(const RelayTerms& aTerms)
{
  return { { "from", aTerms.from_ },
           { "generation", aTerms.generation_ },
           { "waited_ms", aTerms.waited_.count() },
           { "may_move", aTerms.mayMove_ },
           { "admitted", aTerms.admitted_ },
           { "tried", aTerms.tried_ },
           { "only", aTerms.only_ } };
}

std::optional<RelayTerms> RelayTermsFromJson(const json& aDocument)
{
  try {
    return RelayTerms{ .from_ = aDocument.at("from"),
                       .generation_ = aDocument.at("generation"),
                       .waited_ = BoundedDuration(aDocument.at("waited_ms")),
                       .mayMove_ = aDocument.at("may_move"),
                       .admitted_ = aDocument.value("admitted", false),
                       .tried_ = aDocument.at("tried"),
                       .only_ =
                         aDocument.value("only", std::vector<std::string>{}) };
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

json RelayOutcomeToJson(const RelayOutcome& aOutcome)
{
  json document = { { "code", static_cast<int>(aOutcome.error_.code_) },
                    { "text", aOutcome.error_.text_ },
                    { "ran", ToWire(aOutcome.error_.ran_) },
                    { "sends", aOutcome.sends_ },
                    { "tried", aOutcome.tried_ } };
  if (aOutcome.error_.retryAfter_) {
    document["retry_after_ms"] = aOutcome.error_.retryAfter_->count();
  }
  return document;
}

std::optional<RelayOutcome> RelayOutcomeFromJson(const json& aDocument)
{
  try {
    const ResultCode code = ResultCode(aDocument.at("code").get<int>());
    RelayOutcome outcome{
      .error_ = { // Codes of later versions have no row in this one's table.
                  .code_ = InfoOf(code).code_,
                  .text_ = aDocument.at("text"),
                  .ran_ = FromWire(aDocument.at("ran")) },
      .sends_ = std::max(aDocument.at("sends").get<int>(), 0),
      .tried_ = aDocument.at("tried")
    };
    if (aDocument.contains("retry_after_ms")) {
      outcome.error_.retryAfter_ =
        BoundedDuration(aDocument.at("retry_after_ms"));
    }
    return outcome;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

bool IsRefusedByHost(const RelayOutcome& aOutcome)
{
  if (aOutcome.error_.ran_ != RanState::kNo || aOutcome.sends_ > 0) {
    return false;
  }
  switch (aOutcome.error_.code_) {
    case ResultCode::kUnknownRoute: // it has another configuration
    case ResultCode::kMissingTeamKey:
    case ResultCode::kUnknownTeamKey:
    case ResultCode::kNoConfiguration:
    case ResultCode::kFreshnessLost:
    case ResultCode::kShuttingDown:
    case ResultCode::kNoEndpoint:
    case ResultCode::kNoEndpointInRegions:
    case ResultCode::kEndpointUnreachable:
    case ResultCode::kLinksLost:
    case ResultCode::kRelayFull:
    case ResultCode::kPeerRefused:
    case ResultCode::kPeerUnreachable:
      return true;
    default:
      return false;
  }
}

} // namespace gooseberrylift
