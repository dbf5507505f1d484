#include "gooseberrylift/internal/gooseberrylift-peer-keys.h"

#include <algorithm>
#include <random>

#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr const char* kKind = "peer-keys";
constexpr const char* kName = "main";
constexpr const char* kKey = "key";
constexpr milliseconds kTimeout{ 1'000 };

// Between two looks for a key that another host is about to write, and how many
// of them: hosts of a fleet start within a third of a second of each other, and
// a write takes some ms.
constexpr milliseconds kLookPause{ 200 };
constexpr int kLooks = 5;

// Between two tries while the store is away, doubled up to the most: a host
// without the key serves all the same, it only knows nothing of the others.
constexpr milliseconds kFirstPause{ 250 };
constexpr milliseconds kMostPause{ 2'000 };

StoreObject NewKey()
{
  std::random_device device;
  std::string key;
  for (int word = 0; word < 8; ++word) { // 256 bits
    key += std::to_string(device()) + "-";
  }
  StoreObject object{ .kind_ = kKind, .name_ = kName };
  object.spec_[kKey] = key;
  return object;
}

std::string KeyOf(const Outcome<StoreObject>& aObject)
{
  if (!aObject || !aObject.value().spec_.is_object()) {
    return {};
  }
  const nlohmann::json& spec = aObject.value().spec_;
  const auto found = spec.find(kKey);
  return found != spec.end() && found->is_string() ? found->get<std::string>()
                                                   : std::string();
}

bool IsMissing(const Outcome<StoreObject>& aObject)
{
  return !aObject && aObject.error().code_ == ResultCode::kStoreNotFound;
}

// Another host may be faster; then the next reading shows its key.
asio::awaitable<std::string> ReadOrWrite(ObjectStore& aStore)
{
  const TimePoint limit = TimerService::Now() + kTimeout;
  auto object = co_await aStore.Read(kKind, kName, limit);
  if (IsMissing(object)) {
    object = co_await aStore.Create(NewKey(), limit);
  }
  co_return KeyOf(object);
}

} // namespace

asio::awaitable<std::string> ObtainPeerKey(ObjectStore& aStore,
                                           bool aStartsFleet)
{
  int looks = aStartsFleet ? kLooks : 0;
  milliseconds pause = kFirstPause;
  while (true) {
    const TimePoint limit = TimerService::Now() + kTimeout;
    const auto object = co_await aStore.ReadAllowStale(kKind, kName, limit);
    std::string key = KeyOf(object);
    if (key.empty() && IsMissing(object) && looks < kLooks) {
      ++looks;
      co_await TimerService::SleepFor(kLookPause);
      continue;
    }
    if (key.empty() && IsMissing(object)) {
      key = co_await ReadOrWrite(aStore);
    }
    if (!key.empty()) {
      co_return key;
    }
    co_await TimerService::SleepFor(pause);
    pause = std::min(pause * 2, kMostPause);
  }
}

} // namespace gooseberrylift
