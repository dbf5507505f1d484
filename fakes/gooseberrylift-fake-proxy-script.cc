#include "gooseberrylift-fake-proxy-script.h"

#include <algorithm>

namespace gooseberrylift::fakes {

using nlohmann::json;

namespace {

const std::map<std::string, Fault> kFaults = {
  { "delay", Fault::kDelay },       { "cut", Fault::kCut },
  { "drop", Fault::kDrop },         { "black_hole", Fault::kBlackHole },
  { "truncate", Fault::kTruncate }, { "refuse", Fault::kRefuse },
  { "hang", Fault::kHang },         { "cross", Fault::kCross },
  { "stale", Fault::kStale },       { "lose_answer", Fault::kLoseAnswer }
};

const std::map<std::string, Direction> kDirections = {
  { "both", Direction::kBoth },
  { "to_target", Direction::kToTarget },
  { "to_client", Direction::kToClient }
};

FaultRule ParseRule(const json& aRule, Fault aFault)
{
  FaultRule rule{ .fault_ = aFault };
  rule.match_ = aRule.value("match", "");
  rule.probability_ = aRule.value("probability", rule.probability_);
  rule.skip_ = aRule.value("skip", rule.skip_);
  rule.count_ = aRule.value("count", rule.count_);
  rule.afterBytes_ = aRule.value("after_bytes", rule.afterBytes_);
  rule.delay_ = std::chrono::milliseconds(aRule.value("delay_ms", 0));
  rule.jitter_ = std::chrono::milliseconds(aRule.value("jitter_ms", 0));
  rule.hold_ = std::chrono::milliseconds(aRule.value("hold_ms", 200));
  const auto direction =
    kDirections.find(aRule.value("direction", "to_client"));
  if (direction != kDirections.end()) {
    rule.direction_ = direction->second;
  }
  return rule;
}

} // namespace

bool FaultScript::Load(const json& aRules)
{
  std::vector<Entry> entries;
  for (const json& rule : aRules) {
    const std::string name = rule.value("fault", "");
    const auto fault = kFaults.find(name);
    if (fault == kFaults.end()) {
      return false;
    }
    entries.push_back(
      { .rule_ = ParseRule(rule, fault->second), .name_ = name });
  }
  entries_ = std::move(entries);
  return true;
}

std::optional<FaultRule> FaultScript::SelectFault(std::string_view aFirstChunk,
                                                  std::mt19937_64& aRandom)
{
  std::uniform_real_distribution<double> draw(0.0, 1.0);
  for (Entry& entry : entries_) {
    const FaultRule& rule = entry.rule_;
    // Draws for every rule, so that a rule that has reached its count does not
    // change the random sequence that the other rules see.
    const bool drawn = draw(aRandom) < rule.probability_;
    if (rule.fault_ == Fault::kRefuse || rule.fault_ == Fault::kHang ||
        aFirstChunk.find(rule.match_) == std::string_view::npos ||
        ++entry.matched_ <= rule.skip_ || entry.applied_ >= rule.count_ ||
        !drawn) {
      continue;
    }
    ++entry.applied_;
    ++hits_[entry.name_];
    return rule;
  }
  return std::nullopt;
}

bool FaultScript::Has(Fault aFault) const
{
  return std::any_of(
    entries_.begin(), entries_.end(), [aFault](const Entry& aEntry) {
      return aEntry.rule_.fault_ == aFault;
    });
}

} // namespace gooseberrylift::fakes
