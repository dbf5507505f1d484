#include "gooseberrylift/internal/gooseberrylift-member-list.h"

#include <algorithm>
#include <functional>
#include <random>

#include "gooseberrylift/gooseberrylift-json-text.h"
#include "gooseberrylift/internal/gooseberrylift-peer-exchange.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

// An incarnation is the wall-clock time of a host's start in milliseconds. A
// member that started within this time is kept even if it is not known to be
// live, because its first messages may not have arrived yet.
constexpr std::uint64_t kNewMemberMs = 120'000;

// A failed attempt normally means that another host of the zone wrote the list.
constexpr int kMaxAttempts = 16;

// Upper bound of the random delay before the second attempt; doubled with each
// further one. Hosts that start together all write the same object: without the
// delays thirty of them make 900 calls, of which thirty succeed. A write takes
// about 10 ms.
constexpr std::chrono::milliseconds kInitialBackoff{ 40 };
constexpr int kMaxBackoffDoublings = 4;

std::chrono::milliseconds RandomBackoff(int aAttempt, std::minstd_rand& aRandom)
{
  const auto bound =
    kInitialBackoff * (1 << std::min(aAttempt, kMaxBackoffDoublings));
  return std::chrono::milliseconds(aRandom() %
                                   static_cast<std::uint64_t>(bound.count()));
}

// Skips members that no host wrote: any client may write to the store.
std::vector<PeerMember> ParseMembers(const StoreObject& aObject)
{
  std::vector<PeerMember> members;
  const json& spec = aObject.spec_;
  const auto list = spec.is_object() ? spec.find("members") : spec.end();
  if (list == spec.end() || !list->is_array()) {
    return members;
  }
  for (const json& item : *list) {
    PeerMember member{ .host_ = JsonFieldOr(item, "host", std::string()),
                       .zone_ = aObject.name_,
                       .region_ = JsonFieldOr(item, "region", std::string()),
                       .address_ = JsonFieldOr(item, "address", std::string()),
                       .incarnation_ =
                         JsonFieldOr(item, "incarnation", std::uint64_t{ 0 }) };
    if (!member.host_.empty() && !member.address_.empty()) {
      members.push_back(std::move(member));
    }
  }
  return members;
}

json MakeSpec(const std::vector<PeerMember>& aMembers)
{
  json list = json::array();
  for (const PeerMember& member : aMembers) {
    json item = { { "host", member.host_ },
                  { "address", member.address_ },
                  { "incarnation", member.incarnation_ } };
    if (!member.region_.empty()) {
      item["region"] = member.region_;
    }
    list.push_back(std::move(item));
  }
  json spec = json::object();
  spec["members"] = std::move(list);
  return spec;
}

bool IsRegistered(const std::vector<PeerMember>& aMembers,
                  const PeerMember& aSelf)
{
  return std::any_of(
    aMembers.begin(), aMembers.end(), [&](const PeerMember& aMember) {
      return aMember.host_ == aSelf.host_ &&
             aMember.address_ == aSelf.address_ &&
             aMember.incarnation_ >= aSelf.incarnation_;
    });
}

std::vector<PeerMember> AddSelfAndPrune(std::vector<PeerMember> aMembers,
                                        const PeerMember& aSelf,
                                        const std::set<std::string>& aLive)
{
  std::erase_if(aMembers, [&](const PeerMember& aMember) {
    const bool isNew = aMember.incarnation_ + kNewMemberMs > aSelf.incarnation_;
    return aMember.host_ == aSelf.host_ ||
           (!isNew && !aLive.contains(aMember.host_));
  });
  aMembers.push_back(aSelf);
  return aMembers;
}

// Returns the object of a zone; one without a version if there is none.
asio::awaitable<Outcome<StoreObject>> ZoneObject(ObjectStore& aStore,
                                                 const StoreList& aList,
                                                 std::string aZone,
                                                 TimePoint aDeadline)
{
  if (const StoreObject* found = aList.Find(aZone)) {
    co_return *found;
  }
  if (!aList.complete_) {
    auto object = co_await aStore.Read(kMembersKind, aZone, aDeadline);
    if (object || object.error().code_ != ResultCode::kStoreNotFound) {
      co_return object;
    }
  }
  StoreObject object{ .kind_ = kMembersKind, .name_ = aZone };
  co_return object;
}

std::vector<PeerMember> AllMembers(const StoreList& aList)
{
  std::vector<PeerMember> all;
  for (const StoreObject& object : aList.items_) {
    const std::vector<PeerMember> members = ParseMembers(object);
    all.insert(all.end(), members.begin(), members.end());
  }
  return all;
}

asio::awaitable<Outcome<StoreObject>> Write(ObjectStore& aStore,
                                            StoreObject aObject,
                                            TimePoint aDeadline)
{
  if (aObject.version_.empty()) {
    co_return co_await aStore.Create(std::move(aObject), aDeadline);
  }
  co_return co_await aStore.Update(std::move(aObject), aDeadline);
}

} // namespace

asio::awaitable<Outcome<std::vector<PeerMember>>> JoinMemberList(
  ObjectStore& aStore,
  PeerMember aSelf,
  std::set<std::string> aLive,
  TimePoint aDeadline)
{
  std::minstd_rand random(
    std::hash<std::string>{}(aSelf.host_ + std::to_string(aSelf.incarnation_)));
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto list = co_await aStore.List(kMembersKind, aDeadline);
    if (!list) {
      co_return list.error();
    }
    const auto read =
      co_await ZoneObject(aStore, list.value(), aSelf.zone_, aDeadline);
    if (!read) {
      co_return read.error();
    }
    StoreObject object = read.value();
    const std::vector<PeerMember> members = ParseMembers(object);
    if (IsRegistered(members, aSelf)) {
      co_return AllMembers(list.value());
    }
    object.spec_ = MakeSpec(AddSelfAndPrune(members, aSelf, aLive));
    // The next iteration reads the list again regardless of the response, which
    // handles conflicts and lost responses alike.
    const auto written = co_await Write(aStore, std::move(object), aDeadline);
    if (!written) {
      co_await TimerService::SleepFor(RandomBackoff(attempt, random));
    }
  }
  co_return MakeError(ResultCode::kStoreConflict,
                      "cannot register in the member list of this host's zone");
}

} // namespace gooseberrylift
