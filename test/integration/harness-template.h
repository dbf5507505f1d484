// Fills in a deployment template: {{a.b}}, {{a|json}}, the sections {{#a}} and
// {{^a}}, and in them {{.}}, {{@}} and {{,}}.

#ifndef GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_TEMPLATE_H_
#define GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_TEMPLATE_H_

#include <string>

#include <nlohmann/json.hpp>

namespace gooseberrylift::test {

/// Returns a template's text with the fields filled in. A missing value is
/// rendered as nothing.
/// @param aHasEmpty whether an empty text counts as a value in sections
std::string RenderTemplate(const std::string& aText,
                           const nlohmann::json& aFields,
                           bool aHasEmpty);

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_TEMPLATE_H_
