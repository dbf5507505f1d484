#include "gooseberrylift/gooseberrylift-schema.h"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace gooseberrylift {

std::optional<std::string> FindSchemaFault(const nlohmann::json& aDocument,
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
  // valijson reports outer faults after the inner ones that caused them, so
  // the first names the path most exactly.
  valijson::ValidationResults::Error fault;
  results.popError(fault);
  std::string path;
  for (const std::string& step : fault.context) {
    path += step;
  }
  return path + ": " + fault.description;
}

} // namespace gooseberrylift
