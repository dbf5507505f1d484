// Rewrites the values of a JSON document in the form that its schema requires.
// Templates and other tools write a number as 10, 10.0, 1e1 or "10", and a
// value that they lack as null or "".

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_JSON_SPELLING_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_JSON_SPELLING_H_

#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace gooseberrylift {

/// Rewrites the values of all fields that a schema describes:
/// - Numbers and booleans may be given as text, booleans as 0 or 1.
/// - An integer may be given as a fraction without remainder. A field named
///   "..._ms" is rounded to the nearest millisecond, but a positive time never
///   to 0, and may be given in seconds as "..._s".
/// - A list of texts with a pattern may be given as one text joined by commas.
/// - null, "" and, for a number, false are removed, so that the default
/// applies. Values that can't be rewritten stay as they are, for the schema to
/// reject.
/// @param aDocument the document
/// @param aSchema the text of a JSON Schema, draft 7
void NormalizeSpelling(nlohmann::json& aDocument, std::string_view aSchema);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_JSON_SPELLING_H_
