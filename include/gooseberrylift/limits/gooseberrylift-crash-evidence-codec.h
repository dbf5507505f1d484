// The JSON form of the crash evidence that hosts exchange.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_CRASH_EVIDENCE_CODEC_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_CRASH_EVIDENCE_CODEC_H_

#include <nlohmann/json.hpp>

#include "gooseberrylift/limits/gooseberrylift-crash-evidence.h"

namespace gooseberrylift {

nlohmann::json CrashEvidenceToJson(const CrashEvidence& aEvidence);

/// Parses evidence.
/// @return empty evidence if the document is malformed
CrashEvidence CrashEvidenceFromJson(const nlohmann::json& aDocument);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_CRASH_EVIDENCE_CODEC_H_
