// Tests the fault-injecting proxy that other integration tests depend on. Each
// test calls a fake service through the proxy, without an entry host.

#include "harness.h"

#include <thread>

#include <boost/asio.hpp>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
using tcp = boost::asio::ip::tcp;

namespace {

Outcome<HttpResponse> Call(const Proxy& aProxy,
                           const std::string& aPath,
                           int aLimitMs = 5000)
{
  return Send(aProxy.Port(),
              MakeRequest("POST", aPath, "x"),
              std::chrono::milliseconds(aLimitMs));
}

std::string PathOrError(const Outcome<HttpResponse>& aAnswer)
{
  if (!aAnswer) {
    return "failed with " +
           std::to_string(static_cast<int>(aAnswer.error().code_));
  }
  return json::parse(aAnswer.value().body_, nullptr, false).value("path", "");
}

} // namespace

TEST_GROUP(ProxyTest)
{
  Fake service_{ "service", json::object() };
  Proxy proxy_{ service_.Address(), { { "seed", 7 } } };

  int Runs()
  {
    return service_.Stats().value("total", 0);
  }
};

TEST(ProxyTest, ForwardsWithoutAScript)
{
  STRCMP_EQUAL("/a", PathOrError(Call(proxy_, "/a")).c_str());
}

TEST(ProxyTest, DelaysAnAnswer)
{
  proxy_.Script({ { { "fault", "delay" }, { "delay_ms", 150 } } });
  const auto begin = std::chrono::steady_clock::now();
  STRCMP_EQUAL("/a", PathOrError(Call(proxy_, "/a")).c_str());
  CHECK_TRUE(std::chrono::steady_clock::now() - begin >=
             std::chrono::milliseconds(300)); // delayed in both directions
}

TEST(ProxyTest, DropsBeforeTheRequestArrives)
{
  proxy_.Script({ { { "fault", "drop" }, { "count", 1 } } });
  CHECK_FALSE(Call(proxy_, "/a").has_value());
  LONGS_EQUAL(0, Runs());
  STRCMP_EQUAL("/b", PathOrError(Call(proxy_, "/b")).c_str());
  LONGS_EQUAL(1, proxy_.Hits("drop"));
}

TEST(ProxyTest, CutsEachDirectionAfterSoManyBytes)
{
  proxy_.Script({ { { "fault", "cut" },
                    { "direction", "to_target" },
                    { "after_bytes", 10 },
                    { "count", 1 } } });
  CHECK_FALSE(Call(proxy_, "/a").has_value());
  LONGS_EQUAL(0, Runs());
  proxy_.Script({ { { "fault", "cut" },
                    { "direction", "to_client" },
                    { "after_bytes", 30 } } });
  CHECK_FALSE(Call(proxy_, "/b").has_value());
  LONGS_EQUAL(1, Runs());
}

TEST(ProxyTest, TruncatesAnAnswerWithAProperClose)
{
  proxy_.Script({ { { "fault", "truncate" }, { "after_bytes", 120 } } });
  CHECK_FALSE(Call(proxy_, "/a").has_value());
  LONGS_EQUAL(1, Runs());
}

TEST(ProxyTest, DiscardsAllBytesInABlackHole)
{
  proxy_.Script({ { { "fault", "black_hole" }, { "match", "POST /a" } } });
  const auto answer = Call(proxy_, "/a", 300);
  CHECK_FALSE(answer.has_value());
  CHECK_TRUE(answer.error().code_ == ResultCode::kDeadlineExceeded);
  STRCMP_EQUAL("/b", PathOrError(Call(proxy_, "/b")).c_str());
}

TEST(ProxyTest, RefusesConnectionsWhileTheRuleIsActive)
{
  proxy_.Script({ { { "fault", "refuse" } } });
  const auto answer = Call(proxy_, "/a");
  CHECK_FALSE(answer.has_value());
  CHECK_TRUE(answer.error().code_ == ResultCode::kEndpointUnreachable);
  proxy_.Script(json::array());
  STRCMP_EQUAL("/b", PathOrError(Call(proxy_, "/b")).c_str());
}

// Guards against another process that gets the port and answers there.
TEST(ProxyTest, KeepsItsPortWhileItRefusesConnections)
{
  proxy_.Script({ { { "fault", "refuse" } } });
  boost::asio::io_context context;
  tcp::acceptor other(context);
  boost::system::error_code code;
  other.open(tcp::v4());
  other.bind({ boost::asio::ip::address_v4::loopback(), proxy_.Port() }, code);
  CHECK_TRUE(code == boost::asio::error::address_in_use);
}

TEST(ProxyTest, LosesTheAnswerOfARequestThatRan)
{
  proxy_.Script({ { { "fault", "lose_answer" }, { "count", 1 } } });
  CHECK_FALSE(Call(proxy_, "/a").has_value());
  LONGS_EQUAL(1, Runs());
}

TEST(ProxyTest, SwapsTheResponsesOfTwoConnections)
{
  service_.Control({ { "delay_ms", 100 } });
  proxy_.Script({ { { "fault", "cross" }, { "hold_ms", 5000 } } });
  std::string first;
  std::thread other([&] { first = PathOrError(Call(proxy_, "/a")); });
  const std::string second = PathOrError(Call(proxy_, "/b"));
  other.join();
  STRCMP_EQUAL("/b", first.c_str());
  STRCMP_EQUAL("/a", second.c_str());
}

TEST(ProxyTest, RefusesAScriptWithAnUnknownFault)
{
  const json script = { { "rules", { { { "fault", "gremlin" } } } } };
  Fake control("proxy", { { "target", service_.Address() } });
  const auto refused =
    Send(control.Port(), MakeRequest("POST", "/control", script.dump()));
  CHECK_TRUE(refused.has_value());
  LONGS_EQUAL(400, refused.value().status_);
}
