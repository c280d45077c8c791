// The capacity file, docs/capacity.json: the fleet to plan for and what was measured, with the fit of each
// series. The tables of docs/CAPACITY.md are printed from it.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "loadtest/fleet_size.h"
#include "loadtest/measurement.h"

namespace firvalve::loadtest {

struct CapacityFile {
  FleetSize fleet;
  std::vector<Measurement> measurements;  // sorted: see sort_measurements
};

// what() is one line: the file, the line in it and the fault.
class CapacityFileError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

// By name, then by what was varied, then by what was held.
void sort_measurements(std::vector<Measurement>& measurements);

// Replaces those of the same name, varied and fixed sizes; adds the others.
void merge_measurements(CapacityFile& file, std::vector<Measurement> fresh);

// The whole file as text. The same content gives the same text; one measurement is one block.
std::string capacity_text(const CapacityFile& file);

// The measurements alone, in the blocks of the capacity file.
std::string measurements_text(std::vector<Measurement> measurements);

// Throws JsonError: a field is missing, unknown or of the wrong kind, points do not ascend, or a fit is not
// the one that the points give.
CapacityFile parse_capacity(const std::string& text);

// What measurements_text has written. Throws JsonError as parse_capacity does.
std::vector<Measurement> parse_measurements(const std::string& text);

// These throw CapacityFileError.
std::vector<Measurement> read_measurements_file(const std::string& path);
CapacityFile read_capacity_file(const std::string& path);
std::string read_text_file(const std::string& path);
// The old content stays where the new cannot be written whole.
void write_text_file(const std::string& path, const std::string& text);

}  // namespace firvalve::loadtest
