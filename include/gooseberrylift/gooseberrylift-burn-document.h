// What one host answers to GET /report/burn, as JSON, and how the answers of
// many hosts become one report.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_BURN_DOCUMENT_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_BURN_DOCUMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberrylift/gooseberrylift-burn.h"
#include "gooseberrylift/gooseberrylift-first-token-histogram.h"

namespace gooseberrylift {

// Counts of one host, or of several that were merged.
struct BurnDocument
{
  std::vector<std::string> hosts_;
  std::uint64_t generation_ = 0; // of the objectives
  ObjectivesByService objectives_;
  BurnTally tally_;
  FirstTokenHistogram firstTokens_;
};

/// Renders a document for the wire.
std::string BurnDocumentText(const BurnDocument& aDocument);

/// Reads a document that another host sent.
/// @return nothing when the text is not such a document
std::optional<BurnDocument> ParseBurnDocument(std::string_view aText);

/// Adds a host's document. The objectives of the higher generation count.
void MergeDocument(BurnDocument& aInto, const BurnDocument& aFrom);

/// Gives the objectives of a configuration's services.
ObjectivesByService ObjectivesOf(const Configuration& aConfiguration);

/// Renders the report as JSON: hosts, rows worst first, first-token quantiles.
/// @param aDocument the merged counts
/// @param aSilent addresses of the hosts that gave no answer
std::string BurnReportJson(const BurnDocument& aDocument,
                           const std::vector<std::string>& aSilent);

/// Renders the report as text within 80 columns.
std::string BurnReportText(const BurnDocument& aDocument,
                           const std::vector<std::string>& aSilent);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_BURN_DOCUMENT_H_
