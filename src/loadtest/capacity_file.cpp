// Parser, checks and writer of the capacity file.
#include "loadtest/capacity_file.h"

#include <fmt/format.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <initializer_list>
#include <sstream>
#include <tuple>
#include <utility>

#include "loadtest/fit.h"
#include "loadtest/json_lines.h"

namespace firvalve::loadtest {
namespace {

// Tolerance between a stored fit and the fit recomputed from its points: both are rounded to kDigits digits.
constexpr double kFitTolerance = 1e-3;

std::string quoted(const std::string& text) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.String(text.c_str(), static_cast<rapidjson::SizeType>(text.size()));
  return buffer.GetString();
}

std::string number(double value) { return fmt::format("{:.6g}", value); }

double rounded(double value) { return std::stod(number(value)); }

// Rounds the points as they will be read back, so that the stored fit matches the written points.
std::vector<Point> rounded_points(const Measurement& measurement) {
  std::vector<Point> out;
  for (const Point& point : measurement.points) out.push_back({rounded(point.size), rounded(point.value)});
  return out;
}

template <typename Sizes, size_t kCount>
std::string sizes_text(const Sizes& sizes, const std::array<SizeField<Sizes>, kCount>& fields) {
  std::string out;
  for (const auto& [name, field] : fields) {
    if (!out.empty()) out += ",\n";
    out += fmt::format("    \"{}\": {}", name, sizes.*field);
  }
  return out;
}

std::string points_text(const std::vector<Point>& points) {
  std::string out;
  for (const Point& point : points) {
    if (!out.empty()) out += ", ";
    out += fmt::format("[{}, {}]", number(point.size), number(point.value));
  }
  return out;
}

std::string fixed_text(const std::map<std::string, double>& fixed) {
  std::string out;
  for (const auto& [name, value] : fixed) {
    if (!out.empty()) out += ", ";
    out += fmt::format("{}: {}", quoted(name), number(value));
  }
  return out;
}

std::string fit_text(const std::vector<Point>& points) {
  const std::optional<HeldOutFit> held_out = fit_held_out(points);
  if (!held_out) return "null";
  const Fit& fit = held_out->fit;
  return fmt::format(R"({{"form": "{}", "intercept": {}, "slope": {}, "residual": {}, "predicted": {}}})",
                     form_name(fit.form), number(fit.intercept), number(fit.slope), number(fit.residual),
                     number(held_out->predicted));
}

std::string measurement_text(const Measurement& measurement) {
  const std::vector<Point> points = rounded_points(measurement);
  std::string out = "    {\n";
  out += fmt::format("      \"name\": {},\n", quoted(measurement.name));
  out += fmt::format("      \"unit\": {},\n", quoted(measurement.unit));
  out += fmt::format("      \"varied\": {},\n", quoted(measurement.varied));
  out += fmt::format("      \"fixed\": {{{}}},\n", fixed_text(measurement.fixed));
  out += fmt::format("      \"points\": [{}],\n", points_text(points));
  out += fmt::format("      \"fit\": {},\n", fit_text(points));
  out += fmt::format("      \"command\": {},\n", quoted(measurement.command));
  out += fmt::format("      \"date\": {},\n", quoted(measurement.date));
  out += fmt::format("      \"machine\": {},\n", quoted(measurement.machine));
  out += fmt::format("      \"seed\": {}\n    }}", measurement.seed);
  return out;
}

std::string blocks_text(const std::vector<Measurement>& measurements) {
  std::string out;
  for (const Measurement& measurement : measurements) {
    if (!out.empty()) out += ",\n";
    out += measurement_text(measurement);
  }
  if (out.empty()) return "[]";
  return "[\n" + out + "\n  ]";
}

template <typename Names>
void refuse_unknown(const JsonNode& object, const Names& is_known) {
  for (size_t i = 0; i < object.keys.size(); ++i)
    if (!is_known(object.keys[i]))
      throw JsonError(object.items[i].line, "\"" + object.keys[i] + "\" is no field of a capacity file");
}

void refuse_others(const JsonNode& object, std::initializer_list<std::string_view> names) {
  refuse_unknown(object, [&](std::string_view key) {
    return std::find(names.begin(), names.end(), key) != names.end();
  });
}

template <typename Sizes, size_t kCount>
Sizes read_sizes(const JsonNode& object, const std::array<SizeField<Sizes>, kCount>& fields) {
  refuse_unknown(object, [&](std::string_view key) {
    return std::any_of(fields.begin(), fields.end(), [&](const auto& field) { return key == field.name; });
  });
  Sizes out;
  for (const auto& [name, field] : fields) out.*field = object.number_at(name);
  return out;
}

std::vector<Point> read_points(const JsonNode& array) {
  if (array.items.empty()) throw JsonError(array.line, "\"points\" is empty");
  std::vector<Point> out;
  for (const JsonNode& pair : array.items) {
    const bool is_pair = pair.kind == JsonNode::Kind::kArray && pair.items.size() == 2 &&
                         pair.items[0].kind == JsonNode::Kind::kNumber &&
                         pair.items[1].kind == JsonNode::Kind::kNumber;
    if (!is_pair) throw JsonError(pair.line, "a point is not a pair of numbers");
    const Point point{pair.items[0].number, pair.items[1].number};
    if (!out.empty() && point.size <= out.back().size)
      throw JsonError(pair.line, "sizes of points do not ascend");
    out.push_back(point);
  }
  return out;
}

void check_near(const JsonNode& stored, const char* name, double expected, double scale) {
  const double value = stored.number_at(name);
  if (std::abs(value - expected) <= kFitTolerance * std::max(std::abs(scale), std::abs(expected))) return;
  throw JsonError(stored.at(name).line,
                  fmt::format("\"{}\" is {} and the points give {}", name, number(value), number(expected)));
}

// Rejects a fit or points that were edited by hand: they no longer match, so the figure was not measured.
void check_fit(const JsonNode& stored, const std::vector<Point>& points) {
  const std::optional<HeldOutFit> expected = fit_held_out(points);
  if (!expected) {
    if (stored.kind != JsonNode::Kind::kNull)
      throw JsonError(stored.line, "\"fit\" has too few points: write null");
    return;
  }
  if (stored.kind != JsonNode::Kind::kObject) throw JsonError(stored.line, "\"fit\" is not an object");
  refuse_others(stored, {"form", "intercept", "slope", "residual", "predicted"});
  if (form_by_name(stored.text_at("form")) != expected->fit.form)
    throw JsonError(stored.at("form").line, fmt::format("\"form\" is not \"{}\", which the points give",
                                                        form_name(expected->fit.form)));
  check_near(stored, "intercept", expected->fit.intercept, points.back().value);
  check_near(stored, "slope", expected->fit.slope, 0);
  check_near(stored, "residual", expected->fit.residual, 1);
  check_near(stored, "predicted", expected->predicted, points.back().value);
}

uint64_t read_seed(const JsonNode& object) {
  const double seed = object.number_at("seed");
  if (seed < 0 || seed != std::floor(seed))
    throw JsonError(object.at("seed").line, "\"seed\" is no whole number");
  return static_cast<uint64_t>(seed);
}

Measurement read_measurement(const JsonNode& object) {
  if (object.kind != JsonNode::Kind::kObject) throw JsonError(object.line, "a measurement is not an object");
  refuse_others(object,
                {"name", "unit", "varied", "fixed", "points", "fit", "command", "date", "machine", "seed"});
  Measurement out;
  out.name = object.text_at("name");
  out.unit = object.text_at("unit");
  out.varied = object.text_at("varied");
  const JsonNode& fixed = object.object_at("fixed");
  for (const std::string& key : fixed.keys) out.fixed[key] = fixed.number_at(key);
  out.points = read_points(object.array_at("points"));
  check_fit(object.at("fit"), out.points);
  out.command = object.text_at("command");
  out.date = object.text_at("date");
  out.machine = object.text_at("machine");
  out.seed = read_seed(object);
  return out;
}

// Key of a measurement: a new measurement with an equal key replaces the old one.
auto identity(const Measurement& measurement) {
  return std::tie(measurement.name, measurement.varied, measurement.fixed);
}

std::vector<Measurement> read_blocks(const JsonNode& root) {
  std::vector<Measurement> out;
  for (const JsonNode& block : root.array_at("measurements").items) {
    Measurement measurement = read_measurement(block);
    for (const Measurement& other : out)
      if (identity(other) == identity(measurement))
        throw JsonError(block.line, "\"" + measurement.name + "\" stands twice with the same sizes");
    out.push_back(std::move(measurement));
  }
  sort_measurements(out);
  return out;
}

// Reads and parses a file; parse errors are rethrown with the file name.
template <typename Parse>
auto read_parsed(const std::string& path, Parse&& parse) {
  const std::string text = read_text_file(path);
  try {
    return parse(text);
  } catch (const JsonError& error) {
    throw CapacityFileError(path + ": " + error.what());
  }
}

}  // namespace

