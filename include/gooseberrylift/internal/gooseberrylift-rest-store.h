// The object store in the dialect of the Kubernetes API: REST, versions as
// metadata.resourceVersion, watches as lines of JSON.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_REST_STORE_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_REST_STORE_H_

#include <atomic>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberrylift/internal/gooseberrylift-http-client.h"
#include "gooseberrylift/internal/gooseberrylift-store.h"

namespace gooseberrylift {

// Talks to the first address that can be connected to and stays with it until
// it fails; safe to use from several threads.
class RestStore : public ObjectStore
{
public:
  struct Options
  {
    std::vector<std::string> addresses_; // IP:port, at least one
    // Told of each call before it is sent: "read", "list", "write", "watch".
    std::function<void(std::string_view aKind)> onCall_;
  };

  RestStore(HttpClient& aClient, Options aOptions);

  boost::asio::awaitable<Outcome<StoreObject>>
  Read(std::string aKind, std::string aName, TimePoint aDeadline) override;
  boost::asio::awaitable<Outcome<StoreList>> List(std::string aKind,
                                                  TimePoint aDeadline) override;
  boost::asio::awaitable<Outcome<StoreObject>> Create(
    StoreObject aObject,
    TimePoint aDeadline) override;
  boost::asio::awaitable<Outcome<StoreObject>> Update(
    StoreObject aObject,
    TimePoint aDeadline) override;
  boost::asio::awaitable<Outcome<void>> Delete(std::string aKind,
                                               std::string aName,
                                               std::string aVersion,
                                               TimePoint aDeadline) override;
  boost::asio::awaitable<Outcome<std::string>> Watch(
    std::string aKind,
    std::string aVersion,
    EventSink aSink,
    std::chrono::milliseconds aWait,
    TimePoint aDeadline) override;

private:
  boost::asio::awaitable<Outcome<nlohmann::json>> Call(HttpRequest aRequest,
                                                       TimePoint aDeadline);
  const std::string& Address() const;
  void Count(std::string_view aKind) const;

  HttpClient& client_;
  Options options_;
  std::atomic<std::size_t> current_ = 0;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_REST_STORE_H_
