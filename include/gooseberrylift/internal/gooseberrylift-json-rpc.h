// JSON-RPC 2.0 encoding and dispatch, based on libjsonrpccpp without its
// transports. The library's headers require C++14, so the adapter is a separate
// build target, and this header, which both targets include, uses only strings
// and functions.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_JSON_RPC_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_JSON_RPC_H_

#include <functional>
#include <memory>
#include <string>

namespace gooseberrylift {

// Dispatches requests to methods by name:
//
//   JsonRpcServer server;
//   server.Add("exchange", [](const std::string& aParams) { ... });
//   const std::string response = server.Dispatch(body);
//
// Add must be called before the first Dispatch. Dispatch is thread-safe if the
// methods are.
class JsonRpcServer
{
public:
  // Receives the parameters and returns the result, both as JSON text.
  using Method = std::function<std::string(const std::string& aParams)>;

  JsonRpcServer();
  ~JsonRpcServer();
  JsonRpcServer(const JsonRpcServer&) = delete;
  JsonRpcServer& operator=(const JsonRpcServer&) = delete;

  /// Registers a method.
  void Add(const std::string& aName, Method aMethod);

  /// Handles one request.
  /// @param aRequest JSON text of the request
  /// @return JSON text of the response, also for a malformed request
  std::string Dispatch(const std::string& aRequest);

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Returns the JSON text of a request.
/// @param aMethod name of the method
/// @param aParams JSON object with the parameters
std::string MakeJsonRpcRequest(const std::string& aMethod,
                               const std::string& aParams);

/// Parses the JSON text of a response.
/// @param aResponse text that the server sent
/// @param aResult set to the JSON text of the result
/// @return false if the text is not a valid response or contains an error
bool ParseJsonRpcResponse(const std::string& aResponse, std::string& aResult);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_JSON_RPC_H_
