// Checks a JSON document against a JSON Schema and names the path of the
// first fault. valijson's headers are heavy, so they stay behind this one.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_SCHEMA_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_SCHEMA_H_

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace gooseberrylift {

/// Checks a document against a schema.
/// @param aDocument the document
/// @param aSchema the text of a JSON Schema, draft 7
/// @return nothing when it is valid, else a text with path and reason
std::optional<std::string> FindSchemaFault(const nlohmann::json& aDocument,
                                           std::string_view aSchema);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_SCHEMA_H_
