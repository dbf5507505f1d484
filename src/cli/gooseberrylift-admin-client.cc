#include "gooseberrylift-admin-client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>

#include "gooseberrylift/gooseberrylift-json-text.h"
#include "gooseberrylift/internal/gooseberrylift-http-client.h"
#include "gooseberrylift/internal/gooseberrylift-timer-service.h"

namespace gooseberrylift {

namespace asio = boost::asio;

namespace {

asio::awaitable<void> QueryParameter(HttpClient& aClient,
                                     HttpRequest aRequest,
                                     TimePoint aDeadline,
                                     AdminAnswer& aAnswer)
{
  auto response =
    co_await aClient.Fetch(aAnswer.address_, std::move(aRequest), aDeadline);
  aAnswer.response_ = std::move(response);
}

} // namespace

std::string AdminAnswer::ErrorText() const
{
  if (!response_) {
    const Error& error = response_.error();
    return std::string(InfoOf(error.code_).name_) +
           (error.text_.empty() ? "" : ": " + error.text_);
  }
  const auto body = ParseJson(response_.value().body_);
  const std::string status =
    "status " + std::to_string(response_.value().status_);
  return body.is_object() && body.contains("error") && body["error"].is_object()
           ? status + ": " + body["error"].value("message", "")
           : status;
}

std::shared_ptr<AdminOptions> AddAdminOptions(CLI::App& aCommand)
{
  auto options = std::make_shared<AdminOptions>();
  aCommand
    .add_option("--hosts",
                options->hosts_,
                "admin ports as IP:port, separated by commas or spaces")
    ->delimiter(',')
    ->envname("GOOSEBERRYLIFT_HOSTS")
    ->required();
  aCommand
    .add_option(
      "--admin-key", options->key_, "an admin key of the hosts' settings")
    ->envname("GOOSEBERRYLIFT_ADMIN_KEY");
  aCommand.add_option("--output", options->output_, "text or json")
    ->check(CLI::IsMember({ "text", "json" }));
  aCommand
    .add_option_function<std::int64_t>(
      "--timeout-ms",
      [options](std::int64_t aValue) {
        options->timeout_ = std::chrono::milliseconds(aValue);
      },
      "timeout for the responses of the hosts (default 5000)")
    ->check(CLI::Range(1, 600'000));
  return options;
}

std::vector<AdminAnswer> QueryHosts(const AdminOptions& aOptions,
                                    const HttpRequest& aRequest)
{
  std::vector<AdminAnswer> answers;
  for (const std::string& address : aOptions.hosts_) {
    answers.push_back(
      { address, Error{ .code_ = ResultCode::kEndpointUnreachable } });
  }
  HttpRequest request = aRequest;
  if (!aOptions.key_.empty()) {
    request.fields_.push_back({ "Authorization", "Bearer " + aOptions.key_ });
  }
  asio::io_context context(1);
  HttpClient client(context.get_executor(), HttpClient::Options{});
  const TimePoint deadline = TimerService::Now() + aOptions.timeout_;
  for (AdminAnswer& answer : answers) {
    asio::co_spawn(context,
                   QueryParameter(client, request, deadline, answer),
                   asio::detached);
  }
  context.run();
  return answers;
}

Error CombineErrors(const std::vector<AdminAnswer>& aAnswers)
{
  Error error{ .code_ = ResultCode::kOk };
  for (const AdminAnswer& answer : aAnswers) {
    if (!answer.IsSuccess()) {
      error.code_ =
        answer.response_ ? ResultCode::kAdminRefused : ResultCode::kHostsSilent;
      error.text_ += (error.text_.empty() ? "" : "; ") + answer.address_ +
                     ": " + answer.ErrorText();
    }
  }
  return error;
}

boost::leaf::result<void> ToResult(const std::vector<AdminAnswer>& aAnswers)
{
  Error fault = CombineErrors(aAnswers);
  if (fault.code_ != ResultCode::kOk) {
    return boost::leaf::new_error(std::move(fault));
  }
  return {};
}

} // namespace gooseberrylift
