// JSON Schema validation. Hides valijson, whose headers are slow to compile,
// from the rest of the code.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_SCHEMA_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_SCHEMA_H_

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace gooseberrylift {

/// Validates a document against a schema.
/// @param aDocument the document
/// @param aSchema the text of a JSON Schema, draft 7
/// @return std::nullopt if the document is valid, else the path and the reason
/// of the first violation
std::optional<std::string> FindSchemaViolation(const nlohmann::json& aDocument,
                                               std::string_view aSchema);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_SCHEMA_H_
