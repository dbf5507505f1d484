#include "gooseberrylift/internal/gooseberrylift-json-rpc.h"

#include <map>
#include <mutex>

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

namespace gooseberrylift {

namespace {

std::string TextOf(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

Json::Value ValueOf(const std::string& aText)
{
  Json::Value value;
  const std::unique_ptr<Json::CharReader> reader(
    Json::CharReaderBuilder().newCharReader());
  reader->parse(aText.data(), aText.data() + aText.size(), &value, nullptr);
  return value;
}

// The library's client wants to send and receive in one blocking call. Here
// the request is caught on its way out, and an answer that the asynchronous
// transport brought is handed back in a second call.
class CapturingConnector : public jsonrpc::IClientConnector
{
public:
  explicit CapturingConnector(std::string aAnswer)
    : answer_(std::move(aAnswer))
  {
  }

  void SendRPCMessage(const std::string& aMessage, std::string& aResult) throw(
    jsonrpc::JsonRpcException) override
  {
    sent_ = aMessage;
    aResult = answer_;
  }

  const std::string& Sent() const { return sent_; }

private:
  std::string answer_;
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
    aOutput = ValueOf(method(TextOf(aInput)));
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
  std::string answer;
  impl_->protocol_->HandleRequest(aRequest, answer);
  return answer;
}

std::string MakeJsonRpcRequest(const std::string& aMethod,
                               const std::string& aParams)
{
  CapturingConnector connector("");
  jsonrpc::Client client(connector);
  try {
    client.CallMethod(aMethod, ValueOf(aParams));
  } catch (const jsonrpc::JsonRpcException&) {
    // There is no answer yet; the request was caught.
  }
  return connector.Sent();
}

bool ReadJsonRpcAnswer(const std::string& aAnswer, std::string& aResult)
{
  CapturingConnector connector(aAnswer);
  jsonrpc::Client client(connector);
  try {
    aResult = TextOf(client.CallMethod("", Json::Value(Json::objectValue)));
    return true;
  } catch (const jsonrpc::JsonRpcException&) {
    return false;
  }
}

} // namespace gooseberrylift
