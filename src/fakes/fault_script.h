// The fault script of a statement: options in its first comment that opens with an exclamation mark, such as
// `select 1 /*! delay=200 rows=5 */`, tell a fake how to respond. A test thus states a fault in the statement
// that triggers it.
#pragma once

#include <string>
#include <string_view>

#include "base/units.h"

namespace firvalve::fakes {

// The parsed options, with their defaults.
struct FaultScript {
  Ms delay = 0;  // run time of the query at the engine
  int rows = 1;  // rows per page
  int pages = 1;
  int row_bytes = 0;    // minimum length of the third column
  int status = 200;     // engine's response: 500 failed, 503 full, 504 cancelled before it started
  int ask_status = 0;   // engine's response to each poll, with Not-Begun if above 500; 0: the normal response
  bool refuse = false;  // when the query starts, its engine stops accepting connections, as while draining
  bool silent = false;  // the engine never responds
  int reset = -1;       // bytes of the response sent before the connection is reset; negative: no reset
  int cut = -1;         // as reset, but the connection is closed in order
  int times = 1 << 30;  // how often reset, cut or shed is applied
  int reset_next = 0;   // number of new connections that are reset after each reset or cut
  int max_corruptions = 1 << 30;  // how many responses are corrupted (option spoil-times)
  std::string note;               // NAME:VALUE of a status report sent before the rows are ready
  // How the response is corrupted (option spoil): junk (replaces it), head, length, noise (after it), half
  // (ends inside a row), page (wrong page number), twice, other (wrong request id), huge.
  std::string corruption;
  // Fake gateway only.
  std::string answer = "rows";  // rows, shed, fail, none
  std::string holdoff;          // JSON value of `holdoff` in a shed response; empty: omitted
  Ms late = 0;                  // delay of the response
};

// Throws std::invalid_argument, which names the option, if an option is unknown or its number is malformed.
FaultScript script_of(std::string_view statement);

// Returns all rows of page `page` (from 0), with three columns each; they depend on the arguments only.
std::string rows_of(const FaultScript& script, int page);

}  // namespace firvalve::fakes
