#include "gooseberrylift/gooseberrylift-text-table.h"

#include <algorithm>
#include <numeric>

namespace gooseberrylift {

namespace {

constexpr std::size_t kColumnGap = 2;
constexpr std::size_t kMinColumnWidth = 6; // keeps truncated cells readable

// Returns the number of UTF-8 code points.
std::size_t DisplayWidth(const std::string& aText)
{
  return static_cast<std::size_t>(
    std::count_if(aText.begin(), aText.end(), [](char aByte) {
      return (static_cast<unsigned char>(aByte) & 0xC0U) != 0x80U;
    }));
}

std::string Truncate(const std::string& aText, std::size_t aWidth)
{
  if (DisplayWidth(aText) <= aWidth) {
    return aText;
  }
  std::string truncated = aText;
  while (DisplayWidth(truncated) >= aWidth) {
    // Remove the continuation bytes of a code point before its first byte.
    while ((static_cast<unsigned char>(truncated.back()) & 0xC0U) == 0x80U) {
      truncated.pop_back();
    }
    truncated.pop_back();
  }
  return truncated + "~";
}

} // namespace

TextTable::TextTable(std::vector<Column> aColumns)
  : columns_(std::move(aColumns))
{
}

void TextTable::Add(std::vector<std::string> aCells)
{
  aCells.resize(columns_.size());
  rows_.push_back(std::move(aCells));
}

std::vector<std::size_t> TextTable::ColumnWidths() const
{
  std::vector<std::size_t> widths;
  for (std::size_t column = 0; column < columns_.size(); ++column) {
    std::size_t width = DisplayWidth(columns_.at(column).heading_);
    for (const auto& row : rows_) {
      width = std::max(width, DisplayWidth(row.at(column)));
    }
    widths.push_back(width);
  }
  const auto total = [&widths] {
    return std::accumulate(widths.begin(), widths.end(), std::size_t{ 0 }) +
           kColumnGap * (widths.size() - 1);
  };
  while (total() > kWidth) {
    std::size_t widest = columns_.size();
    for (std::size_t column = 0; column < columns_.size(); ++column) {
      const bool wider =
        widest == columns_.size() || widths.at(column) > widths.at(widest);
      if (!columns_.at(column).rightAligned_ && wider) {
        widest = column;
      }
    }
    if (widest == columns_.size() || widths.at(widest) <= kMinColumnWidth) {
      break;
    }
    --widths.at(widest);
  }
  return widths;
}

std::string TextTable::FormatLine(const std::vector<std::string>& aCells,
                                  const std::vector<std::size_t>& aWidths) const
{
  std::string line;
  for (std::size_t column = 0; column < columns_.size(); ++column) {
    const std::string cell =
      columns_.at(column).rightAligned_
        ? aCells.at(column)
        : Truncate(aCells.at(column), aWidths.at(column));
    const std::size_t width = DisplayWidth(cell);
    const std::string padding(
      aWidths.at(column) > width ? aWidths.at(column) - width : 0, ' ');
    line += column == 0 ? "" : std::string(kColumnGap, ' ');
    line += columns_.at(column).rightAligned_ ? padding + cell : cell + padding;
  }
  line.erase(line.find_last_not_of(' ') + 1);
  return line + "\n";
}

std::string TextTable::Text() const
{
  const std::vector<std::size_t> widths = ColumnWidths();
  std::vector<std::string> headings;
  for (const Column& column : columns_) {
    headings.push_back(column.heading_);
  }
  std::string text = FormatLine(headings, widths);
  for (const auto& row : rows_) {
    text += FormatLine(row, widths);
  }
  return text;
}

} // namespace gooseberrylift
