// A small deployment whose hosts serve routes: the platform's store, endpoints
// that list themselves there, and hosts.

#ifndef GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_GATEWAY_H_
#define GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_GATEWAY_H_

#include "harness.h"

#include "gooseberrylift-fleet-names.h"

namespace gooseberrylift::test {

// Routes: /stream/ (resumable, service "engines"), /safe/ and /unsafe/
// (service "board"), /open/ (public). Team "porters" has the key "team-key".
class GatewayDeployment
{
public:
  struct Options
  {
    int hosts_ = 1;
    int engines_ = 2;
    int boards_ = 2;
    json engine_ = json::object();  // merged into each endpoint's settings
    json gateway_ = json::object(); // merged into the hosts' section "gateway"
    json host_ = json::object();    // merged into all settings of the hosts
    std::string settingsPath_;      // the first host's file; empty: none
  };

  explicit GatewayDeployment(Options aOptions);

  Fake& Store() { return *store_; }
  Fake& Engine(std::size_t aIndex) { return *engines_.at(aIndex); }
  Fake& Board(std::size_t aIndex) { return *boards_.at(aIndex); }
  Host& At(std::size_t aIndex) { return *hosts_.at(aIndex); }

  /// Gives the route document, for a test to change and put.
  json Document() const { return document_; }

  /// Puts a route document into the store.
  void PutDocument(const json& aDocument);

  /// Lists an endpoint in the store.
  void List(const std::string& aId,
            const Fake& aFake,
            const std::string& aService,
            const std::string& aState = "ready",
            const std::string& aZone = "zone-a");

  /// Puts an object into the store.
  /// @param aKey KIND/NAME
  void Put(const std::string& aKey, const json& aSpec);

  /// Removes an object from the store.
  /// @param aKey KIND/NAME
  void Remove(const std::string& aKey);

  /// Gives the settings of a host.
  json HostSettings(const std::string& aName) const;

  /// Counts over all endpoints how often a request arrived or ran.
  int Count(const std::string& aCount, const std::string& aAttemptId);

  /// Sends a request with a team key.
  Outcome<HttpResponse> Ask(HttpRequest aRequest);

private:
  Options options_;
  json document_;
  std::unique_ptr<Fake> store_;
  std::vector<std::unique_ptr<Fake>> engines_;
  std::vector<std::unique_ptr<Fake>> boards_;
  std::vector<std::unique_ptr<Host>> hosts_;
};

/// Makes a caller's request.
/// @param aAttemptId its own, which the answer bears too
HttpRequest RouteRequest(const std::string& aMethod,
                         const std::string& aPath,
                         const std::string& aAttemptId,
                         const std::string& aKey = "team-key");

/// Makes a request for a stream of the route /stream/.
HttpRequest StreamRequest(const std::string& aAttemptId,
                          std::uint64_t aPromptTokens = 1000);

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_GATEWAY_H_
