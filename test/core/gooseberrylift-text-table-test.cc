#include "gooseberrylift/gooseberrylift-text-table.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

using gooseberrylift::TextTable;

TEST_GROUP(TextTableTest){};

TEST(TextTableTest, AlignsColumns)
{
  TextTable table({ { "HOST" }, { "WAITING", true } });
  table.Add({ "entry-1", "5" });
  table.Add({ "b", "12345678" });
  STRCMP_EQUAL("HOST      WAITING\n"
               "entry-1         5\n"
               "b        12345678\n",
               table.Text().c_str());
}

TEST(TextTableTest, TruncatesTextTo80ColumnsButNoNumbers)
{
  TextTable table({ { "NAME" }, { "WHY" }, { "COUNT", true } });
  table.Add({ std::string(70, 'n'), std::string(90, 'w'), "123456789" });
  table.Add({ "Käyttö", "ok", "1" });
  std::istringstream text(table.Text());
  for (std::string line; std::getline(text, line);) {
    // 80 columns; each of the two umlauts takes two bytes.
    CHECK(line.size() <= 82);
  }
  STRCMP_CONTAINS("~  ", table.Text().c_str());
  STRCMP_CONTAINS("123456789\n", table.Text().c_str());
}
