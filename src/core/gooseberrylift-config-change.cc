#include "gooseberrylift/gooseberrylift-config-change.h"

#include <algorithm>

#include "gooseberrylift/gooseberrylift-json-text.h"

namespace gooseberrylift {

using nlohmann::json;

namespace {

// Converts arrays of named items into objects keyed by name, so that reordering
// or inserting an item is not reported as a change of all items after it.
json IndexByName(const json& aValue)
{
  const bool named =
    aValue.is_array() && !aValue.empty() &&
    std::all_of(aValue.begin(), aValue.end(), [](const json& aItem) {
      return aItem.is_object() && aItem.contains("name");
    });
  json result = named ? json::object() : aValue;
  if (named) {
    for (const json& item : aValue) {
      result[item.at("name").get<std::string>()] = IndexByName(item);
    }
  } else if (aValue.is_object()) {
    for (const auto& [name, value] : aValue.items()) {
      result[name] = IndexByName(value);
    }
  }
  return result;
}

// Formats a value for a diff. Keys are redacted, because they are credentials.
std::string FormatValue(const std::string& aPath, const json& aValue)
{
  return aPath.ends_with("/keys") ? "(keys)" : aValue.dump();
}

std::string ChildPath(const std::string& aPath, const std::string& aName)
{
  std::string path = aPath;
  path += '/';
  path += aName;
  return path;
}

void CollectDifferences(const std::string& aPath,
                        const json& aFrom,
                        const json& aTo,
                        std::vector<std::string>& aLines)
{
  if (aFrom == aTo) {
    return;
  }
  if (!aFrom.is_object() || !aTo.is_object()) {
    aLines.push_back("~ " + aPath + ": " + FormatValue(aPath, aFrom) + " -> " +
                     FormatValue(aPath, aTo));
    return;
  }
  for (const auto& [name, value] : aFrom.items()) {
    const std::string path = ChildPath(aPath, name);
    if (aTo.contains(name)) {
      CollectDifferences(path, value, aTo.at(name), aLines);
    } else {
      aLines.push_back("- " + path);
    }
  }
  for (const auto& [name, value] : aTo.items()) {
    if (!aFrom.contains(name)) {
      aLines.push_back("+ " + ChildPath(aPath, name));
    }
  }
}

} // namespace

StoredConfiguration StoredConfiguration::FromSpec(const json& aSpec)
{
  StoredConfiguration stored{
    .generation_ = JsonFieldOr(aSpec, "generation", std::uint64_t{ 0 }),
    .configuration_ = JsonFieldOr(aSpec, "configuration", json::object()),
  };
  for (const json& item : JsonFieldOr(aSpec, "recent", json::array())) {
    stored.recent_.push_back(
      { .generation_ = JsonFieldOr(item, "generation", std::uint64_t{ 0 }),
        .nonce_ = JsonFieldOr(item, "nonce", std::string()),
        .author_ = JsonFieldOr(item, "author", std::string()),
        .atMs_ = JsonFieldOr(item, "at_ms", std::int64_t{ 0 }) });
  }
  return stored;
}

json StoredConfiguration::ToSpec() const
{
  json recent = json::array();
  for (const ConfigChange& change : recent_) {
    recent.push_back({ { "generation", change.generation_ },
                       { "nonce", change.nonce_ },
                       { "author", change.author_ },
                       { "at_ms", change.atMs_ } });
  }
  return { { "generation", generation_ },
           { "configuration", configuration_ },
           { "recent", recent } };
}

std::optional<ConfigChange> StoredConfiguration::FindChange(
  std::string_view aNonce) const
{
  const auto found = std::find_if(
    recent_.begin(), recent_.end(), [aNonce](const ConfigChange& aChange) {
      return aChange.nonce_ == aNonce;
    });
  return found == recent_.end() ? std::nullopt : std::optional(*found);
}

std::optional<std::uint64_t> NextGeneration(const StoredConfiguration& aStored,
                                            const ConfigProposal& aProposal)
{
  const std::uint64_t newest =
    std::max(aStored.generation_, aProposal.highestInForce_);
  if (aProposal.base_ != newest) {
    return std::nullopt;
  }
  return newest + 1;
}

StoredConfiguration AppendChange(const StoredConfiguration& aStored,
                                 json aConfiguration,
                                 ConfigChange aChange)
{
  StoredConfiguration next = aStored;
  next.generation_ = aChange.generation_;
  next.configuration_ = std::move(aConfiguration);
  next.recent_.push_back(std::move(aChange));
  if (next.recent_.size() > StoredConfiguration::kMaxRecentChanges) {
    next.recent_.erase(next.recent_.begin());
  }
  return next;
}

std::vector<std::string> DiffConfigurations(const json& aFrom, const json& aTo)
{
  std::vector<std::string> lines;
  CollectDifferences("", IndexByName(aFrom), IndexByName(aTo), lines);
  return lines;
}

} // namespace gooseberrylift
