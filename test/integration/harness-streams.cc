#include "harness-streams.h"

#include <csignal>
#include <sstream>

#include <CppUTest/TestHarness.h>

namespace gooseberrylift::test {

namespace names = gooseberrylift::platform;

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kLongTimeout{ 60'000 };

bool IsWhole(const Outcome<HttpResponse>& aResponse, int aEvents)
{
  return aResponse && aResponse.value().status_ == 200 &&
         aResponse.value().body_ == LongStreamBody(aEvents);
}

} // namespace

LongStreams::LongStreams(Options aOptions)
  : options_(std::move(aOptions))
{
  threads_.reserve(static_cast<std::size_t>(options_.count_));
  for (int stream = 0; stream < options_.count_; ++stream) {
    threads_.emplace_back([this, stream] { Read(stream); });
  }
}

LongStreams::~LongStreams()
{
  CountCut();
}

int LongStreams::CountCut()
{
  for (std::thread& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
  return static_cast<int>(cut_.size());
}

void LongStreams::Read(int aStream)
{
  const std::string attempt = "stream-" + std::to_string(aStream);
  HttpRequest request = StreamRequest(attempt);
  for (HttpField& field : request.fields_) {
    if (field.name_ == names::kDeadlineMs) {
      field.value_ = std::to_string(options_.deadline_.count());
    }
  }
  request.body_ = attempt; // callers with the same body share a fingerprint
  const auto port = options_.ports_.at(static_cast<std::size_t>(aStream) %
                                       options_.ports_.size());
  const auto response = Send(port, std::move(request), kLongTimeout);
  if (!IsWhole(response, options_.events_)) {
    const std::lock_guard lock(mutex_);
    cut_.push_back(attempt);
  }
}

json LongStreamDocument(const GatewayDeployment& aDeployment)
{
  json document = aDeployment.Document();
  document["version"] = document["version"].get<int>() + 1;
  for (json& route : document["routes"]) {
    route["timeoutMs"] = kLongTimeout.count();
  }
  return document;
}

void ApplyDocument(GatewayDeployment& aDeployment,
                   const json& aDocument,
                   std::size_t aHosts)
{
  aDeployment.PutDocument(aDocument);
  for (std::size_t host = 0; host < aHosts; ++host) {
    CHECK_TRUE(WaitUntil(seconds(10), [&] {
      return aDeployment.At(host).Status().value("generation", 0) ==
             aDocument.at("version").get<int>();
    }));
  }
}

void ApplyLongTimeouts(GatewayDeployment& aDeployment, std::size_t aHosts)
{
  ApplyDocument(aDeployment, LongStreamDocument(aDeployment), aHosts);
}

std::string LongStreamBody(int aEvents)
{
  std::string body;
  for (int event = 1; event <= aEvents; ++event) {
    body += "id: " + std::to_string(event) + "\ndata: piece\n\n";
  }
  return body;
}

json LongStreamEngine(int aEvents, milliseconds aInterval)
{
  return { { "events", aEvents }, { "event_ms", aInterval.count() } };
}

void SignalEngines(GatewayDeployment& aDeployment, int aEngines, int aSignal)
{
  for (int engine = 0; engine < aEngines; ++engine) {
    aDeployment.Engine(static_cast<std::size_t>(engine))
      .Handle()
      .Signal(aSignal);
  }
}

void PauseEngines(GatewayDeployment& aDeployment,
                  int aEngines,
                  milliseconds aPause)
{
  SignalEngines(aDeployment, aEngines, SIGSTOP);
  std::this_thread::sleep_for(aPause);
  SignalEngines(aDeployment, aEngines, SIGCONT);
}

void SignalLinks(GatewayDeployment& aDeployment, int aSignal)
{
  for (std::size_t link = 0; link < aDeployment.CountLinks(); ++link) {
    aDeployment.Link(link).Handle().Signal(aSignal);
  }
}

int SumMetric(Host& aHost, const std::string& aName)
{
  const auto metrics = Send(aHost.AdminPort(), MakeRequest("/metrics"));
  if (!metrics) {
    return 0;
  }
  int sum = 0;
  std::istringstream lines(metrics.value().body_);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(aName)) {
      sum += std::atoi(line.substr(line.rfind(' ') + 1).c_str());
    }
  }
  return sum;
}

} // namespace gooseberrylift::test
