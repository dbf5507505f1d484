// Reads the body of a model request and makes the body of a whole answer, in
// the OpenAI style.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_MODEL_REQUEST_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_MODEL_REQUEST_H_

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

#include "gooseberrylift/internal/gooseberrylift-http.h"

namespace gooseberrylift {

// A model request that passed its checks.
struct ModelRequest
{
  std::string model_;
  bool chat_ = false;
  bool stream_ = false;
  std::uint64_t promptTokens_ = 0; // estimated from the prompt's bytes
  std::uint64_t maxTokens_ = 0;
  std::uint64_t prefixHash_ = 0; // of the prompt's first kilobyte
  nlohmann::json body_;

  // Whether fields can be added behind the last one of the body's text: none
  // of them stands there already, and no name stands there twice.
  bool textIsExtensible_ = false;
};

/// Checks and reads a request for a completion.
/// @param aRequest the request, whose path says chat or plain
/// @return the request, or kMalformedJson or kBadField with the field's name
Outcome<ModelRequest> ParseModelRequest(const HttpRequest& aRequest);

/// Makes the body of an answer that was not streamed.
/// @return the JSON text
std::string MakeModelResponse(const ModelRequest& aRequest,
                              const std::string& aRequestId,
                              const std::string& aText,
                              const std::string& aFinishReason,
                              std::uint64_t aTokens);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_MODEL_REQUEST_H_
