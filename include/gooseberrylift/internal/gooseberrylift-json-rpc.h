// JSON-RPC 2.0 by libjsonrpccpp: codec and dispatch, without its transports.
// The library's headers need C++14, so its adapter is a target of its own and
// this header, which both sides read, shows only strings and functions.

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
//   const std::string answer = server.Dispatch(body);
//
// Add is called before the first Dispatch; Dispatch is safe from any thread
// when the methods are.
class JsonRpcServer
{
public:
  // Takes the parameters' JSON and gives the result's JSON.
  using Method = std::function<std::string(const std::string& aParams)>;

  JsonRpcServer();
  ~JsonRpcServer();
  JsonRpcServer(const JsonRpcServer&) = delete;
  JsonRpcServer& operator=(const JsonRpcServer&) = delete;

  /// Adds a method.
  void Add(const std::string& aName, Method aMethod);

  /// Answers one request.
  /// @param aRequest the request's text
  /// @return the answer's text, also for a malformed request
  std::string Dispatch(const std::string& aRequest);

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Writes the text of a request.
/// @param aMethod the method's name
/// @param aParams the parameters, a JSON object
std::string MakeJsonRpcRequest(const std::string& aMethod,
                               const std::string& aParams);

/// Reads the text of an answer.
/// @param aAnswer what the server sent
/// @param aResult set to the result's JSON
/// @return false when it is no answer or carries an error
bool ReadJsonRpcAnswer(const std::string& aAnswer, std::string& aResult);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_JSON_RPC_H_
