// Tests that the clients of both stores refer to objects by any name.

#include "harness-odd-names.h"
#include "harness.h"

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "gooseberrylift-fleet-store.h"
#include "gooseberrylift/internal/gooseberrylift-rest-store.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using namespace std::chrono_literals;

namespace {

constexpr const char* kKind = "things";
constexpr const char* kOther = "a";

// Runs one call of a store's client after the other.
class StoreCalls
{
public:
  explicit StoreCalls(ObjectStore& aStore, boost::asio::io_context& aContext)
    : store_(aStore)
    , context_(aContext)
  {
  }

  Outcome<StoreObject> Create(const StoreObject& aObject)
  {
    return Run(store_.Create(aObject, Deadline()));
  }
  Outcome<StoreObject> Read(const std::string& aName)
  {
    return Run(store_.Read(kKind, aName, Deadline()));
  }
  Outcome<StoreObject> Update(const StoreObject& aObject)
  {
    return Run(store_.Update(aObject, Deadline()));
  }
  Outcome<void> Delete(const StoreObject& aObject)
  {
    return Run(
      store_.Delete(kKind, aObject.name_, aObject.version_, Deadline()));
  }

private:
  static TimePoint Deadline() { return TimerService::Now() + 5s; }

  template<typename Value>
  Outcome<Value> Run(boost::asio::awaitable<Outcome<Value>> aCall)
  {
    std::optional<Outcome<Value>> result;
    boost::asio::co_spawn(
      context_,
      [&]() -> boost::asio::awaitable<void> {
        result = co_await std::move(aCall);
      },
      boost::asio::detached);
    context_.restart();
    context_.run();
    return *result;
  }

  ObjectStore& store_;
  boost::asio::io_context& context_;
};

StoreObject ObjectOf(const std::string& aName, int aNumber)
{
  return { .kind_ = kKind, .name_ = aName, .spec_ = { { "number", aNumber } } };
}

// Returns the number in an object that is read from the store; -1 on errors.
int NumberOf(const Outcome<StoreObject>& aObject, const std::string& aName)
{
  return aObject && aObject.value().name_ == aName
           ? aObject.value().spec_.value("number", -1)
           : -1;
}

// Checks all calls for an object of a name, beside others whose names a part of
// the name could be taken for.
void CheckName(StoreCalls& aCalls, const std::string& aName)
{
  CHECK_TRUE(aCalls.Create(ObjectOf(aName, 1)).has_value());
  const auto read = aCalls.Read(aName);
  LONGS_EQUAL(1, NumberOf(read, aName));
  StoreObject changed = read.value();
  changed.spec_["number"] = 2;
  const auto updated = aCalls.Update(changed);
  LONGS_EQUAL(2, NumberOf(updated, aName));
  LONGS_EQUAL(2, NumberOf(aCalls.Read(aName), aName));
  CHECK_TRUE(aCalls.Delete(updated.value()).has_value());
  CHECK_TRUE(aCalls.Read(aName).error().code_ == ResultCode::kStoreNotFound);
  LONGS_EQUAL(0, NumberOf(aCalls.Read(kOther), kOther));
}

void CheckNames(ObjectStore& aStore, boost::asio::io_context& aContext)
{
  StoreCalls calls(aStore, aContext);
  CHECK_TRUE(calls.Create(ObjectOf(kOther, 0)).has_value());
  for (const std::string& name : kOddNames) {
    CheckName(calls, name);
    CheckName(calls, kOther + name);
  }
}

} // namespace

TEST_GROUP(ObjectNameTest)
{
  boost::asio::io_context context_{ 1 };
  HttpClient client_{ context_.get_executor(), HttpClient::Options{} };
};

// Guards against calls for an object that the store rejects or takes for calls
// for another object, its kind or a watch.
TEST(ObjectNameTest, PlatformStoreFindsObjectsByAnyName)
{
  Fake fake("fleet-store", json::object());
  platform::FleetStore store(
    client_, platform::FleetStore::Options{ .address_ = fake.Address() });
  CheckNames(store, context_);
}

// Guards against the same.
TEST(ObjectNameTest, OwnStoreFindsObjectsByAnyName)
{
  Fake fake("store", json::object());
  RestStore store(client_,
                  RestStore::Options{ .addresses_ = { fake.Address() } });
  CheckNames(store, context_);
}