void sort_measurements(std::vector<Measurement>& measurements) {
  std::sort(measurements.begin(), measurements.end(),
            [](const Measurement& a, const Measurement& b) { return identity(a) < identity(b); });
}

void merge_measurements(CapacityFile& file, std::vector<Measurement> fresh) {
  const auto is_replaced = [&](const Measurement& old) {
    return std::any_of(fresh.begin(), fresh.end(),
                       [&](const Measurement& taken) { return identity(taken) == identity(old); });
  };
  std::erase_if(file.measurements, is_replaced);
  for (Measurement& measurement : fresh) file.measurements.push_back(std::move(measurement));
  sort_measurements(file.measurements);
}

std::string capacity_text(const CapacityFile& file) {
  std::vector<Measurement> sorted = file.measurements;
  sort_measurements(sorted);
  std::string out = "{\n  \"planned\": {\n" + sizes_text(file.fleet.planned, kPlannedFields) + "\n  },\n";
  out += "  \"assumed\": {\n" + sizes_text(file.fleet.assumed, kAssumedFields) + "\n  },\n";
  out += "  \"measurements\": " + blocks_text(sorted) + "\n}\n";
  return out;
}

std::string measurements_text(std::vector<Measurement> measurements) {
  sort_measurements(measurements);
  return "{\n  \"measurements\": " + blocks_text(measurements) + "\n}\n";
}

