#include "harness.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/process.hpp>

#include "gooseberrylift/gooseberrylift-sse.h"
#include "gooseberrylift/internal/gooseberrylift-http-client.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift::test {

namespace asio = boost::asio;
namespace bp = boost::process;
using std::chrono::milliseconds;

namespace {

// Writes the output of a process into the directory named by the variable
// TEST_LOGS, if it is set.
void KeepOutput(int aPid, const std::string& aOutput)
{
  const char* directory = std::getenv("TEST_LOGS");
  if (directory == nullptr || *directory == '\0') {
    return;
  }
  std::error_code ignored; // a missing directory leaves no log
  std::filesystem::create_directories(directory, ignored);
  std::ofstream file(std::filesystem::path(directory) /
                     (std::to_string(aPid) + ".log"));
  file << aOutput;
}

} // namespace

class Process::Impl
{
public:
  Impl(const std::string& aProgram, std::vector<std::string> aArguments)
    : starting_(StartMutex())
    , child_(aProgram,
             bp::args(std::move(aArguments)),
             (bp::std_out & bp::std_err) > pipe_,
             bp::std_in < bp::null)
    , reader_([this] { Read(); })
  {
    starting_.unlock();
  }

  // A child that is started at the same time would inherit the writing end of
  // this one's pipe, which then has no end before both have exited.
  static std::mutex& StartMutex()
  {
    static std::mutex sMutex;
    return sMutex;
  }

  void Read()
  {
    std::string line;
    while (std::getline(pipe_, line)) {
      const std::lock_guard lock(mutex_);
      output_ += line + "\n";
    }
  }

  std::unique_lock<std::mutex> starting_; // until the child has started
  bp::ipstream pipe_;
  bp::child child_;
  mutable std::mutex mutex_;
  std::string output_;
  std::thread reader_;
};

Process::Process(const std::string& aProgram,
                 std::vector<std::string> aArguments)
  : impl_(std::make_unique<Impl>(aProgram, std::move(aArguments)))
{
}

Process::~Process()
{
  std::error_code ignored;
  if (impl_->child_.running(ignored)) {
    impl_->child_.terminate(ignored);
  }
  impl_->child_.wait(ignored);
  if (impl_->reader_.joinable()) {
    impl_->reader_.join();
  }
  KeepOutput(Pid(), Output());
}

std::string Process::WaitForLine(const std::string& aText, milliseconds aLimit)
{
  std::string line;
  WaitUntil(aLimit, [&] {
    const bool ended = WaitForExit(milliseconds(0)) != -1;
    const std::string output = Output();
    const std::size_t at = output.find(aText);
    if (at == std::string::npos) {
      return ended;
    }
    const std::size_t begin = output.rfind('\n', at) + 1;
    line = output.substr(begin, output.find('\n', at) - begin);
    return true;
  });
  return line;
}

void Process::Signal(int aSignal)
{
  ::kill(impl_->child_.id(), aSignal);
}

int Process::WaitForExit(milliseconds aLimit)
{
  std::error_code ignored;
  const bool ended =
    WaitUntil(aLimit, [&] { return !impl_->child_.running(ignored); });
  if (ended && impl_->reader_.joinable()) {
    impl_->reader_.join(); // so that Output() is complete
  }
  return ended ? impl_->child_.exit_code() : -1;
}

int Process::Pid() const
{
  return impl_->child_.id();
}

std::string Process::Output() const
{
  const std::lock_guard lock(impl_->mutex_);
  return impl_->output_;
}

