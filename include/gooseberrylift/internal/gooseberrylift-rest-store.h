// Object store client for the conventions of the Kubernetes API: REST, versions
// in metadata.resourceVersion, and watches as a stream of JSON lines.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_REST_STORE_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_REST_STORE_H_

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberrylift/internal/gooseberrylift-http-client.h"
#include "gooseberrylift/internal/gooseberrylift-store.h"

namespace gooseberrylift {

// Uses one of the store's addresses until a call to it fails, and then the next
// one. Thread-safe.
class RestStore : public ObjectStore
{
public:
  struct Options
  {
    std::vector<std::string> addresses_; // IP:port, at least one
    // Called before each request with its type: "read", "list", "write" or
    // "watch".
    std::function<void(std::string_view aKind)> onCall_;
    // Called for each object of a list, and each event of a watch, that can't
    // be read, each time that it is received, with what can be read of the
    // object and the reason. The list or watch has the others.
    std::function<void(const StoreObject& aObject, const std::string& aFault)>
      onUnreadable_{};
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
  boost::asio::awaitable<Outcome<std::string>> Fetch(HttpRequest aRequest,
                                                     TimePoint aDeadline);
  boost::asio::awaitable<Outcome<nlohmann::json>> Call(HttpRequest aRequest,
                                                       TimePoint aDeadline);
  const std::string& Address() const;
  void ReportCall(std::string_view aKind) const;
  nlohmann::json ParseReadableList(const std::string& aKind,
                                   const std::string& aText) const;
  void ReportUnreadable(const std::string& aKind,
                        std::string_view aText,
                        const std::string& aFault) const;
  std::optional<StoreEvent> ParseEvent(const std::string& aKind,
                                       std::string_view aLine) const;

  HttpClient& client_;
  Options options_;
  std::atomic<std::size_t> current_ = 0; // index of the address, modulo count
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_REST_STORE_H_
