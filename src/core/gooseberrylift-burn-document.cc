#include "gooseberrylift/gooseberrylift-burn-document.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

#include "gooseberrylift/gooseberrylift-json-text.h"
#include "gooseberrylift/gooseberrylift-text-table.h"

namespace gooseberrylift {

using nlohmann::json;

namespace {

json ObjectivesJson(const ObjectivesByService& aObjectives)
{
  json items = json::object();
  for (const auto& [service, objective] : aObjectives) {
    json bounds = json::object();
    for (std::size_t band = 0; band < kPromptBands.size(); ++band) {
      if (const auto& bound = objective.firstToken_.at(band)) {
        bounds[kPromptBands.at(band).name_] = bound->count();
      }
    }
    items[service] = { { "first_token_ms", bounds },
                       { "first_token_share", objective.firstTokenShare_ },
                       { "success_share", objective.successShare_ } };
  }
  return items;
}

ObjectivesByService ParseObjectives(const json& aItems)
{
  ObjectivesByService objectives;
  for (const auto& [service, item] : aItems.items()) {
    ServiceObjective objective{
      .firstTokenShare_ = item.at("first_token_share"),
      .successShare_ = item.at("success_share"),
    };
    for (std::size_t band = 0; band < kPromptBands.size(); ++band) {
      const json& bounds = item.at("first_token_ms");
      const auto bound = bounds.find(kPromptBands.at(band).name_);
      if (bound != bounds.end()) {
        objective.firstToken_.at(band) =
          std::chrono::milliseconds(bound->get<std::int64_t>());
      }
    }
    objectives.emplace(service, objective);
  }
  return objectives;
}

json CountsJson(const BurnWindowCounts& aCounts)
{
  json counts = json::array();
  for (const BurnCounts& window : aCounts) {
    counts.push_back({ window.met_, window.missed_ });
  }
  return counts;
}

BurnWindowCounts ParseCounts(const json& aItems)
{
  BurnWindowCounts counts;
  for (std::size_t window = 0; window < counts.size(); ++window) {
    counts.at(window) = { .met_ = aItems.at(window).at(0),
                          .missed_ = aItems.at(window).at(1) };
  }
  return counts;
}

json RowJson(const BurnRow& aRow)
{
  return { { "team", aRow.key_.team_ },
           { "service", aRow.key_.service_ },
           { "band", kPromptBands.at(aRow.key_.band_).name_ },
           { "objective", NameOf(aRow.key_.objective_) },
           { "target", aRow.target_ },
           { "counts", CountsJson(aRow.counts_) },
           { "burn_rates", aRow.rates_ },
           { "budget_left", aRow.budgetRemaining_ },
           { "spent_in_minutes",
             aRow.timeToExhaustion_ ? json(aRow.timeToExhaustion_->count())
                                    : json() } };
}

constexpr std::array kQuantiles = { 0.5, 0.95, 0.99 };

json QuantileJson(const std::optional<std::chrono::duration<double>>& aTime)
{
  return aTime ? json(aTime->count()) : json();
}

// Clamps at -999 % to keep the column narrow. The exact value does not matter
// for a budget that is overspent many times over.
std::string FormatPercent(double aShare)
{
  constexpr double kLowest = -9.99;
  return std::to_string(std::lround(std::max(aShare, kLowest) * 100)) + "%";
}

// Returns a short label, to leave space for team and service names within 80
// columns.
const char* ObjectiveLabel(BurnObjective aObjective)
{
  return aObjective == BurnObjective::kFirstToken ? "first" : "whole";
}

std::string FormatTimeToExhaustion(const BurnRow& aRow)
{
  if (!aRow.timeToExhaustion_) {
    return "never";
  }
  const auto minutes = aRow.timeToExhaustion_->count();
  if (minutes == 0) {
    return aRow.budgetRemaining_ <= 0 ? "spent" : "now";
  }
  return minutes < 120 ? std::to_string(minutes) + " min"
                       : std::to_string(minutes / 60) + " h";
}

std::string FormatRate(double aRate)
{
  constexpr double kOneDecimalBelow = 9.95;
  if (aRate >= kOneDecimalBelow) {
    return std::to_string(std::lround(aRate));
  }
  const auto tenths = std::lround(aRate * 10);
  return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10);
}

// Returns the pairs of service and band that have counts.
std::vector<std::pair<std::string, std::size_t>> SeriesOf(
  const FirstTokenHistogram& aHistogram)
{
  std::vector<std::pair<std::string, std::size_t>> series;
  for (const auto& bin : aHistogram.NonEmptyBins()) {
    series.emplace_back(bin.service_, bin.band_);
  }
  series.erase(std::unique(series.begin(), series.end()), series.end());
  return series;
}

std::string FormatQuantile(
  const std::optional<std::chrono::duration<double>>& aTime)
{
  if (!aTime) {
    return ">300000";
  }
  return std::to_string(std::lround(aTime->count() * 1000));
}

std::string Join(const std::vector<std::string>& aItems)
{
  std::string text;
  for (const std::string& item : aItems) {
    text += (text.empty() ? "" : ", ") + item;
  }
  return text;
}

} // namespace

