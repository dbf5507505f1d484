#include "gooseberrylift/internal/gooseberrylift-peer-rpc.h"

#include <algorithm>
#include <array>
#include <random>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "gooseberrylift/gooseberrylift-json-text.h"
#include "gooseberrylift/internal/gooseberrylift-log.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr const char* kRpcPath = "/rpc";
constexpr const char* kSignatureField = "X-Peer-Signature";
constexpr const char* kRelayField = "X-Peer-Relay";
constexpr const char* kOutcomeField = "X-Peer-Outcome";
constexpr const char* kResponderField = "X-Peer-Responder";

std::string Hmac(const std::string& aKey, const std::string& aBody)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aBody.data()),
       aBody.size(),
       digest.data(),
       &size);
  constexpr const char* kHex = "0123456789abcdef";
  std::string text;
  for (unsigned int index = 0; index < size; ++index) {
    text += kHex[digest[index] >> 4];
    text += kHex[digest[index] & 15];
  }
  return text;
}

std::int64_t WallMilliseconds()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

Error PeerError(ResultCode aCode, std::string aText)
{
  return { .code_ = aCode, .text_ = std::move(aText) };
}

HttpRequest MakeSignedRequest(std::string aBody, std::string aSignature)
{
  HttpRequest request = MakeRequest("POST", kRpcPath, std::move(aBody));
  request.fields_.push_back({ kSignatureField, std::move(aSignature) });
  return request;
}

HttpResponse MakeSignedResponse(std::string aBody, std::string aSignature)
{
  HttpResponse response = JsonResponse(200, std::move(aBody));
  response.fields_.push_back({ kSignatureField, std::move(aSignature) });
  return response;
}

void RemovePeerFields(HttpFields& aFields)
{
  std::erase_if(aFields, [](const HttpField& aField) {
    return IsNamed(aField, kRelayField) || IsNamed(aField, kSignatureField);
  });
}

// The header fields of a relayed request are not covered, since a proxy between
// the hosts may change them as it may those of a caller's request.
std::string RelayedText(std::string_view aEnvelope, const HttpRequest& aRequest)
{
  return std::string(aEnvelope) + "\n" + aRequest.method_ + "\n" +
         aRequest.target_ + "\n" + aRequest.body_.Text();
}

// Header fields hold ASCII only. Texts of errors may quote what an endpoint
// sent, which need not be UTF-8.
std::string ToHeaderValue(const json& aValue)
{
  return aValue.dump(-1, ' ', true, json::error_handler_t::replace);
}

} // namespace

PeerRpc::PeerRpc(HttpClient& aClient, Options aOptions)
  : client_(aClient)
  , options_(std::move(aOptions))
  , replayGuard_(ReplayGuard::Options{})
{
  std::random_device device;
  noncePrefix_ = options_.host_ + "-" + std::to_string(device()) + "-" +
                 std::to_string(device()) + "-";
}

void PeerRpc::Add(const std::string& aName, Method aMethod)
{
  server_.Add(aName,
              [this, method = std::move(aMethod)](const std::string& aParams) {
                return Dispatch(method, aParams);
              });
}

std::string PeerRpc::Dispatch(const Method& aMethod, const std::string& aParams)
{
  const json params = ParseJson(aParams);
  if (!params.is_object()) {
    return json{ { "refused", "parameters are no object" } }.dump();
  }
  if (const auto refusal = CheckEnvelope(params)) {
    return json{ { "refused", *refusal } }.dump();
  }
  json result;
  result["nonce"] = JsonFieldOr(params, "nonce", std::string());
  try {
    result["result"] = aMethod(params.value("p", json::object()));
  } catch (const json::exception& error) {
    // From an incompatible version. It must not end the connection, on which
    // other calls follow.
    return json{ { "refused", error.what() } }.dump();
  }
  return result.dump();
}

