#include "gooseberrylift/limits/gooseberrylift-crash-evidence-codec.h"

namespace gooseberrylift {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr const char* kCrashes = "x";
constexpr const char* kSound = "s";

std::int64_t ToMilliseconds(WallTime aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime.time_since_epoch())
    .count();
}

WallTime FromMilliseconds(const json& aNumber)
{
  return WallTime(milliseconds(aNumber.get<std::int64_t>()));
}

// The content, followed by the parts.
json RequestToJson(const RequestFeatures& aRequest)
{
  json list = aRequest.parts_;
  list.insert(list.begin(), aRequest.content_);
  return list;
}

RequestFeatures RequestFromJson(const json& aList)
{
  auto features = aList.get<std::vector<std::string>>();
  RequestFeatures request{ .content_ = features.at(0) };
  request.parts_.assign(features.begin() + 1, features.end());
  return request;
}

CrashReport ReportFromJson(const json& aItem)
{
  CrashReport report{ .endpoint_ = aItem.at(0),
                      .at_ = FromMilliseconds(aItem.at(1)),
                      .aliveAt_ = FromMilliseconds(aItem.at(2)) };
  for (const json& request : aItem.at(3)) {
    report.accused_.push_back(RequestFromJson(request));
  }
  return report;
}

} // namespace

json CrashEvidenceToJson(const CrashEvidence& aEvidence)
{
  json crashes = json::array();
  for (const CrashReport& report : aEvidence.crashes_) {
    json accused = json::array();
    for (const RequestFeatures& request : report.accused_) {
      accused.push_back(RequestToJson(request));
    }
    crashes.push_back({ report.endpoint_,
                        ToMilliseconds(report.at_),
                        ToMilliseconds(report.aliveAt_),
                        std::move(accused) });
  }
  json sound = json::array();
  for (const SoundFeature& feature : aEvidence.sound_) {
    sound.push_back({ feature.feature_, ToMilliseconds(feature.at_) });
  }
  json document;
  document[kCrashes] = std::move(crashes);
  document[kSound] = std::move(sound);
  return document;
}

CrashEvidence CrashEvidenceFromJson(const json& aDocument)
{
  CrashEvidence evidence;
  try {
    for (const json& item : aDocument.at(kCrashes)) {
      evidence.crashes_.push_back(ReportFromJson(item));
    }
    for (const json& item : aDocument.at(kSound)) {
      evidence.sound_.push_back(
        { .feature_ = item.at(0), .at_ = FromMilliseconds(item.at(1)) });
    }
  } catch (const std::exception&) {
    return {};
  }
  return evidence;
}

} // namespace gooseberrylift
