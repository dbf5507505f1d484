// Starts real processes for a test: fakes, entry hosts, and requests to them.
// Every wait is for a condition and bounded.

#ifndef GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_H_
#define GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "gooseberrylift/internal/gooseberrylift-http.h"

namespace gooseberrylift::test {

using nlohmann::json;

// A child process. It is killed when the object goes.
class Process
{
public:
  Process(const std::string& aProgram, std::vector<std::string> aArguments);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Waits for a line of output (both streams) that contains a text.
  /// @return the line; empty when it did not come in time
  std::string WaitForLine(const std::string& aText,
                          std::chrono::milliseconds aLimit);

  /// Sends a signal, such as SIGSTOP.
  void Signal(int aSignal);

  /// Waits for the end. @return the exit status, -1 when it did not come
  int WaitForExit(std::chrono::milliseconds aLimit);

  /// Gives the process's number.
  int Pid() const;

  /// Gives all output so far.
  std::string Output() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Waits until a condition holds. @return false when the limit passed first
bool WaitUntil(std::chrono::milliseconds aLimit,
               const std::function<bool()>& aCondition);

/// Sends a request and reads the whole answer. Blocks; safe from any thread.
Outcome<HttpResponse> Send(
  std::uint16_t aPort,
  HttpRequest aRequest,
  std::chrono::milliseconds aLimit = std::chrono::seconds(20));

// A fake of some kind on a free port.
class Fake
{
public:
  Fake(const std::string& aKind, const json& aSettings);

  std::uint16_t Port() const { return port_; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }

  /// Changes the fake's behaviour through its control path.
  void Control(const json& aBody);

  /// Reads the fake's counts.
  json Stats();

  Process& Handle() { return *process_; }

private:
  std::unique_ptr<Process> process_;
  std::uint16_t port_ = 0;
};

// A fault-injecting proxy before a target. The script's format stands in
// fakes/gooseberrylift-fake-proxy-script.h:
//
//   proxy.Script({ { { "fault", "cut" }, { "match", "POST /v1" } } });
class Proxy
{
public:
  Proxy(const std::string& aTarget, json aSettings);

  /// Gives the address that the proxy listens on for its target.
  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }
  std::uint16_t Port() const { return port_; }

  /// Replaces the script; an empty array ends all faults.
  void Script(const json& aRules);

  /// Resets every open connection.
  void ResetAll();

  /// Gives how often a fault was applied.
  int Hits(const std::string& aFault);

  json Stats() { return fake_.Stats(); }
  Process& Handle() { return fake_.Handle(); }

private:
  Fake fake_;
  std::uint16_t port_ = 0;
};

// An entry host on free ports.
class Host
{
public:
  Host(const json& aSettings);

  /// Starts a host whose settings stand in a file.
  explicit Host(const std::string& aSettingsPath);

  std::uint16_t Port() const { return callerPort_; }
  std::uint16_t AdminPort() const { return adminPort_; }
  Process& Handle() { return *process_; }

  /// Waits until /readyz answers 200.
  bool WaitReady(std::chrono::milliseconds aLimit = std::chrono::seconds(10));

  /// Reads /status.
  json Status();

private:
  std::unique_ptr<Process> process_;
  std::uint16_t callerPort_ = 0;
  std::uint16_t adminPort_ = 0;
};

// A whole small deployment: store, host list, engines, one plain service with
// a number of endpoints, and entry hosts. Team key "team-one-key"; model "m" in
// pool "llm"; plain service "board" in pool "board".
class Deployment
{
public:
  struct Options
  {
    int hosts_ = 1;
    int engines_ = 2;
    int services_ = 1;
    json engine_ = json::object(); // merged into each engine's settings
    json store_ = json::object();  // merged into the store's settings
    json host_ = json::object();   // merged into each host's settings
    json config_ = json::object(); // merged into the configuration
    bool proxied_ = false;         // a proxy before each endpoint and the store
    json proxy_ = json::object();  // merged into each proxy's settings
  };

  explicit Deployment(Options aOptions);

  /// Starts one more entry host.
  /// @param aSettings merged into its settings
  Host& AddHost(const json& aSettings = json::object());

  /// Gives the host list as it should be now; the "state" may be changed.
  json HostList() const;

  Fake& Store() { return *store_; }
  Fake& List() { return *list_; }
  Fake& Engine(std::size_t aIndex) { return *engines_.at(aIndex); }
  Fake& Service(std::size_t aIndex) { return *services_.at(aIndex); }
  Host& At(std::size_t aIndex) { return *hosts_.at(aIndex); }

  /// Gives a proxy; only with Options::proxied_.
  Proxy& EngineProxy(std::size_t aIndex) { return *engineProxies_.at(aIndex); }
  Proxy& ServiceProxy(std::size_t aIndex)
  {
    return *serviceProxies_.at(aIndex);
  }
  Proxy& StoreProxy() { return *storeProxy_; }

  std::size_t Hosts() const { return hosts_.size(); }

private:
  std::unique_ptr<Proxy> MakeProxy(const Fake& aTarget);

  Options options_;
  std::unique_ptr<Fake> store_;
  std::unique_ptr<Fake> list_;
  std::vector<std::unique_ptr<Fake>> engines_;
  std::vector<std::unique_ptr<Fake>> services_;
  std::unique_ptr<Proxy> storeProxy_;
  std::vector<std::unique_ptr<Proxy>> engineProxies_;
  std::vector<std::unique_ptr<Proxy>> serviceProxies_;
  std::vector<std::unique_ptr<Host>> hosts_;
};

/// Makes a chat request for the deployment's model.
HttpRequest ChatRequest(const std::string& aPrompt,
                        int aMaxTokens,
                        bool aStream);

/// Makes a call to the deployment's plain service.
HttpRequest BoardRequest(const std::string& aMethod,
                         const std::string& aPath,
                         const std::string& aBody = {});

/// Joins the token texts of a streamed answer.
/// @param aWhole set to whether the end marker was there
std::string StreamText(const std::string& aBody, bool* aWhole);

/// Gives the number of a refusal's result code; 0 when the body has none.
int CodeOf(const HttpResponse& aResponse);

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_H_
