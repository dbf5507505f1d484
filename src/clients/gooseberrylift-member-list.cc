#include "gooseberrylift/internal/gooseberrylift-member-list.h"

#include <algorithm>
#include <functional>
#include <random>

#include "gooseberrylift/internal/gooseberrylift-peer-exchange.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

// Incarnations are wall milliseconds of the start. A member that started
// within this time may not have been heard of yet.
constexpr std::uint64_t kYoungMilliseconds = 120'000;

// Each failed try means that another host of the zone wrote.
constexpr int kTries = 16;

// Before another try, at random up to this, doubled with each one. Hosts that
// start together all write the same object; without the pauses thirty of them
// make 900 calls, of which thirty succeed. A write takes some 10 ms.
constexpr std::chrono::milliseconds kFirstPause{ 40 };
constexpr int kMostDoublings = 4;

std::chrono::milliseconds PauseAfter(int aTries, std::minstd_rand& aRandom)
{
  const auto most = kFirstPause * (1 << std::min(aTries, kMostDoublings));
  return std::chrono::milliseconds(aRandom() %
                                   static_cast<std::uint64_t>(most.count()));
}

std::vector<PeerMember> MembersOf(const StoreObject& aObject)
{
  std::vector<PeerMember> members;
  for (const json& item : aObject.spec_.value("members", json::array())) {
    members.push_back(
      { .host_ = item.value("host", ""),
        .zone_ = aObject.name_,
        .region_ = item.value("region", ""),
        .address_ = item.value("address", ""),
        .incarnation_ = item.value("incarnation", std::uint64_t{ 0 }) });
  }
  return members;
}

json SpecOf(const std::vector<PeerMember>& aMembers)
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

bool Stands(const std::vector<PeerMember>& aMembers, const PeerMember& aSelf)
{
  return std::any_of(
    aMembers.begin(), aMembers.end(), [&](const PeerMember& aMember) {
      return aMember.host_ == aSelf.host_ &&
             aMember.address_ == aSelf.address_ &&
             aMember.incarnation_ >= aSelf.incarnation_;
    });
}

std::vector<PeerMember> WithSelf(std::vector<PeerMember> aMembers,
                                 const PeerMember& aSelf,
                                 const std::set<std::string>& aLive)
{
  std::erase_if(aMembers, [&](const PeerMember& aMember) {
    const bool young =
      aMember.incarnation_ + kYoungMilliseconds > aSelf.incarnation_;
    return aMember.host_ == aSelf.host_ ||
           (!young && !aLive.contains(aMember.host_));
  });
  aMembers.push_back(aSelf);
  return aMembers;
}

StoreObject ZoneObject(const StoreList& aList, const std::string& aZone)
{
  const auto found = std::find_if(
    aList.items_.begin(), aList.items_.end(), [&](const StoreObject& aObject) {
      return aObject.name_ == aZone;
    });
  if (found != aList.items_.end()) {
    return *found;
  }
  return { .kind_ = kMembersKind, .name_ = aZone };
}

std::vector<PeerMember> AllMembers(const StoreList& aList)
{
  std::vector<PeerMember> all;
  for (const StoreObject& object : aList.items_) {
    const std::vector<PeerMember> members = MembersOf(object);
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
  for (int attempt = 0; attempt < kTries; ++attempt) {
    const auto list = co_await aStore.List(kMembersKind, aDeadline);
    if (!list) {
      co_return list.error();
    }
    StoreObject object = ZoneObject(list.value(), aSelf.zone_);
    const std::vector<PeerMember> members = MembersOf(object);
    if (Stands(members, aSelf)) {
      co_return AllMembers(list.value());
    }
    object.spec_ = SpecOf(WithSelf(members, aSelf, aLive));
    // The next turn reads back what became of it, whatever the answer: that
    // settles a conflict and a lost answer alike.
    const auto written = co_await Write(aStore, std::move(object), aDeadline);
    if (!written) {
      co_await TimerService::SleepFor(PauseAfter(attempt, random));
    }
  }
  co_return MakeError(ResultCode::kStoreConflict, "the list of members");
}

} // namespace gooseberrylift
