#include "gooseberrylift/gooseberrylift-text-table.h"

#include <algorithm>
#include <numeric>

namespace gooseberrylift {

namespace {

constexpr std::size_t kGap = 2;
constexpr std::size_t kNarrowest = 6; // a shortened cell still says something

// Counts characters, not the bytes of their UTF-8 form.
std::size_t WidthOf(const std::string& aText)
{
  return static_cast<std::size_t>(
    std::count_if(aText.begin(), aText.end(), [](char aByte) {
      return (static_cast<unsigned char>(aByte) & 0xC0U) != 0x80U;
    }));
}

std::string Shorten(const std::string& aText, std::size_t aWidth)
{
  if (WidthOf(aText) <= aWidth) {
    return aText;
  }
  std::string kept = aText;
  while (WidthOf(kept) >= aWidth) {
    // The first byte of a character goes last.
    while ((static_cast<unsigned char>(kept.back()) & 0xC0U) == 0x80U) {
      kept.pop_back();
    }
    kept.pop_back();
  }
  return kept + "~";
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

std::vector<std::size_t> TextTable::Widths() const
{
  std::vector<std::size_t> widths;
  for (std::size_t column = 0; column < columns_.size(); ++column) {
    std::size_t width = WidthOf(columns_.at(column).heading_);
    for (const auto& row : rows_) {
      width = std::max(width, WidthOf(row.at(column)));
    }
    widths.push_back(width);
  }
  const auto total = [&widths] {
    return std::accumulate(widths.begin(), widths.end(), std::size_t{ 0 }) +
           kGap * (widths.size() - 1);
  };
  while (total() > kWidth) {
    std::size_t widest = columns_.size();
    for (std::size_t column = 0; column < columns_.size(); ++column) {
      const bool wider =
        widest == columns_.size() || widths.at(column) > widths.at(widest);
      if (!columns_.at(column).right_ && wider) {
        widest = column;
      }
    }
    if (widest == columns_.size() || widths.at(widest) <= kNarrowest) {
      break;
    }
    --widths.at(widest);
  }
  return widths;
}

std::string TextTable::Line(const std::vector<std::string>& aCells,
                            const std::vector<std::size_t>& aWidths) const
{
  std::string line;
  for (std::size_t column = 0; column < columns_.size(); ++column) {
    const std::string cell = columns_.at(column).right_
                               ? aCells.at(column)
                               : Shorten(aCells.at(column), aWidths.at(column));
    const std::size_t width = WidthOf(cell);
    const std::string fill(
      aWidths.at(column) > width ? aWidths.at(column) - width : 0, ' ');
    line += column == 0 ? "" : std::string(kGap, ' ');
    line += columns_.at(column).right_ ? fill + cell : cell + fill;
  }
  line.erase(line.find_last_not_of(' ') + 1);
  return line + "\n";
}

std::string TextTable::Text() const
{
  const std::vector<std::size_t> widths = Widths();
  std::vector<std::string> headings;
  for (const Column& column : columns_) {
    headings.push_back(column.heading_);
  }
  std::string text = Line(headings, widths);
  for (const auto& row : rows_) {
    text += Line(row, widths);
  }
  return text;
}

} // namespace gooseberrylift
