// Plain-text tables for 80-column terminals.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_TEXT_TABLE_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_TEXT_TABLE_H_

#include <cstddef>
#include <string>
#include <vector>

namespace gooseberrylift {

// Aligns rows under column headings. If the table is wider than kWidth, the
// widest left-aligned columns are narrowed; truncated cells end in "~":
//
//   TextTable table({ { "HOST" }, { "WAITING", true } });
//   table.Add({ "entry-1", "0" });
//   std::cout << table.Text();
class TextTable
{
public:
  struct Column
  {
    std::string heading_;
    bool rightAligned_ = false; // for numbers; never truncated
  };

  static constexpr std::size_t kWidth = 80;

  explicit TextTable(std::vector<Column> aColumns);

  /// Appends a row with one cell per column.
  void Add(std::vector<std::string> aCells);

  /// Returns the headings and rows, each terminated by a newline.
  std::string Text() const;

private:
  std::vector<std::size_t> ColumnWidths() const;
  std::string FormatLine(const std::vector<std::string>& aCells,
                         const std::vector<std::size_t>& aWidths) const;

  std::vector<Column> columns_;
  std::vector<std::vector<std::string>> rows_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_TEXT_TABLE_H_
