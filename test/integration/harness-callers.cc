#include "harness-callers.h"

#include <cstdlib>

namespace gooseberrylift::test {

namespace {

std::vector<std::uint16_t> PortsOf(const std::vector<Host*>& aHosts)
{
  std::vector<std::uint16_t> ports;
  ports.reserve(aHosts.size());
  for (const Host* host : aHosts) {
    ports.push_back(host->Port());
  }
  return ports;
}

} // namespace

HttpRequest MakeSafeRequest(const std::string& aAttempt)
{
  return RouteRequest("GET", "/safe/a", aAttempt);
}

HttpRequest MakeUnsafeRequest(const std::string& aAttempt)
{
  HttpRequest request = RouteRequest("POST", "/unsafe/stamp?now=1", aAttempt);
  request.body_ = "a stamp";
  return request;
}

HttpRequest MakeShortPrompt(const std::string& aAttempt)
{
  return StreamRequest(aAttempt);
}

std::vector<Host*> HostsOf(GatewayDeployment& aDeployment, std::size_t aCount)
{
  std::vector<Host*> hosts;
  for (std::size_t host = 0; host < aCount; ++host) {
    hosts.push_back(&aDeployment.At(host));
  }
  return hosts;
}

std::int64_t NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

std::string AttemptIdOf(std::size_t aHost, int aNumber)
{
  return "at-" + std::to_string(aHost) + "-" + std::to_string(aNumber);
}

std::size_t HostOf(const std::string& aAttempt)
{
  return static_cast<std::size_t>(
    std::atoi(aAttempt.substr(aAttempt.find('-') + 1).c_str()));
}

Callers::Callers(const std::vector<Host*>& aHosts,
                 MakeCallerRequest aMake,
                 std::chrono::milliseconds aPause)
  : Callers(PortsOf(aHosts), aMake, aPause)
{
}

Callers::Callers(const std::vector<std::uint16_t>& aPorts,
                 MakeCallerRequest aMake,
                 std::chrono::milliseconds aPause)
{
  for (std::size_t host = 0; host < aPorts.size(); ++host) {
    const std::uint16_t port = aPorts[host];
    threads_.emplace_back([this, host, port, aMake, aPause] {
      for (int number = 0; !stop_; ++number) {
        const auto answer = Send(port, aMake(AttemptIdOf(host, number)));
        ++asked_;
        served_ += answer && answer.value().status_ == 200 ? 1 : 0;
        std::this_thread::sleep_for(aPause);
      }
    });
  }
}

Callers::~Callers()
{
  Stop();
}

void Callers::Stop()
{
  stop_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

} // namespace gooseberrylift::test
