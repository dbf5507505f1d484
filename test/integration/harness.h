// Test harness for integration tests: starts fakes and entry hosts as child
// processes and sends them requests. Every wait is for a condition and has a
// timeout.

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

// A child process. The destructor kills it if it still runs.
class Process
{
public:
  Process(const std::string& aProgram, std::vector<std::string> aArguments);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Waits for a line on stdout or stderr that contains a text.
  /// @return the line; empty on timeout
  std::string WaitForLine(const std::string& aText,
                          std::chrono::milliseconds aLimit);

  /// Sends a signal, such as SIGSTOP.
  void Signal(int aSignal);

  /// Waits for the process to exit. @return the exit status; -1 on timeout
  int WaitForExit(std::chrono::milliseconds aLimit);

  /// Returns the process ID.
  int Pid() const;

  /// Returns all output so far.
  std::string Output() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Waits until a condition holds. @return false on timeout
bool WaitUntil(std::chrono::milliseconds aLimit,
               const std::function<bool()>& aCondition);

/// Sends a request to an address, IP:port, and reads the complete response.
/// Blocks; thread-safe.
Outcome<HttpResponse> Send(
  const std::string& aAddress,
  HttpRequest aRequest,
  std::chrono::milliseconds aLimit = std::chrono::seconds(20));

/// Sends a request to a port on the loopback interface in the same way.
Outcome<HttpResponse> Send(
  std::uint16_t aPort,
  HttpRequest aRequest,
  std::chrono::milliseconds aLimit = std::chrono::seconds(20));

// A child process that runs one kind of fake on a free port.
class Fake
{
public:
  Fake(const std::string& aKind, const json& aSettings);

  std::uint16_t Port() const { return port_; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }

  /// Changes the fake's behaviour by a POST to /control.
  void Control(const json& aBody);

  /// Reads the fake's counters from /stats.
  json Stats();

  Process& Handle() { return *process_; }

private:
  std::unique_ptr<Process> process_;
  std::uint16_t port_ = 0;
};

// A fault-injecting proxy in front of a target. The script's format is
// documented in fakes/gooseberrylift-fake-proxy-script.h:
//
//   proxy.Script({ { { "fault", "cut" }, { "match", "POST /v1" } } });
class Proxy
{
public:
  Proxy(const std::string& aTarget, json aSettings);

  /// Returns the address on which the proxy accepts connections to its target.
  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }
  std::uint16_t Port() const { return port_; }

  /// Replaces the script; an empty array disables all faults.
  void Script(const json& aRules);

  /// Resets every open connection.
  void ResetAll();

  /// Returns how often a fault was injected.
  int Hits(const std::string& aFault);

  json Stats() { return fake_.Stats(); }
  Process& Handle() { return fake_.Handle(); }

private:
  Fake fake_;
  std::uint16_t port_ = 0;
};

// A child process that runs an entry host on free ports.
class Host
{
public:
  Host(const json& aSettings);

  /// Starts a host with a settings file.
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

// A small but complete deployment: store, host list, engines, one plain service
// with one or more endpoints, and entry hosts. Team key "team-one-key"; model
// "m" in pool "llm"; plain service "board" in pool "board".
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
    bool proxied_ = false; // a proxy in front of each endpoint and the store
    json proxy_ = json::object(); // merged into each proxy's settings
  };

  explicit Deployment(Options aOptions);

  /// Starts an additional entry host.
  /// @param aSettings merged into its settings
  Host& AddHost(const json& aSettings = json::object());

  /// Returns the host list for the current endpoints. A test may change the
  /// "state" of an entry.
  json HostList() const;

  Fake& Store() { return *store_; }
  Fake& List() { return *list_; }
  Fake& Engine(std::size_t aIndex) { return *engines_.at(aIndex); }
  Fake& Service(std::size_t aIndex) { return *services_.at(aIndex); }
  Host& At(std::size_t aIndex) { return *hosts_.at(aIndex); }

  /// Returns an endpoint's proxy. Requires Options::proxied_.
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

/// Creates a chat request for the deployment's model.
HttpRequest ChatRequest(const std::string& aPrompt,
                        int aMaxTokens,
                        bool aStream);

/// Creates a request to the deployment's plain service.
HttpRequest BoardRequest(const std::string& aMethod,
                         const std::string& aPath,
                         const std::string& aBody = {});

/// Concatenates the token texts of a streamed response.
/// @param aWhole set to whether the end marker [DONE] was present
std::string StreamText(const std::string& aBody, bool* aWhole);

/// Returns the result code in an error response; 0 if the body has none.
int ErrorResponseCode(const HttpResponse& aResponse);

} // namespace gooseberrylift::test

#endif // GOOSEBERRYLIFT_TEST_INTEGRATION_HARNESS_H_
