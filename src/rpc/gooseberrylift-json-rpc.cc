#include "gooseberrylift/internal/gooseberrylift-json-rpc.h"

#include <map>
#include <mutex>

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

namespace gooseberrylift {

namespace {

std::string SerializeJson(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

Json::Value ParseJson(const std::string& aText)
{
  Json::Value value;
  const std::unique_ptr<Json::CharReader> reader(
    Json::CharReaderBuilder().newCharReader());
  reader->parse(aText.data(), aText.data() + aText.size(), &value, nullptr);
  return value;
}

// The library's client sends and receives in one blocking call, but the
// transport here is asynchronous. This connector captures the request in a
// first call and supplies the response, once it has arrived, in a second one.
class CapturingConnector : public jsonrpc::IClientConnector
{
public:
  explicit CapturingConnector(std::string aResponse)
    : response_(std::move(aResponse))
  {
  }

  void SendRPCMessage(const std::string& aMessage, std::string& aResult) throw(
    jsonrpc::JsonRpcException) override
  {
    sent_ = aMessage;
    aResult = response_;
  }

  const std::string& Sent() const { return sent_; }

private:
  std::string response_;
  std::string sent_;
};

} // namespace

class JsonRpcServer::Impl : public jsonrpc::IProcedureInvokationHandler
{
public:
  Impl()
    : protocol_(jsonrpc::RequestHandlerFactory::createProtocolHandler(
        jsonrpc::JSONRPC_SERVER_V2,
        *this))
  {
  }

  void HandleMethodCall(jsonrpc::Procedure& aProcedure,
                        const Json::Value& aInput,
                        Json::Value& aOutput) override
  {
    const Method& method = methods_.at(aProcedure.GetProcedureName());
    aOutput = ParseJson(method(SerializeJson(aInput)));
  }

  void HandleNotificationCall(jsonrpc::Procedure& /*aProcedure*/,
                              const Json::Value& /*aInput*/) override
  {
  }

  std::map<std::string, Method> methods_;
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol_;
};

JsonRpcServer::JsonRpcServer()
  : impl_(new Impl)
{
}

JsonRpcServer::~JsonRpcServer() = default;

void JsonRpcServer::Add(const std::string& aName, Method aMethod)
{
  impl_->methods_[aName] = std::move(aMethod);
  impl_->protocol_->AddProcedure(jsonrpc::Procedure(
    aName, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL));
}

std::string JsonRpcServer::Dispatch(const std::string& aRequest)
{
  std::string response;
  impl_->protocol_->HandleRequest(aRequest, response);
  return response;
}

std::string MakeJsonRpcRequest(const std::string& aMethod,
                               const std::string& aParams)
{
  CapturingConnector connector("");
  jsonrpc::Client client(connector);
  try {
    client.CallMethod(aMethod, ParseJson(aParams));
  } catch (const jsonrpc::JsonRpcException&) {
    // Expected, because there is no response yet. The request was captured.
  }
  return connector.Sent();
}

bool ParseJsonRpcResponse(const std::string& aResponse, std::string& aResult)
{
  CapturingConnector connector(aResponse);
  jsonrpc::Client client(connector);
  try {
    aResult =
      SerializeJson(client.CallMethod("", Json::Value(Json::objectValue)));
    return true;
  } catch (const jsonrpc::JsonRpcException&) {
    return false;
  }
}

} // namespace gooseberrylift
