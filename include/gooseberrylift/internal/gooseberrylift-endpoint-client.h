// The path of all requests from a host that serves routes to endpoints.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENDPOINT_CLIENT_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENDPOINT_CLIENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "gooseberrylift/internal/gooseberrylift-fleet.h"
#include "gooseberrylift/internal/gooseberrylift-http-client.h"
#include "gooseberrylift/internal/gooseberrylift-link-prober.h"
#include "gooseberrylift/internal/gooseberrylift-metrics.h"
#include "gooseberrylift/internal/gooseberrylift-wire-dialect.h"

namespace gooseberrylift {

// What a request means to its endpoint.
enum class EndpointPurpose
{
  kWork, // asks for work or memory; needs the endpoint's consent
  // Renews or releases memory of a request that is being processed. It is also
  // sent to an endpoint that is leaving or asked for a backoff: without it the
  // request would be aborted, or the memory would stay reserved for longer.
  kUpkeep,
};

// Checks right before the first byte is written that the endpoint may still
// receive requests, because it may have withdrawn while a request waited for
// memory or a connection. Passes on to the fleet what an endpoint states about
// itself in its responses, whatever was requested, and to the link prober
// whether endpoints accept connections and respond. Thread-safe.
class EndpointClient
{
public:
  struct Parts
  {
    HttpClient& client_;
    const WireDialect& dialect_;
    Fleet& fleet_;
    Metrics& metrics_;
    LinkProber& links_;
  };

  struct CallOptions
  {
    EndpointPurpose purpose_ = EndpointPurpose::kWork;
    // Endpoints that the request makes do part of the work.
    std::vector<ListedEndpoint> helpers_{};
    std::string requestId_{}; // for the log
    // Called right before the first byte is written; an error cancels the call.
    std::function<std::optional<Error>()> checkRequest_{};
    HttpClient::CallOptions http_{};
  };

  explicit EndpointClient(Parts aParts)
    : parts_(aParts)
  {
  }

  /// Sends a request; see HttpClient::Send.
  /// @return the call, or an error: kEndpointWithdrawn if the endpoint or a
  /// helper may not receive requests any more, or that of checkRequest_; in
  /// both cases nothing was sent
  boost::asio::awaitable<Outcome<std::unique_ptr<HttpCall>>> Send(
    ListedEndpoint aEndpoint,
    HttpRequest aRequest,
    TimePoint aDeadline,
    CallOptions aOptions);

  /// Sends a request and reads the complete response.
  /// @return the response, or the same errors as Send
  boost::asio::awaitable<Outcome<HttpResponse>> Fetch(ListedEndpoint aEndpoint,
                                                      HttpRequest aRequest,
                                                      TimePoint aDeadline,
                                                      CallOptions aOptions);

  /// Returns whether an endpoint has exited, as far as a refused connection
  /// shows it.
  boost::asio::awaitable<bool> HasExited(ListedEndpoint aEndpoint);

private:
  std::optional<Error> CheckSend(const ListedEndpoint& aEndpoint,
                                 const CallOptions& aOptions) const;

  Parts parts_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_ENDPOINT_CLIENT_H_