CapacityFile parse_capacity(const std::string& text) {
  const JsonNode root = parse_json(text);
  if (root.kind != JsonNode::Kind::kObject) throw JsonError(root.line, "a capacity file is one object");
  refuse_others(root, {"planned", "assumed", "measurements"});
  CapacityFile file;
  file.fleet.planned = read_sizes(root.object_at("planned"), kPlannedFields);
  file.fleet.assumed = read_sizes(root.object_at("assumed"), kAssumedFields);
  const std::string fault = contradiction(file.fleet);
  if (!fault.empty()) throw JsonError(root.at("planned").line, fault);
  file.measurements = read_blocks(root);
  return file;
}

std::vector<Measurement> parse_measurements(const std::string& text) {
  const JsonNode root = parse_json(text);
  refuse_others(root, {"measurements"});
  return read_blocks(root);
}

std::string read_text_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) throw CapacityFileError(path + ": cannot be read");
  return text.str();
}

std::vector<Measurement> read_measurements_file(const std::string& path) {
  return read_parsed(path, parse_measurements);
}

CapacityFile read_capacity_file(const std::string& path) { return read_parsed(path, parse_capacity); }

void write_text_file(const std::string& path, const std::string& text) {
  const std::string fresh = path + ".new";
  std::ofstream out(fresh, std::ios::binary);
  out << text;
  out.close();
  std::error_code renamed;
  if (out) std::filesystem::rename(fresh, path, renamed);
  if (!out || renamed) {
    std::remove(fresh.c_str());
    throw CapacityFileError(path + ": cannot be written");
  }
}

}  // namespace firvalve::loadtest
