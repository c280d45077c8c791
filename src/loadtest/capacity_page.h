// The tables of docs/CAPACITY.md, printed from the capacity file, and their places in the page.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "loadtest/capacity_file.h"

namespace firvalve::loadtest {

struct PageTable {
  const char* name;   // in the page: <!-- table: NAME -->
  const char* title;  // where the tables are printed without a page
  std::string (*print)(const CapacityFile& file);
};

// All tables, in the order in which they are printed.
const std::vector<PageTable>& page_tables();

// what() is one line that begins with "line N: ".
class PageError : public std::runtime_error {
 public:
  PageError(int line, const std::string& why);
};

// The page with what stands between each <!-- table: NAME --> and the next <!-- end --> printed anew. Throws
// PageError: an unknown name, no end, or a table that has no place.
std::string fill_page(const std::string& page, const CapacityFile& file);

// All tables with their titles.
std::string print_tables(const CapacityFile& file);

}  // namespace firvalve::loadtest