std::string SerializeBurnDocument(const BurnDocument& aDocument)
{
  json series = json::array();
  for (const auto& [key, counts] : aDocument.tally_) {
    series.push_back({ { "team", key.team_ },
                       { "service", key.service_ },
                       { "band", key.band_ },
                       { "objective", static_cast<int>(key.objective_) },
                       { "counts", CountsJson(counts) } });
  }
  json bins = json::array();
  for (const auto& bin : aDocument.firstTokens_.NonEmptyBins()) {
    bins.push_back({ bin.service_, bin.band_, bin.bin_, bin.count_ });
  }
  const json document = {
    { "hosts", aDocument.hosts_ },
    { "generation", aDocument.generation_ },
    { "objectives", ObjectivesJson(aDocument.objectives_) },
    { "series", series },
    { "first_token_bins", bins },
  };
  return document.dump();
}

std::optional<BurnDocument> ParseBurnDocument(std::string_view aText)
{
  try {
    const json document = ParseJson(aText);
    BurnDocument read{
      .hosts_ = document.at("hosts"),
      .generation_ = document.at("generation"),
      .objectives_ = ParseObjectives(document.at("objectives")),
    };
    for (const json& item : document.at("series")) {
      const BurnKey key{ .team_ = item.at("team"),
                         .service_ = item.at("service"),
                         .band_ = item.at("band"),
                         .objective_ = item.at("objective") == 0
                                         ? BurnObjective::kFirstToken
                                         : BurnObjective::kSuccess };
      if (key.band_ >= kPromptBands.size()) {
        return std::nullopt;
      }
      read.tally_[key] = ParseCounts(item.at("counts"));
    }
    for (const json& item : document.at("first_token_bins")) {
      read.firstTokens_.Add({ .service_ = item.at(0),
                              .band_ = item.at(1),
                              .bin_ = item.at(2),
                              .count_ = item.at(3) });
    }
    return read;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

void MergeBurnDocument(BurnDocument& aInto, const BurnDocument& aFrom)
{
  aInto.hosts_.insert(
    aInto.hosts_.end(), aFrom.hosts_.begin(), aFrom.hosts_.end());
  if (aFrom.generation_ >= aInto.generation_) {
    aInto.generation_ = aFrom.generation_;
    aInto.objectives_ = aFrom.objectives_;
  }
  MergeTally(aInto.tally_, aFrom.tally_);
  aInto.firstTokens_.Merge(aFrom.firstTokens_);
}

ObjectivesByService ObjectivesOf(const Configuration& aConfiguration)
{
  ObjectivesByService objectives;
  for (const auto& [name, service] : aConfiguration.Services()) {
    if (service.objective_) {
      objectives.emplace(name, *service.objective_);
    }
  }
  return objectives;
}

std::string BurnReportJson(const BurnDocument& aDocument,
                           const std::vector<std::string>& aUnresponsive)
{
  json rows = json::array();
  for (const BurnRow& row :
       EvaluateBurn(aDocument.tally_, aDocument.objectives_)) {
    rows.push_back(RowJson(row));
  }
  json windows = json::array();
  for (const auto window : kBurnWindows) {
    windows.push_back(window.count());
  }
  json quantiles = json::array();
  for (const auto& [service, band] : SeriesOf(aDocument.firstTokens_)) {
    json item = { { "service", service },
                  { "band", kPromptBands.at(band).name_ } };
    for (const double share : kQuantiles) {
      item["p" + std::to_string(static_cast<int>(share * 100))] =
        QuantileJson(aDocument.firstTokens_.Quantile(service, band, share));
    }
    quantiles.push_back(item);
  }
  const json report = { { "hosts", aDocument.hosts_ },
                        { "silent_hosts", aUnresponsive },
                        { "generation", aDocument.generation_ },
                        { "windows_minutes", windows },
                        { "rows", rows },
                        { "first_token_seconds", quantiles } };
  return report.dump(2) + "\n";
}

std::string BurnReportText(const BurnDocument& aDocument,
                           const std::vector<std::string>& aUnresponsive)
{
  std::string text =
    "Burn rates, worst team first (1.0 spends the budget in 6 h); hosts: " +
    std::to_string(aDocument.hosts_.size()) + "\n";
  if (!aUnresponsive.empty()) {
    text += "No answer, not counted: " + Join(aUnresponsive) + "\n";
  }
  TextTable table({ { "TEAM" },
                    { "SERVICE" },
                    { "BAND" },
                    { "WHAT" },
                    { "5M", true },
                    { "30M", true },
                    { "1H", true },
                    { "6H", true },
                    { "LEFT", true },
                    { "SPENT IN", true } });
  for (const BurnRow& row :
       EvaluateBurn(aDocument.tally_, aDocument.objectives_)) {
    table.Add({ row.key_.team_,
                row.key_.service_,
                kPromptBands.at(row.key_.band_).name_,
                ObjectiveLabel(row.key_.objective_),
                FormatRate(row.rates_.at(0)),
                FormatRate(row.rates_.at(1)),
                FormatRate(row.rates_.at(2)),
                FormatRate(row.rates_.at(3)),
                FormatPercent(row.budgetRemaining_),
                FormatTimeToExhaustion(row) });
  }
  text += "\n" + table.Text() +
          "\nTime to first token in ms since the hosts started\n\n";
  TextTable times({ { "SERVICE" },
                    { "BAND" },
                    { "P50", true },
                    { "P95", true },
                    { "P99", true } });
  for (const auto& [service, band] : SeriesOf(aDocument.firstTokens_)) {
    std::vector<std::string> cells{ service, kPromptBands.at(band).name_ };
    for (const double share : kQuantiles) {
      cells.push_back(
        FormatQuantile(aDocument.firstTokens_.Quantile(service, band, share)));
    }
    times.Add(std::move(cells));
  }
  return text + times.Text();
}

} // namespace gooseberrylift
