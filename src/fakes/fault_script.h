// What a fake is to do with a statement, told by the statement itself: words in its first comment that
// opens with an exclamation mark, as in `select 1 /*! delay=200 rows=5 */`. A test so states the failure that
// it causes in the line that meets it.
#pragma once

#include <string>
#include <string_view>

#include "base/units.h"

namespace firvalve::fakes {

struct FaultScript {
  Ms delay = 0;  // until the rows are ready, or the answer is given
  int rows = 1;  // a page
  int pages = 1;
  int row_bytes = 0;    // of the third column, at least
  int status = 200;     // of an engine: 500 failed, 503 full, 504 over already
  int ask_status = 0;   // of every answer but that to the start, 503 and 504 with Not-Begun; 0: as it is
  bool refuse = false;  // from its start on its engine takes no new connections: it drains
  bool silent = false;  // nothing is ever said to it
  int reset = -1;       // bytes of an answer that go out before its connection is reset; below 0: not so
  int cut = -1;         // the same, and then an orderly end
  int times = 1 << 30;  // that reset, cut or shed happens
  int reset_next = 0;   // new connections that are reset as they come up, once a reset or cut has happened
  int spoil_times = 1 << 30;  // that spoil happens
  std::string note;           // NAME:VALUE, told of a query before its rows are ready
  std::string
      spoil;  // junk, head, length, noise, half (a row), page (the wrong one), twice, other (number), huge
  // Of a gateway:
  std::string answer = "rows";  // rows, shed, fail, none
  std::string holdoff;          // as it stands in the answer; empty: none
  Ms late = 0;                  // answered so late
};

// Words that are not known, or figures that are none: std::invalid_argument names them.
FaultScript script_of(std::string_view statement);

// The rows of page `page` (from 0) of a statement, whole: three columns, told by nothing but these.
std::string rows_of(const FaultScript& script, int page);

}  // namespace firvalve::fakes