// Returns why a signed message is refused. The signature of a message recorded
// on the network remains valid. A replay to another host is rejected because
// the message names its receiver, and a later replay because its nonce and send
// time are checked.
std::optional<std::string> PeerRpc::CheckEnvelope(const json& aEnvelope)
{
  const auto nonce = JsonFieldOr(aEnvelope, "nonce", std::string());
  const std::chrono::milliseconds sent(
    JsonFieldOr(aEnvelope, "at", std::int64_t{ 0 }));
  const auto receiver = JsonFieldOr(aEnvelope, "to", std::string());
  if (receiver.empty() ||
      (receiver != options_.host_ && !addresses_.contains(receiver))) {
    return "meant for another host";
  }
  const std::lock_guard lock(mutex_);
  if (!replayGuard_.Accept(
        nonce, ReplayGuard::Time(sent), std::chrono::system_clock::now())) {
    Log(LogEvent::kPeerRefused,
        { { "reason", "replayed message, or clocks differ" } });
    return "replayed, or clocks differ";
  }
  return std::nullopt;
}

json PeerRpc::MakeEnvelope(const Target& aTarget, json aParams)
{
  return { { "to", aTarget.host_ },
           { "at", WallMilliseconds() },
           { "nonce", noncePrefix_ + std::to_string(++nextNonce_) },
           { "p", std::move(aParams) } };
}

asio::awaitable<Outcome<json>> PeerRpc::Call(Target aTarget,
                                             std::string aMethod,
                                             json aParams,
                                             TimePoint aDeadline)
{
  const json envelope = MakeEnvelope(aTarget, std::move(aParams));
  const std::string body = MakeJsonRpcRequest(aMethod, envelope.dump());
  byteCount_ += body.size();
  const auto response = co_await client_.Fetch(
    aTarget.address_, MakeSignedRequest(body, Sign(body)), aDeadline);
  if (!response) {
    co_return PeerError(ResultCode::kPeerUnreachable, response.error().text_);
  }
  byteCount_ += response.value().body_.size();
  if (response.value().status_ != 200 ||
      !IsSigned(response.value().body_,
                response.value().Field(kSignatureField))) {
    co_return PeerError(ResultCode::kPeerRefused,
                        aTarget.host_ + ": invalid signature, or status " +
                          std::to_string(response.value().status_));
  }
  std::string text;
  // The JSON-RPC client ends the process if its parser throws, as it does
  // beyond a thousand levels.
  if (IsJsonTooDeep(response.value().body_) ||
      !ParseJsonRpcResponse(response.value().body_, text)) {
    co_return PeerError(ResultCode::kPeerRefused,
                        "the peer's response is not a JSON-RPC result");
  }
  const json reply = ParseJson(text);
  const bool matches =
    reply.is_object() &&
    JsonFieldOr(reply, "nonce", std::string()) == envelope.at("nonce") &&
    reply.contains("result");
  if (!matches) {
    co_return PeerError(ResultCode::kPeerRefused,
                        aTarget.host_ +
                          ": unexpected result: " + text.substr(0, 200));
  }
  co_return reply.at("result");
}

bool PeerRpc::IsRpcRequest(const HttpRequest& aRequest)
{
  return aRequest.method_ == "POST" && aRequest.Path() == kRpcPath;
}

asio::awaitable<void> PeerRpc::Handle(HttpExchange& aExchange)
{
  const HttpRequest& request = aExchange.Request();
  if (!IsRpcRequest(request)) {
    co_await aExchange.Send(
      ErrorResponse(MakeError(ResultCode::kUnknownRoute), {}));
    co_return;
  }
  if (!IsSigned(request.body_, request.Field(kSignatureField))) {
    Log(LogEvent::kPeerRefused,
        { { "reason", "signature" }, { "peer", aExchange.Peer() } });
    co_await aExchange.Send(
      ErrorResponse(MakeError(ResultCode::kPeerRefused), {}));
    co_return;
  }
  byteCount_ += request.body_.Text().size();
  // The parser of JSON-RPC throws beyond a thousand levels.
  if (IsJsonTooDeep(request.body_.Text())) {
    Log(LogEvent::kPeerRefused,
        { { "reason", "nested too deeply" }, { "peer", aExchange.Peer() } });
    co_await aExchange.Send(
      ErrorResponse(MakeError(ResultCode::kPeerRefused), {}));
    co_return;
  }
  const std::string response = server_.Dispatch(request.body_);
  byteCount_ += response.size();
  co_await aExchange.Send(MakeSignedResponse(response, Sign(response)));
}

