#include "gooseberrylift/internal/gooseberrylift-model-request.h"

#include <set>

#include <xxhash.h>

namespace gooseberrylift {

using nlohmann::json;

namespace {

constexpr std::uint64_t kBytesPerToken = 4;
constexpr std::uint64_t kDefaultMaxTokens = 16;
constexpr std::uint64_t kMaxMaxTokens = 1'000'000;
constexpr std::size_t kPrefixBytes = 1024;

Error BadField(const char* aText)
{
  return { .code_ = ResultCode::kBadField, .text_ = aText };
}

// Adds up the prompt's bytes and keeps its first kilobyte.
struct PromptScan
{
  std::uint64_t bytes_ = 0;
  std::string head_;

  void Add(const std::string& aText)
  {
    bytes_ += aText.size();
    if (head_.size() < kPrefixBytes) {
      head_.append(aText, 0, kPrefixBytes - head_.size());
    }
  }
};

// Fields that this host sets in an engine's request. "stream" may stand in the
// caller's text when it is true, since it is set to the same.
bool HasOwnField(const json& aBody)
{
  const bool streamed = aBody.value("stream", json(true)) == true;
  return !streamed || aBody.contains("request_id") ||
         aBody.contains("priority") || aBody.contains("resume_from") ||
         aBody.contains("kv_import");
}

// Parses a body and notes whether a name of its outermost object came twice:
// this host reads the last of two, and an engine might read the first.
json ParseBody(const std::string& aText, bool* aNamesRepeat)
{
  std::set<std::string> names;
  *aNamesRepeat = false;
  const auto watch = [&](int aDepth, json::parse_event_t aEvent, json& aItem) {
    if (aDepth == 1 && aEvent == json::parse_event_t::key &&
        !names.insert(aItem.get<std::string>()).second) {
      *aNamesRepeat = true;
    }
    return true;
  };
  return json::parse(aText, watch, false);
}

Outcome<PromptScan> ScanChat(const json& aBody)
{
  const auto messages = aBody.find("messages");
  if (messages == aBody.end() || !messages->is_array() || messages->empty()) {
    return BadField("messages: an array with at least one message is needed");
  }
  PromptScan scan;
  for (const json& message : *messages) {
    if (!message.is_object() || !message.contains("content") ||
        !message.at("content").is_string()) {
      return BadField("messages: each message needs a content of text");
    }
    scan.Add(message.at("content").get_ref<const std::string&>());
  }
  return scan;
}

Outcome<PromptScan> ScanPlain(const json& aBody)
{
  const auto prompt = aBody.find("prompt");
  if (prompt == aBody.end() || !prompt->is_string()) {
    return BadField("prompt: a text is needed");
  }
  PromptScan scan;
  scan.Add(prompt->get_ref<const std::string&>());
  return scan;
}

} // namespace

Outcome<ModelRequest> ParseModelRequest(const HttpRequest& aRequest)
{
  ModelRequest request;
  bool namesRepeat = false;
  request.body_ = ParseBody(aRequest.body_, &namesRepeat);
  const json& body = request.body_;
  if (!body.is_object()) {
    return Error{ .code_ = ResultCode::kMalformedJson,
                  .text_ = "the body is not a JSON object" };
  }
  if (!body.contains("model") || !body.at("model").is_string()) {
    return BadField("model: a name is needed");
  }
  request.model_ = body.at("model");
  request.chat_ = aRequest.Path() == "/v1/chat/completions";
  const auto scan = request.chat_ ? ScanChat(body) : ScanPlain(body);
  if (!scan) {
    return scan.error();
  }
  const json limit = body.value("max_tokens", json(kDefaultMaxTokens));
  if (!limit.is_number_unsigned() || limit == 0 || limit > kMaxMaxTokens) {
    return BadField("max_tokens: a whole number from 1 to 1000000 is needed");
  }
  const json stream = body.value("stream", json(false));
  if (!stream.is_boolean()) {
    return BadField("stream: true or false is needed");
  }
  request.stream_ = stream;
  request.textIsExtensible_ = !namesRepeat && !HasOwnField(body);
  request.maxTokens_ = limit;
  request.promptTokens_ =
    (scan.value().bytes_ + kBytesPerToken - 1) / kBytesPerToken;
  request.prefixHash_ =
    XXH3_64bits(scan.value().head_.data(), scan.value().head_.size());
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
