// Test harness for hosts that serve routes: the platform's store, endpoints
// registered in it, and hosts.

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
    // The first hosts, which reach the endpoints only through Link(). They
    // have a store of their own, whose entries name the links' addresses.
    int linkedHosts_ = 0;
    std::string
      settingsPath_; // first host's settings file; empty: inline settings
  };

  explicit GatewayDeployment(Options aOptions);

  Fake& Store() { return *store_; }
  Fake& LinkStore() { return *linkStore_; } // of the linked hosts
  Fake& Engine(std::size_t aIndex) { return *engines_.at(aIndex); }
  Fake& Board(std::size_t aIndex) { return *boards_.at(aIndex); }
  Host& At(std::size_t aIndex) { return *hosts_.at(aIndex); }

  /// Returns the link of the linked hosts to an endpoint: first those of the
  /// engines, then those of the boards.
  Proxy& Link(std::size_t aIndex) { return *links_.at(aIndex); }

  std::size_t CountLinks() const { return links_.size(); }

  /// Returns the number of services that have endpoints.
  std::size_t CountServices() const
  {
    return (engines_.empty() ? 0U : 1U) + (boards_.empty() ? 0U : 1U);
  }

  /// Returns the initial route document. A test may change the copy and pass it
  /// to PutDocument().
  json Document() const { return document_; }

  /// Writes a route document to the store.
  void PutDocument(const json& aDocument);

  /// Registers an endpoint in the store.
  void List(const std::string& aId,
            const Fake& aFake,
            const std::string& aService,
            const std::string& aState = "ready",
            const std::string& aZone = "zone-a");

  /// Changes the state of an engine in the store.
  void SetEngineState(std::size_t aIndex, const std::string& aState);

  /// Writes an object to the store.
  /// @param aKey KIND/NAME
  void Put(const std::string& aKey, const json& aSpec);

  /// Removes an object from the store.
  /// @param aKey KIND/NAME
  void Remove(const std::string& aKey);

  /// Returns the settings of a host.
  json HostSettings(const std::string& aName, bool aLinked = false) const;

  /// Returns the settings of a host with a seed address on which no host
  /// listens, so that it learns its peers only from the store.
  json LoneHostSettings(const std::string& aName) const;

  /// Sums a counter for one request ID, such as arrivals or runs, over all
  /// endpoints.
  int Count(const std::string& aCount, const std::string& aAttemptId);

  /// Sends a request to the first host.
  Outcome<HttpResponse> SendToFirstHost(HttpRequest aRequest);

private:
  void Write(const json& aChange);

  Options options_;
  json document_;
  std::unique_ptr<Fake> store_;
  std::unique_ptr<Fake> linkStore_; // of the linked hosts
  std::vector<std::unique_ptr<Proxy>> links_;
  std::vector<std::unique_ptr<Fake>> engines_;
  std::vector<std::unique_ptr<Fake>> boards_;
  std::vector<std::unique_ptr<Host>> hosts_;
};

/// Creates the store's entry of an endpoint.
json EndpointEntry(const std::string& aAddress,
                   const std::string& aService,
                   const std::string& aState = "ready",
                   const std::string& aZone = "zone-a");

/// Returns the key of an endpoint's entry in the store.
std::string EndpointKey(const std::string& aId);

/// Creates a caller's request.
/// @param aAttemptId the request's ID, which the response echoes
HttpRequest RouteRequest(const std::string& aMethod,
                         const std::string& aPath,
                         const std::string& aAttemptId,
                         const std::string& aKey = "team-key");

/// Creates a streaming request for the route /stream/.
HttpRequest StreamRequest(const std::string& aAttemptId,
                          std::uint64_t aPromptTokens = 1000);

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_GATEWAY_H_
