// The JSON document that a host returns for GET /report/burn, and the report
// built by merging the documents of all hosts.

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

// The counts of one host, or the merged counts of several.
struct BurnDocument
{
  std::vector<std::string> hosts_;
  std::uint64_t generation_ = 0; // configuration generation of objectives_
  ObjectivesByService objectives_;
  BurnTally tally_;
  FirstTokenHistogram firstTokens_;
};

/// Serializes a document to JSON.
std::string SerializeBurnDocument(const BurnDocument& aDocument);

/// Parses a document received from another host.
/// @return the document, or std::nullopt if the text is malformed
std::optional<BurnDocument> ParseBurnDocument(std::string_view aText);

/// Merges a host's document into aInto. The objectives of the higher generation
/// are used.
void MergeBurnDocument(BurnDocument& aInto, const BurnDocument& aFrom);

/// Returns the objectives of a configuration's services, by service name.
ObjectivesByService ObjectivesOf(const Configuration& aConfiguration);

/// Renders the report as JSON: hosts, rows in the order of EvaluateBurn, and
/// quantiles of the time to first token.
/// @param aDocument the merged counts
/// @param aUnresponsive addresses of the hosts that did not respond
std::string BurnReportJson(const BurnDocument& aDocument,
                           const std::vector<std::string>& aUnresponsive);

/// Renders the report as plain text, at most 80 columns wide.
std::string BurnReportText(const BurnDocument& aDocument,
                           const std::vector<std::string>& aUnresponsive);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_BURN_DOCUMENT_H_
