// Reads and writes the capacity file, docs/capacity.json: the planned cluster size and the measurements, each
// with the fit of its points. The tables of docs/CAPACITY.md are printed from it.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "loadtest/fleet_size.h"
#include "loadtest/measurement.h"

namespace firvalve::loadtest {

// Content of the capacity file.
struct CapacityFile {
  FleetSize fleet;
  std::vector<Measurement> measurements;  // in the order of sort_measurements
};

// what() is one line that names the file, the line if the content is invalid, and the error.
class CapacityFileError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Sorts by name, then by varied size, then by fixed sizes.
void sort_measurements(std::vector<Measurement>& measurements);

// Replaces measurements with the name, varied size and fixed sizes of one in `fresh`; adds the others.
void merge_measurements(CapacityFile& file, std::vector<Measurement> fresh);

// Returns the complete file as text, with one block per measurement. Equal content gives equal text.
std::string capacity_text(const CapacityFile& file);

// Returns only the measurements, in the same block format as the capacity file.
std::string measurements_text(std::vector<Measurement> measurements);

// Throws JsonError if a field is missing, unknown or of the wrong type, if the planned sizes contradict each
// other, if points are not in ascending order, or if a stored fit differs from the fit of its points.
CapacityFile parse_capacity(const std::string& text);

// Parses the output of measurements_text. Throws JsonError in the same cases as parse_capacity.
std::vector<Measurement> parse_measurements(const std::string& text);

// The functions below throw CapacityFileError if the file cannot be read, parsed or written.
std::vector<Measurement> read_measurements_file(const std::string& path);
CapacityFile read_capacity_file(const std::string& path);
std::string read_text_file(const std::string& path);
// Writes a temporary file and renames it, so the old content remains if the write fails.
void write_text_file(const std::string& path, const std::string& text);

}  // namespace firvalve::loadtest
