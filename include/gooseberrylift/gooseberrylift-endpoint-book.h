// Joins what is heard of the endpoints: the platform's lagging list, the
// endpoints' own load reports, and failures met while using them.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_ENDPOINT_BOOK_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_ENDPOINT_BOOK_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gooseberrylift/gooseberrylift-digest.h"
#include "gooseberrylift/gooseberrylift-endpoint.h"

namespace gooseberrylift {

// What an endpoint said of itself.
struct EndpointReport
{
  bool leaving_ = false;
  std::uint64_t incarnation_ = 0; // 0 when it gave none
  LoadReport load_{};
};

// Not thread-safe; one owner feeds it events that carry the time.
//
//   EndpointBook book({});
//   book.OnList(listed, now);
//   book.OnReport("engine-1", report, now);
//   for (const EndpointView& view : book.Views()) ...
class EndpointBook
{
public:
  struct Options
  {
    // One missed report is a lost packet; the endpoint is dead when this many
    // in a row fail, which at the usual poll of 250 ms takes 0.75 s.
    int failuresUntilDead_ = 3;
    // How long an endpoint that the list no longer shows is kept while it
    // still answers. Longer than the list's lag and faults of a minute.
    std::chrono::milliseconds keepUnlisted_{ 120'000 };
  };

  explicit EndpointBook(Options aOptions);

  /// Takes in the platform's list. An endpoint that it no longer shows is
  /// dropped once it fails to answer too: a list that came empty or cut short
  /// must not take away endpoints that serve.
  /// @param aListed the endpoints as listed
  /// @param aNow the current time
  /// @return true when a view changed
  bool OnList(const std::vector<EndpointView>& aListed, TimePoint aNow);

  /// Takes in an endpoint's own word, which goes before the list.
  bool OnReport(const std::string& aName,
                const EndpointReport& aReport,
                TimePoint aNow);

  /// Notes that an endpoint gave no report or refused a connection.
  bool OnFailure(const std::string& aName, TimePoint aNow);

  /// Notes that an endpoint refused work because it is leaving.
  bool OnLeaving(const std::string& aName, TimePoint aNow);

  /// Takes in a peer's word. Leaving is believed at once, for the incarnation
  /// that it is said of: an endpoint never comes back from it, so a late word
  /// does no harm. Dead is only a doubt, because the peer itself may be cut
  /// off: it counts as one failure more, so that this host's own next failure
  /// decides sooner, and its own next success clears it.
  bool OnPeerWord(const EndpointDigest& aWord, TimePoint aNow);

  /// Gives all endpoints in order of their names.
  std::vector<EndpointView> Views() const;

private:
  struct Entry
  {
    EndpointView view_;
    bool listedLeaving_ = false;
    bool saidLeaving_ = false; // sticky for this incarnation
    int failures_ = 0;         // in a row, this host's own
    bool doubted_ = false;     // by a peer, since our last success
    TimePoint listed_{};
  };

  bool Refresh(Entry& aEntry) const;
  std::size_t DropUnlisted(TimePoint aNow);

  Options options_;
  std::map<std::string, Entry> entries_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_ENDPOINT_BOOK_H_
