// Parses the bodies of model requests and creates the bodies of responses that
// are not streamed, in the format of the OpenAI API.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_MODEL_REQUEST_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_MODEL_REQUEST_H_

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

#include "gooseberrylift/internal/gooseberrylift-http.h"

namespace gooseberrylift {

// A validated model request.
struct ModelRequest
{
  std::string model_;
  bool chat_ = false;
  bool stream_ = false;
  std::uint64_t promptTokens_ = 0; // estimated from the prompt's size
  std::uint64_t maxTokens_ = 0;
  std::uint64_t prefixHash_ = 0; // of the prompt's first kilobyte
  nlohmann::json body_;

  // Whether this host's own fields can be appended to the body's text: the text
  // contains none of them and no duplicate key.
  bool canAppendFields_ = false;
};

/// Parses and validates a request for a completion.
/// @param aRequest the request; its path selects chat or plain completion
/// @return the request, or kMalformedJson or kBadField with the field's name
Outcome<ModelRequest> ParseModelRequest(const HttpRequest& aRequest);

/// Creates the body of a response that is not streamed.
/// @return the JSON text
std::string MakeModelResponse(const ModelRequest& aRequest,
                              const std::string& aRequestId,
                              const std::string& aText,
                              const std::string& aFinishReason,
                              std::uint64_t aTokens);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_MODEL_REQUEST_H_
