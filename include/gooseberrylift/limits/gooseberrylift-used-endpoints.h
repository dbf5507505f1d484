// The endpoints that one request of a caller was sent to.

#ifndef GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_USED_ENDPOINTS_H_
#define GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_USED_ENDPOINTS_H_

#include <map>
#include <optional>
#include <set>
#include <string>

namespace gooseberrylift {

// Counts endpoints rather than attempts: a route limits how many endpoints may
// run a request. A stream whose attempt ended without a fault of its endpoint,
// such as by the stop of the host that held it, may continue there although no
// further endpoint may receive it. An endpoint that failed the request and
// receives it again counts again.
class UsedEndpoints
{
public:
  /// Records that part of the request was sent to an endpoint.
  /// @param aFailed endpoints that failed the request
  void OnSent(const std::string& aEndpoint,
              const std::set<std::string>& aFailed);

  /// Records that an endpoint has refused an attempt, which will not run there.
  /// It still counts if another attempt was sent to it.
  void OnRefused(const std::string& aEndpoint);

  /// Records that the request was relayed to a host, which counts as one
  /// endpoint until it is known better.
  void OnRelayed() { ++count_; }

  /// Records which endpoint the last host responds from.
  /// @param aFailed endpoints that failed the request
  void OnIdentified(const std::string& aEndpoint,
                    const std::set<std::string>& aFailed);

  /// Records to how many endpoints the last host has sent the request, of which
  /// none responded.
  void OnReported(int aSends) { count_ += aSends - 1; }

  /// Returns the number of endpoints that may have received the request.
  int Count() const { return count_; }

  /// Returns those of the endpoints that failed the request to which it was
  /// sent. Others are only out of this host's reach.
  /// @param aFailed endpoints that failed the request
  std::set<std::string> SentAndFailed(
    const std::set<std::string>& aFailed) const;

  /// Returns the endpoints that may receive the request next: nothing if all
  /// may, and an empty set if none may.
  /// @param aMax number of endpoints that may receive it
  /// @param aFailed endpoints that failed the request
  std::optional<std::set<std::string>> AllowedNext(
    int aMax,
    const std::set<std::string>& aFailed) const;

private:
  struct Use
  {
    int attempts_ = 0; // that may have run
    int counted_ = 0;  // how often the endpoint counts
  };

  std::map<std::string, Use> known_;
  int count_ = 0;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_LIMITS_GOOSEBERRYLIFT_USED_ENDPOINTS_H_
