// Prints the tables of docs/CAPACITY.md from the capacity file and inserts them at their markers in the page.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "loadtest/capacity_file.h"

namespace firvalve::loadtest {

// A table that can be printed, and its marker in the page.
struct PageTable {
  const char* name;   // NAME in the marker <!-- table: NAME -->
  const char* title;  // heading used by print_tables
  std::string (*print)(const CapacityFile& file);
};

// Returns all tables in print order.
const std::vector<PageTable>& page_tables();

// The markers in the page are invalid. what() is one line that begins with "line N: ".
class PageError : public std::runtime_error {
 public:
  PageError(int line, const std::string& why);
};

// Returns the page with the text between each <!-- table: NAME --> and the next <!-- end --> replaced by the
// table of that name. Throws PageError if a name is unknown, an end marker is missing, or a table has no
// marker.
std::string fill_page(const std::string& page, const CapacityFile& file);

// Returns all tables, each with its title.
std::string print_tables(const CapacityFile& file);

}  // namespace firvalve::loadtest
