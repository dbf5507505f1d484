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

// How often, and how many times, a host reads a key that another host is about
// to create. Hosts of a fleet start within a third of a second of each other,
// and a write takes a few ms.
constexpr milliseconds kReadAttemptInterval{ 200 };
constexpr int kMaxReadAttempts = 5;

// Limits of the delay between retries while the store is unavailable, which is
// doubled each time. A host without the key still serves requests; it only
// receives no state of other hosts.
constexpr milliseconds kInitialRetryDelay{ 250 };
constexpr milliseconds kMaxRetryDelay{ 2'000 };

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

// Creates the key if it is missing. Returns an empty string on failure, also if
// another host created the key first; the next read then finds it.
asio::awaitable<std::string> ReadOrCreate(ObjectStore& aStore)
{
  const TimePoint deadline = TimerService::Now() + kTimeout;
  auto object = co_await aStore.Read(kKind, kName, deadline);
  if (IsMissing(object)) {
    object = co_await aStore.Create(NewKey(), deadline);
  }
  co_return KeyOf(object);
}

} // namespace

asio::awaitable<std::string> ObtainPeerKey(ObjectStore& aStore,
                                           bool aStartsFleet)
{
  int attempts = aStartsFleet ? kMaxReadAttempts : 0;
  milliseconds retryDelay = kInitialRetryDelay;
  while (true) {
    const TimePoint deadline = TimerService::Now() + kTimeout;
    const auto object = co_await aStore.ReadAllowStale(kKind, kName, deadline);
    std::string key = KeyOf(object);
    if (key.empty() && IsMissing(object) && attempts < kMaxReadAttempts) {
      ++attempts;
      co_await TimerService::SleepFor(kReadAttemptInterval);
      continue;
    }
    if (key.empty() && IsMissing(object)) {
      key = co_await ReadOrCreate(aStore);
    }
    if (!key.empty()) {
      co_return key;
    }
    co_await TimerService::SleepFor(retryDelay);
    retryDelay = std::min(retryDelay * 2, kMaxRetryDelay);
  }
}

} // namespace gooseberrylift
