#include "gooseberrylift/gooseberrylift-config-change.h"

#include <algorithm>

namespace gooseberrylift {

using nlohmann::json;

namespace {

// Turns lists whose items have names into objects by name, so that a changed
// order or an inserted item does not show as a change of all that follow.
json ByName(const json& aValue)
{
  const bool named =
    aValue.is_array() && !aValue.empty() &&
    std::all_of(aValue.begin(), aValue.end(), [](const json& aItem) {
      return aItem.is_object() && aItem.contains("name");
    });
  json result = named ? json::object() : aValue;
  if (named) {
    for (const json& item : aValue) {
      result[item.at("name").get<std::string>()] = ByName(item);
    }
  } else if (aValue.is_object()) {
    for (const auto& [name, value] : aValue.items()) {
      result[name] = ByName(value);
    }
  }
  return result;
}

// A key is as good as a password and does not belong on a screen.
std::string Shown(const std::string& aPath, const json& aValue)
{
  return aPath.ends_with("/keys") ? "(keys)" : aValue.dump();
}

std::string Below(const std::string& aPath, const std::string& aName)
{
  std::string path = aPath;
  path += '/';
  path += aName;
  return path;
}

void Compare(const std::string& aPath,
             const json& aFrom,
             const json& aTo,
             std::vector<std::string>& aLines)
{
  if (aFrom == aTo) {
    return;
  }
  if (!aFrom.is_object() || !aTo.is_object()) {
    aLines.push_back("~ " + aPath + ": " + Shown(aPath, aFrom) + " -> " +
                     Shown(aPath, aTo));
    return;
  }
  for (const auto& [name, value] : aFrom.items()) {
    const std::string path = Below(aPath, name);
    if (aTo.contains(name)) {
      Compare(path, value, aTo.at(name), aLines);
    } else {
      aLines.push_back("- " + path);
    }
  }
  for (const auto& [name, value] : aTo.items()) {
    if (!aFrom.contains(name)) {
      aLines.push_back("+ " + Below(aPath, name));
    }
  }
}

} // namespace

StoredConfiguration StoredConfiguration::FromSpec(const json& aSpec)
{
  StoredConfiguration stored{
    .generation_ = aSpec.value("generation", std::uint64_t{ 0 }),
    .configuration_ = aSpec.value("configuration", json::object()),
  };
  for (const json& item : aSpec.value("recent", json::array())) {
    stored.recent_.push_back(
      { .generation_ = item.value("generation", std::uint64_t{ 0 }),
        .nonce_ = item.value("nonce", ""),
        .author_ = item.value("author", ""),
        .atMs_ = item.value("at_ms", std::int64_t{ 0 }) });
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
    std::max(aStored.generation_, aProposal.highestKnown_);
  if (aProposal.base_ != newest) {
    return std::nullopt;
  }
  return newest + 1;
}

StoredConfiguration WithChange(const StoredConfiguration& aStored,
                               json aConfiguration,
                               ConfigChange aChange)
{
  StoredConfiguration next = aStored;
  next.generation_ = aChange.generation_;
  next.configuration_ = std::move(aConfiguration);
  next.recent_.push_back(std::move(aChange));
  if (next.recent_.size() > StoredConfiguration::kRecent) {
    next.recent_.erase(next.recent_.begin());
  }
  return next;
}

std::vector<std::string> DiffConfigurations(const json& aFrom, const json& aTo)
{
  std::vector<std::string> lines;
  Compare("", ByName(aFrom), ByName(aTo), lines);
  return lines;
}

} // namespace gooseberrylift
