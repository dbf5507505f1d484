// The ports of a host, opened one by one as they become available.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LISTENERS_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LISTENERS_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/system/error_code.hpp>

#include "gooseberrylift/gooseberrylift-endpoint.h"
#include "gooseberrylift/gooseberrylift-settings.h"
#include "gooseberrylift/internal/gooseberrylift-http-server.h"
#include "gooseberrylift/internal/gooseberrylift-metrics.h"
#include "gooseberrylift/internal/gooseberrylift-peer-datagrams.h"

namespace gooseberrylift {

// A port that is held by another process, or whose address the machine doesn't
// have yet, is tried again until it opens or the host stops. A host serves
// callers as soon as their port is open, whether the others are or not:
//
//   Listeners listeners({ .metrics_ = metrics, .onServing_ = [] { ... } });
//   listeners.Add("caller", server, settings.caller_); // the first one
//   listeners.Add("admin", adminServer, settings.admin_);
//   const Outcome<void> opened = listeners.Open();
//   SpawnLoop(executor, [&] { return listeners.Run(); });
class Listeners
{
public:
  struct Parts
  {
    Metrics& metrics_;
    // Is called once, when the port added first is open.
    std::function<void()> onServing_;
  };

  explicit Listeners(Parts aParts)
    : parts_(std::move(aParts))
  {
  }

  /// Adds the port of a server.
  /// @param aName name in logs and metrics
  void Add(const std::string& aName,
           HttpServer& aServer,
           const ListenSettings& aSettings);

  /// Adds the port between hosts: the first one of the range in the settings
  /// that is free for TCP and, with aDatagrams, for UDP as well. If none is, a
  /// port that is free for TCP is used until UDP is free there.
  /// @param aDatagrams may be null
  /// @param aOnOpened is called once the port is open for TCP
  void AddPeerPort(HttpServer& aServer,
                   PeerDatagrams* aDatagrams,
                   const ListenSettings& aSettings,
                   std::function<void()> aOnOpened);

  /// Tries each port once.
  /// @return kListenFailed if a port can never be opened as the settings say
  Outcome<void> Open();

  /// Tries the ports again that are not open. Ends when all are.
  boost::asio::awaitable<void> Run();

  /// Lets no further port open. Thread-safe.
  void Stop() { stopped_ = true; }

private:
  struct Listener
  {
    std::string name_;
    std::string address_; // in logs
    std::function<boost::system::error_code()> open_;
    std::function<std::uint16_t()> port_;
    std::function<void()> onOpened_;
    bool isOpen_ = false;
    boost::system::error_code lastError_{};
    TimePoint firstAttempt_{};
    TimePoint lastLog_{};
  };

  void AddDatagramPort(PeerDatagrams& aDatagrams,
                       const std::string& aAddress,
                       std::uint16_t aPort);
  void AttemptAll();
  void NotifyIfServing();
  void Attempt(Listener& aListener);
  void OnOpened(Listener& aListener);
  void OnFailed(Listener& aListener);
  bool IsWaiting() const;

  Parts parts_;
  std::list<Listener> listeners_; // may grow while ports are opened
  bool serving_ = false;
  std::atomic<bool> stopped_ = false;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LISTENERS_H_
