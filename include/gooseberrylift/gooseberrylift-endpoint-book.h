// Joins what is heard of the endpoints: the platform's lagging list, the
// endpoints' own load reports, and failures met while using them.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_ENDPOINT_BOOK_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_ENDPOINT_BOOK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

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
  };

  explicit EndpointBook(Options aOptions);

  /// Takes in the platform's list. An endpoint that it no longer shows is
  /// dropped, except that an empty list is taken for a fault of the list.
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

  /// Gives all endpoints in order of their names.
  std::vector<EndpointView> Views() const;

private:
  struct Entry
  {
    EndpointView view_;
    bool listedLeaving_ = false;
    bool saidLeaving_ = false; // sticky for this incarnation
    int failures_ = 0;
  };

  bool Refresh(Entry& aEntry) const;

  Options options_;
  std::map<std::string, Entry> entries_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_ENDPOINT_BOOK_H_
