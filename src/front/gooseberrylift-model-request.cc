#include "gooseberrylift/internal/gooseberrylift-model-request.h"

#include <set>

#include <xxhash.h>

#include "gooseberrylift/gooseberrylift-json-text.h"

namespace gooseberrylift {

using nlohmann::json;

namespace {

constexpr std::uint64_t kBytesPerToken = 4;
constexpr std::uint64_t kDefaultMaxTokens = 16;
constexpr std::uint64_t kMaxTokensLimit = 1'000'000;
constexpr std::size_t kPrefixBytes = 1024;

Error BadField(const char* aText)
{
  return { .code_ = ResultCode::kBadField, .text_ = aText };
}

// Counts the bytes of a prompt and keeps its first kilobyte.
struct PromptScan
{
  std::uint64_t bytes_ = 0;
  std::string prefix_;

  void Add(const std::string& aText)
  {
    bytes_ += aText.size();
    if (prefix_.size() < kPrefixBytes) {
      prefix_.append(aText, 0, kPrefixBytes - prefix_.size());
    }
  }
};

// Returns whether the body contains a field that this host sets in the request
// to the engine. "stream" with the value true is allowed, since this host sets
// the same value.
bool SetsReservedField(const json& aBody)
{
  const bool streamed = aBody.value("stream", json(true)) == true;
  return !streamed || aBody.contains("request_id") ||
         aBody.contains("priority") || aBody.contains("resume_from") ||
         aBody.contains("kv_import");
}

// Parses a body and detects duplicate keys in its outermost object: this host
// uses the last of two values, and an engine might use the first.
json ParseBody(const std::string& aText, bool* aHasDuplicateKeys)
{
  std::set<std::string> names;
  *aHasDuplicateKeys = false;
  const auto onParseEvent =
    [&](int aDepth, json::parse_event_t aEvent, json& aItem) {
      if (aDepth == 1 && aEvent == json::parse_event_t::key &&
          !names.insert(aItem.get<std::string>()).second) {
        *aHasDuplicateKeys = true;
      }
      return true;
    };
  // The callback sees the depth but can't end the parse.
  return IsJsonTooDeep(aText) ? json(json::value_t::discarded)
                              : json::parse(aText, onParseEvent, false);
}

Outcome<PromptScan> ScanChat(const json& aBody)
{
  const auto messages = aBody.find("messages");
  if (messages == aBody.end() || !messages->is_array() || messages->empty()) {
    return BadField("messages: must be an array with at least one message");
  }
  PromptScan scan;
  for (const json& message : *messages) {
    if (!message.is_object() || !message.contains("content") ||
        !message.at("content").is_string()) {
      return BadField("messages: each message must have a string as content");
    }
    scan.Add(message.at("content").get_ref<const std::string&>());
  }
  return scan;
}

Outcome<PromptScan> ScanCompletion(const json& aBody)
{
  const auto prompt = aBody.find("prompt");
  if (prompt == aBody.end() || !prompt->is_string()) {
    return BadField("prompt: must be a string");
  }
  PromptScan scan;
  scan.Add(prompt->get_ref<const std::string&>());
  return scan;
}

} // namespace

Outcome<ModelRequest> ParseModelRequest(const HttpRequest& aRequest)
{
  ModelRequest request;
  bool hasDuplicateKeys = false;
  request.body_ = ParseBody(aRequest.body_, &hasDuplicateKeys);
  const json& body = request.body_;
  if (!body.is_object()) {
    return Error{ .code_ = ResultCode::kMalformedJson,
                  .text_ = "the body is not a JSON object" };
  }
  if (!body.contains("model") || !body.at("model").is_string()) {
    return BadField("model: must be a string");
  }
  request.model_ = body.at("model");
  request.chat_ = aRequest.Path() == "/v1/chat/completions";
  const auto scan = request.chat_ ? ScanChat(body) : ScanCompletion(body);
  if (!scan) {
    return scan.error();
  }
  const json limit = body.value("max_tokens", json(kDefaultMaxTokens));
  if (!limit.is_number_unsigned() || limit == 0 || limit > kMaxTokensLimit) {
    return BadField("max_tokens: must be a whole number from 1 to 1000000");
  }
  const json stream = body.value("stream", json(false));
  if (!stream.is_boolean()) {
    return BadField("stream: must be true or false");
  }
  request.stream_ = stream;
  request.canAppendFields_ = !hasDuplicateKeys && !SetsReservedField(body);
  request.maxTokens_ = limit;
  request.promptTokens_ =
    (scan.value().bytes_ + kBytesPerToken - 1) / kBytesPerToken;
  request.prefixHash_ =
    XXH3_64bits(scan.value().prefix_.data(), scan.value().prefix_.size());
  return request;
}

std::string MakeModelResponse(const ModelRequest& aRequest,
                              const std::string& aRequestId,
                              const std::string& aText,
                              const std::string& aFinishReason,
                              std::uint64_t aTokens)
{
  json choice = { { "index", 0 }, { "finish_reason", aFinishReason } };
  if (aRequest.chat_) {
    choice["message"] = { { "role", "assistant" }, { "content", aText } };
  } else {
    choice["text"] = aText;
  }
  const json answer = {
    { "id", aRequestId },
    { "object", aRequest.chat_ ? "chat.completion" : "text_completion" },
    { "model", aRequest.model_ },
    { "choices", json::array({ choice }) },
    { "usage",
      { { "prompt_tokens", aRequest.promptTokens_ },
        { "completion_tokens", aTokens },
        { "total_tokens", aRequest.promptTokens_ + aTokens } } }
  };
  return answer.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace gooseberrylift
