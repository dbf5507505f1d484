// Text tables for terminals of 80 columns.

#ifndef GOOSEBERRYLIFT_GOOSEBERRYLIFT_TEXT_TABLE_H_
#define GOOSEBERRYLIFT_GOOSEBERRYLIFT_TEXT_TABLE_H_

#include <cstddef>
#include <string>
#include <vector>

namespace gooseberrylift {

// Lines up rows under a heading. When a row would be wider than the limit, the
// widest left-aligned column gives way and its long cells end in "~":
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
    bool right_ = false; // for numbers, which are never shortened
  };

  static constexpr std::size_t kWidth = 80;

  explicit TextTable(std::vector<Column> aColumns);

  /// Adds a row with one cell for each column.
  void Add(std::vector<std::string> aCells);

  /// Gives heading and rows, each line ended.
  std::string Text() const;

private:
  std::vector<std::size_t> Widths() const;
  std::string Line(const std::vector<std::string>& aCells,
                   const std::vector<std::size_t>& aWidths) const;

  std::vector<Column> columns_;
  std::vector<std::vector<std::string>> rows_;
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_GOOSEBERRYLIFT_TEXT_TABLE_H_
