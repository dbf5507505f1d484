#include "gooseberrylift/gooseberrylift-schema.h"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace gooseberrylift {

std::optional<std::string> FindSchemaViolation(const nlohmann::json& aDocument,
                                               std::string_view aSchema)
{
  const nlohmann::json schemaDocument = nlohmann::json::parse(aSchema);
  valijson::Schema schema;
  valijson::SchemaParser parser;
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaDocument),
                        schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  if (validator.validate(
        schema, valijson::adapters::NlohmannJsonAdapter(aDocument), &results)) {
    return std::nullopt;
  }
  // valijson reports a nested violation before the enclosing ones that follow
  // from it, so the first error has the most specific path.
  valijson::ValidationResults::Error violation;
  results.popError(violation);
  std::string path;
  for (const std::string& component : violation.context) {
    path += component;
  }
  return path + ": " + violation.description;
}

} // namespace gooseberrylift