std::string PeerRpc::SignRelayed(const Target& aTarget,
                                 json aTerms,
                                 HttpRequest& aRequest)
{
  const json envelope = MakeEnvelope(aTarget, std::move(aTerms));
  const std::string value = ToHeaderValue(envelope);
  RemovePeerFields(aRequest.fields_);
  std::string signature = Sign(RelayedText(value, aRequest));
  aRequest.fields_.push_back({ kRelayField, value });
  aRequest.fields_.push_back({ kSignatureField, std::move(signature) });
  return envelope.at("nonce");
}

bool PeerRpc::IsRelayed(const HttpRequest& aRequest)
{
  return !aRequest.Field(kRelayField).empty();
}

Outcome<PeerRpc::RelayedEnvelope> PeerRpc::VerifyRelayed(HttpRequest& aRequest)
{
  const std::string value(aRequest.Field(kRelayField));
  const std::string signature(aRequest.Field(kSignatureField));
  RemovePeerFields(aRequest.fields_);
  const json envelope = ParseJson(value);
  if (!envelope.is_object() ||
      !IsSigned(RelayedText(value, aRequest), signature)) {
    Log(LogEvent::kPeerRefused, { { "reason", "signature" } });
    return PeerError(ResultCode::kPeerRefused, "invalid signature");
  }
  if (const auto refusal = CheckEnvelope(envelope)) {
    return PeerError(ResultCode::kPeerRefused, *refusal);
  }
  return RelayedEnvelope{ .nonce_ =
                            JsonFieldOr(envelope, "nonce", std::string()),
                          .terms_ = envelope.value("p", json::object()) };
}

void PeerRpc::SignOutcome(const std::string& aNonce,
                          json aOutcome,
                          HttpResponse& aResponse) const
{
  const json envelope = { { "nonce", aNonce }, { "p", std::move(aOutcome) } };
  std::string value = ToHeaderValue(envelope);
  std::string signature = Sign(value);
  aResponse.fields_.push_back({ kOutcomeField, std::move(value) });
  aResponse.fields_.push_back({ kSignatureField, std::move(signature) });
}

std::optional<json> PeerRpc::VerifyOutcome(const std::string& aNonce,
                                           const HttpResponse& aResponse) const
{
  const std::string value(aResponse.Field(kOutcomeField));
  if (value.empty() || !IsSigned(value, aResponse.Field(kSignatureField))) {
    return std::nullopt;
  }
  const json envelope = ParseJson(value);
  if (JsonFieldOr(envelope, "nonce", std::string()) != aNonce ||
      !envelope.is_object() || !envelope.contains("p")) {
    return std::nullopt;
  }
  return envelope.at("p");
}

void PeerRpc::SetResponder(const std::string& aEndpoint,
                           HttpResponse& aResponse)
{
  std::erase_if(aResponse.fields_, [](const HttpField& aField) {
    const HttpFields named{ { aField.name_, "any" } };
    return !FindField(named, kResponderField).empty();
  });
  if (!aEndpoint.empty()) {
    aResponse.fields_.push_back({ kResponderField, aEndpoint });
  }
}

std::string PeerRpc::ResponderOf(const HttpResponse& aResponse)
{
  return std::string(aResponse.Field(kResponderField));
}

std::string PeerRpc::Sign(const std::string& aBody) const
{
  return options_.keys_.empty() ? "" : Hmac(options_.keys_.front(), aBody);
}

bool PeerRpc::IsSigned(const std::string& aBody,
                       std::string_view aSignature) const
{
  if (options_.keys_.empty()) {
    return true;
  }
  return std::any_of(
    options_.keys_.begin(), options_.keys_.end(), [&](const std::string& aKey) {
      const std::string expected = Hmac(aKey, aBody);
      return expected.size() == aSignature.size() &&
             CRYPTO_memcmp(
               expected.data(), aSignature.data(), expected.size()) == 0;
    });
}

} // namespace gooseberrylift
