#include "gooseberrylift/internal/gooseberrylift-peer-rpc.h"

#include <algorithm>
#include <array>
#include <random>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "gooseberrylift/internal/gooseberrylift-log.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr const char* kPath = "/rpc";
constexpr const char* kSignatureField = "X-Peer-Signature";

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

HttpRequest RequestOf(std::string aBody, std::string aSignature)
{
  HttpRequest request = MakeRequest("POST", kPath, std::move(aBody));
  request.fields_.push_back({ kSignatureField, std::move(aSignature) });
  return request;
}

HttpResponse ResponseOf(std::string aBody, std::string aSignature)
{
  HttpResponse response = JsonResponse(200, std::move(aBody));
  response.fields_.push_back({ kSignatureField, std::move(aSignature) });
  return response;
}

} // namespace

PeerRpc::PeerRpc(HttpClient& aClient, Options aOptions)
  : client_(aClient)
  , options_(std::move(aOptions))
  , replay_(ReplayGuard::Options{})
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
  const json params = json::parse(aParams, nullptr, false);
  if (!params.is_object()) {
    return json{ { "refused", "parameters are no object" } }.dump();
  }
  const std::string nonce = params.value("nonce", "");
  const std::chrono::milliseconds sent(params.value("at", std::int64_t{ 0 }));
  // A message recorded on the network carries a good signature for ever. It is
  // of no use elsewhere, because it names its receiver, and none later,
  // because its number and time are checked.
  const std::string receiver = params.value("to", "");
  if (receiver.empty() ||
      (receiver != options_.host_ && !addresses_.contains(receiver))) {
    return json{ { "refused", "meant for another host" } }.dump();
  }
  {
    const std::lock_guard lock(mutex_);
    if (!replay_.Accept(
          nonce, ReplayGuard::Time(sent), std::chrono::system_clock::now())) {
      Log(LogEvent::kPeerRefused,
          { { "reason", "replayed or clocks differ" } });
      return json{ { "refused", "replayed, or clocks differ" } }.dump();
    }
  }
  json result;
  result["nonce"] = nonce;
  result["result"] = aMethod(params.value("p", json::object()));
  return result.dump();
}

json PeerRpc::Envelope(const Target& aTarget, json aParams)
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
  const json envelope = Envelope(aTarget, std::move(aParams));
  const std::string body = MakeJsonRpcRequest(aMethod, envelope.dump());
  bytes_ += body.size();
  const auto response = co_await client_.Fetch(
    aTarget.address_, RequestOf(body, Sign(body)), aDeadline);
  if (!response) {
    co_return PeerError(ResultCode::kPeerUnreachable, response.error().text_);
  }
  bytes_ += response.value().body_.size();
  if (response.value().status_ != 200 ||
      !IsSigned(response.value().body_,
                response.value().Field(kSignatureField))) {
    co_return PeerError(ResultCode::kPeerRefused,
                        aTarget.host_ + ": status " +
                          std::to_string(response.value().status_));
  }
  std::string text;
  if (!ReadJsonRpcAnswer(response.value().body_, text)) {
    co_return PeerError(ResultCode::kPeerRefused, "an error for an answer");
  }
  const json answer = json::parse(text, nullptr, false);
  const bool matches = answer.is_object() &&
                       answer.value("nonce", "") == envelope.at("nonce") &&
                       answer.contains("result");
  if (!matches) {
    co_return PeerError(ResultCode::kPeerRefused,
                        aTarget.host_ + ": " + text.substr(0, 200));
  }
  co_return answer.at("result");
}

bool PeerRpc::IsRpcRequest(const HttpRequest& aRequest)
{
  return aRequest.method_ == "POST" && aRequest.Path() == kPath;
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
  bytes_ += request.body_.size();
  const std::string answer = server_.Dispatch(request.body_);
  bytes_ += answer.size();
  co_await aExchange.Send(ResponseOf(answer, Sign(answer)));
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
