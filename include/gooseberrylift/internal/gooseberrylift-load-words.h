// Tells other hosts in datagrams what this one has in work, and hears them.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LOAD_WORDS_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LOAD_WORDS_H_

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include "gooseberrylift/internal/gooseberrylift-http.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"
#include "gooseberrylift/membership/gooseberrylift-load-word.h"
#include "gooseberrylift/membership/gooseberrylift-word-pace.h"
#include "gooseberrylift/routing/gooseberrylift-endpoint-directory.h"

namespace gooseberrylift {

// Words of load are small, many, and worthless when late; the next one replaces
// a lost one. So they go as datagrams, each under a code of the hosts' shared
// key, to the same port number as the peers' calls. All of it runs on one
// executor, to which its owner's calls belong too.
class LoadWords
{
public:
  struct Parts
  {
    boost::asio::any_io_executor executor_;
    std::function<std::vector<EndpointShare>()> own_;
    // The same at some endpoints.
    std::function<std::vector<EndpointShare>(
      const std::vector<ListedEndpoint>& aEndpoints)>
      ownAt_;
    std::function<std::vector<std::string>()> peers_; // IP:port each
    std::function<void(const LoadWord& aWord)> take_; // of a peer
  };

  struct Options
  {
    std::string host_; // this host's name
    WordPace::Options pace_{};
  };

  LoadWords(Parts aParts, Options aOptions);

  /// Begins to tell and to hear.
  /// @param aKey signs and proves words
  /// @return an error when the port can't be had
  Outcome<void> Start(const std::string& aAddress,
                      std::uint16_t aPort,
                      std::string aKey);

  /// Notes that this host has placed something.
  /// @param aUrgent it is told beyond the bound: a long prompt, for which the
  /// others would take the same idle endpoints
  void OnPlaced(const std::vector<ListedEndpoint>& aEndpoints, bool aUrgent);

  /// Notes that something has ended.
  void OnEnded() { SendWholeSoon(); }

private:
  boost::asio::awaitable<void> SendAt(TimePoint aWhen);
  boost::asio::awaitable<void> Receive();
  void SendWhole();
  void SendWholeSoon();
  void Send(const LoadWord& aWord);
  void Repeat();
  void TakeIn(std::string_view aDatagram);

  Parts parts_;
  Options options_;
  WordPace pace_;
  boost::asio::ip::udp::socket socket_;
  std::string key_;
  std::uint64_t sequence_ = 0;
  bool armed_ = false; // a word is to be sent soon
  bool told_ = false;  // the last word said something
  TimerSubscription repeat_;
  std::array<char, 2048> buffer_{}; // a packet bears less
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_LOAD_WORDS_H_
