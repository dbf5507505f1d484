// Tests that bodies reach endpoints as callers sent them, however they are cut
// into chunks and packets.

#include "harness-gateway.h"
#include "harness-raw-connection.h"

#include <array>
#include <cstdio>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace gooseberrylift::test;
namespace names = gooseberrylift::platform;

namespace {

constexpr unsigned kSeeds = 40;
constexpr std::size_t kMaxBody = 200 * 1024; // answers are sent whole

class RandomRequest
{
public:
  explicit RandomRequest(unsigned aSeed)
    : random_(aSeed)
    , body_(Text(Draw(kMaxBody)))
  {
  }

  const std::string& Body() const { return body_; }

  std::string Format()
  {
    const std::string head =
      std::string("POST /safe/x HTTP/1.1\r\nHost: house.example\r\n") +
      names::kAttemptId + ": at-1\r\n" + names::kAuthorization + ": " +
      names::kKeyScheme + "team-key\r\n";
    if (Draw(2) == 0) {
      return head + "Content-Length: " + std::to_string(body_.size()) +
             "\r\n\r\n" + body_;
    }
    return head + "Transfer-Encoding: chunked\r\n\r\n" + Chunks();
  }

  /// Writes a text in pieces of random lengths.
  void Write(RawConnection& aConnection, const std::string& aText)
  {
    for (std::size_t at = 0; at < aText.size();) {
      const std::size_t size = 1 + Draw(Draw(2) == 0 ? 20 : 60'000);
      CHECK_TRUE(aConnection.Write(aText.substr(at, size)));
      at += size;
    }
  }

private:
  std::size_t Draw(std::size_t aBelow) { return random_() % aBelow; }

  std::string Text(std::size_t aSize)
  {
    std::string text(aSize, ' ');
    for (char& character : text) {
      character = static_cast<char>('!' + Draw(90));
    }
    return text;
  }

  std::string Chunks()
  {
    std::string text;
    std::array<char, 20> size{};
    for (std::size_t at = 0; at < body_.size();) {
      const std::string chunk =
        body_.substr(at, 1 + Draw(Draw(3) == 0 ? 30 : 9'000));
      std::snprintf(size.data(), size.size(), "%zx", chunk.size());
      text += std::string(size.data()) + (Draw(4) == 0 ? ";name=value" : "") +
              "\r\n" + chunk + "\r\n";
      at += chunk.size();
    }
    return text + "0\r\n" + (Draw(2) == 0 ? "X-Trailer: a\r\n" : "") + "\r\n";
  }

  std::mt19937 random_;
  std::string body_;
};

} // namespace

TEST_GROUP(RequestBodyTest)
{
  GatewayDeployment deployment_{ { .engines_ = 1, .boards_ = 1 } };
};

// Guards against bytes that are lost, doubled or moved while a body is read.
TEST(RequestBodyTest, PassesBodiesOnUnchanged)
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    RandomRequest request(seed);
    RawConnection connection(deployment_.At(0).Port());
    request.Write(connection, request.Format());
    const std::string expected = "POST /safe/x " + request.Body() + " by ";
    CHECK_TRUE_TEXT(connection.ReadUntil(" by board-0"),
                    std::to_string(seed).c_str());
    const std::string& received = connection.Received();
    LONGS_EQUAL(200, connection.Status());
    CHECK_TRUE_TEXT(received.find(expected) != std::string::npos,
                    std::to_string(seed).c_str());
  }
}

// Guards against a request that begins within the bytes of the one before.
TEST(RequestBodyTest, FindsTheRequestsOfASeries)
{
  for (unsigned seed = 1; seed <= kSeeds / 4; ++seed) {
    RandomRequest first(seed);
    RandomRequest second(seed + 1000);
    RawConnection connection(deployment_.At(0).Port());
    first.Write(connection, first.Format() + second.Format());
    CHECK_TRUE_TEXT(connection.ReadUntil(second.Body().substr(0, 40)),
                    std::to_string(seed).c_str());
  }
}