bool WaitUntil(milliseconds aLimit, const std::function<bool()>& aCondition)
{
  const TimePoint end = TimerService::Now() + aLimit;
  while (!aCondition()) {
    if (TimerService::Now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

Outcome<HttpResponse> Send(const std::string& aAddress,
                           HttpRequest aRequest,
                           milliseconds aLimit)
{
  asio::io_context context(1);
  HttpClient client(context.get_executor(), HttpClient::Options{});
  std::optional<Outcome<HttpResponse>> result;
  asio::co_spawn(
    context,
    [&]() -> asio::awaitable<void> {
      result = co_await client.Fetch(
        aAddress, std::move(aRequest), TimerService::Now() + aLimit);
    },
    asio::detached);
  context.run();
  return *result;
}

Outcome<HttpResponse> Send(std::uint16_t aPort,
                           HttpRequest aRequest,
                           milliseconds aLimit)
{
  return Send(
    "127.0.0.1:" + std::to_string(aPort), std::move(aRequest), aLimit);
}

Fake::Fake(const std::string& aKind, const json& aSettings)
  : process_(std::make_unique<Process>(
      FAKES_BINARY,
      std::vector<std::string>{ aKind, "--settings", aSettings.dump() }))
{
  const std::string line =
    process_->WaitForLine("listening ", std::chrono::seconds(10));
  port_ = static_cast<std::uint16_t>(
    std::atoi(line.substr(line.find(' ') + 1).c_str()));
}

void Fake::Control(const json& aBody)
{
  (void)Send(port_, MakeRequest("POST", "/control", aBody.dump()));
}

json Fake::Stats()
{
  const auto response = Send(port_, MakeRequest("/stats"));
  return response ? json::parse(response.value().body_, nullptr, false)
                  : json();
}

namespace {

json ProxySettings(const std::string& aTarget, json aSettings)
{
  aSettings["target"] = aTarget;
  return aSettings;
}

} // namespace

Proxy::Proxy(const std::string& aTarget, json aSettings)
  : fake_("proxy", ProxySettings(aTarget, std::move(aSettings)))
  , port_(fake_.Stats().value("port", std::uint16_t{ 0 }))
{
}

void Proxy::Script(const json& aRules)
{
  fake_.Control({ { "rules", aRules } });
}

void Proxy::ResetAll()
{
  fake_.Control({ { "reset_all", true } });
}

int Proxy::Hits(const std::string& aFault)
{
  return fake_.Stats().value("/hits"_json_pointer / aFault, 0);
}

Host::Host(const json& aSettings)
  : Host(aSettings.dump())
{
}

// --settings accepts inline JSON as well as a path.
Host::Host(const std::string& aSettingsPath)
  : process_(std::make_unique<Process>(
      PRODUCT_BINARY,
      std::vector<std::string>{ "serve", "--settings", aSettingsPath }))
{
  const json started = json::parse(
    process_->WaitForLine("\"event\":1000", std::chrono::seconds(10)),
    nullptr,
    false);
  if (started.is_object()) {
    callerPort_ = started.value("caller_port", std::uint16_t{ 0 });
    adminPort_ = started.value("admin_port", std::uint16_t{ 0 });
  }
}

bool Host::WaitReady(milliseconds aLimit)
{
  return WaitUntil(aLimit, [this] {
    const auto response = Send(adminPort_, MakeRequest("/readyz"));
    return response && response.value().status_ == 200;
  });
}

json Host::Status()
{
  const auto response = Send(adminPort_, MakeRequest("/status"));
  return response ? json::parse(response.value().body_, nullptr, false)
                  : json();
}

namespace {

json DefaultConfiguration()
{
  return json::parse(R"({
    "teams": [ { "name": "one", "keys": ["team-one-key"] },
               { "name": "two", "keys": ["team-two-key"] } ],
    "pools": [ { "name": "llm" }, { "name": "board" } ],
    "services": [
      { "name": "chat", "kind": "model", "model": "m", "pool": "llm",
        "deadline_ms": 20000 },
      { "name": "board", "kind": "plain", "pool": "board",
        "deadline_ms": 10000 } ]
  })");
}

} // namespace

Deployment::Deployment(Options aOptions)
  : options_(std::move(aOptions))
{
  json configuration = DefaultConfiguration();
  configuration.merge_patch(options_.config_);
  json store = {
    { "objects",
      { { "configurations/main",
          { { "generation", 1 }, { "configuration", configuration } } } } }
  };
  store.merge_patch(options_.store_);
  store_ = std::make_unique<Fake>("store", store);
  storeProxy_ = MakeProxy(*store_);
  for (int index = 0; index < options_.engines_; ++index) {
    json engine = { { "name", "engine-" + std::to_string(index) },
                    { "prefill_linear_us", 1.0 },
                    { "decode_us", 1000 } };
    engine.merge_patch(options_.engine_);
    engines_.push_back(std::make_unique<Fake>("engine", engine));
    engineProxies_.push_back(MakeProxy(*engines_.back()));
  }
  for (int index = 0; index < options_.services_; ++index) {
    const json service = { { "name", "board-" + std::to_string(index) } };
    services_.push_back(std::make_unique<Fake>("service", service));
    serviceProxies_.push_back(MakeProxy(*services_.back()));
  }
  const json list = { { "hosts", HostList() } };
  list_ = std::make_unique<Fake>("hosts", list);
  for (int index = 0; index < options_.hosts_; ++index) {
    AddHost();
  }
  for (const auto& host : hosts_) {
    host->WaitReady();
  }
}

std::unique_ptr<Proxy> Deployment::MakeProxy(const Fake& aTarget)
{
  return options_.proxied_
           ? std::make_unique<Proxy>(aTarget.Address(), options_.proxy_)
           : nullptr;
}

Host& Deployment::AddHost(const json& aSettings)
{
  const std::string store =
    storeProxy_ ? storeProxy_->Address() : store_->Address();
  const std::string name = "entry-" + std::to_string(hosts_.size());
  json settings = { { "host", { { "name", name }, { "zone", "zone-a" } } },
                    { "caller", { { "port", 0 } } },
                    { "store", { { "addresses", { store } } } },
                    { "host_list",
                      { { "address", list_->Address() }, { "poll_ms", 200 } } },
                    { "load_poll_ms", 100 },
                    { "drain", { { "lag_ms", 100 }, { "limit_ms", 20000 } } } };
  settings.merge_patch(options_.host_);
  settings.merge_patch(aSettings);
  hosts_.push_back(std::make_unique<Host>(settings));
  return *hosts_.back();
}

json Deployment::HostList() const
{
  json hosts = json::array();
  const auto add = [&hosts](const std::string& aName,
                            const Fake& aFake,
                            const std::unique_ptr<Proxy>& aProxy,
                            const char* aPool,
                            const char* aKind) {
    hosts.push_back(
      { { "name", aName },
        { "address", aProxy ? aProxy->Address() : aFake.Address() },
        { "pool", aPool },
        { "zone", "zone-a" },
        { "kind", aKind },
        { "incarnation", 1 } });
  };
  for (std::size_t index = 0; index < engines_.size(); ++index) {
    add("engine-" + std::to_string(index),
        *engines_[index],
        engineProxies_[index],
        "llm",
        "engine");
  }
  for (std::size_t index = 0; index < services_.size(); ++index) {
    add("board-" + std::to_string(index),
        *services_[index],
        serviceProxies_[index],
        "board",
        "service");
  }
  return hosts;
}

HttpRequest ChatRequest(const std::string& aPrompt,
                        int aMaxTokens,
                        bool aStream)
{
  const json message = { { "role", "user" }, { "content", aPrompt } };
  const json body = { { "model", "m" },
                      { "max_tokens", aMaxTokens },
                      { "stream", aStream },
                      { "messages", json::array({ message }) } };
  HttpRequest request =
    MakeRequest("POST", "/v1/chat/completions", body.dump());
  request.fields_.push_back({ "Authorization", "Bearer team-one-key" });
  return request;
}

HttpRequest BoardRequest(const std::string& aMethod,
                         const std::string& aPath,
                         const std::string& aBody)
{
  HttpRequest request = MakeRequest(aMethod, "/services/board" + aPath, aBody);
  request.fields_.push_back({ "Authorization", "Bearer team-one-key" });
  return request;
}

std::string StreamText(const std::string& aBody, bool* aWhole)
{
  SseParser reader;
  reader.Feed(aBody);
  std::string text;
  *aWhole = false;
  while (const auto data = reader.Next()) {
    if (*data == "[DONE]") {
      *aWhole = true;
      continue;
    }
    const json event = json::parse(*data, nullptr, false);
    if (event.contains("choices")) {
      text += event["choices"][0]["delta"].value("content", "");
    }
  }
  return text;
}

int ErrorResponseCode(const HttpResponse& aResponse)
{
  const json body = json::parse(aResponse.body_, nullptr, false);
  return body.is_object() ? body.value("/error/code"_json_pointer, 0) : 0;
}

} // namespace gooseberrylift::test
