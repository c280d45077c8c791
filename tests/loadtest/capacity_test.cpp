// Tests the capacity file, its fits and its page. The measurements are made-up samples.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cmath>
#include <string>
#include <vector>

#include "loadtest/capacity_file.h"
#include "loadtest/capacity_page.h"
#include "loadtest/cost_model.h"
#include "loadtest/fit.h"
#include "loadtest/json_lines.h"
#include "loadtest/sizes_check.h"
#include "loadtest/trouble.h"

namespace firvalve::loadtest {
namespace {

const std::vector<double> kSizes = {8, 64, 128, 256, 512, 1100};

std::vector<Point> points_of(double (*value)(double size)) {
  std::vector<Point> out;
  for (const double size : kSizes) out.push_back({size, value(size)});
  return out;
}

Measurement sample(const std::string& name, const std::string& varied, std::map<std::string, double> fixed,
                   double (*value)(double size)) {
  return {name, "sample", varied, std::move(fixed), points_of(value), "a sample", "2026-12-02", "none", 1};
}

CapacityFile sample_file() {
  CapacityFile file;
  merge_measurements(
      file,
      {sample("gateway.core_share", "engines", {{"rate", 1364}, {"zones", 20}},
              [](double size) { return 0.1 + size / 1e4; }),
       sample("gateway.core_share", "engines", {{"rate", 200}, {"zones", 20}}, [](double) { return 9.0; }),
       sample("loss.holder.recovery", "gateways", {}, [](double size) { return 1000 + 20 * size; })});
  return file;
}

// The parser's error for a file; empty: none.
std::string refusal(const std::string& text) {
  try {
    parse_capacity(text);
  } catch (const JsonError& error) {
    return error.what();
  }
  return {};
}

std::string replaced(std::string text, const std::string& old_part, const std::string& new_part) {
  const size_t at = text.find(old_part);
  EXPECT_NE(at, std::string::npos) << old_part;
  return text.replace(at, old_part.size(), new_part);
}

int line_with(const std::string& text, const std::string& part) {
  return 1 + static_cast<int>(std::count(text.begin(), text.begin() + text.find(part), '\n'));
}

std::string on_line(int line, const std::string& why) { return fmt::format("line {}: {}", line, why); }

TEST(Fit, FindsEachFormAndItsSlope) {
  const Fit constant = fit_simplest(points_of([](double) { return 7.0; }));
  EXPECT_EQ(constant.form, Form::kConstant);
  EXPECT_DOUBLE_EQ(constant.intercept, 7);
  const Fit linear = fit_simplest(points_of([](double size) { return 60 + 0.25 * size; }));
  EXPECT_EQ(linear.form, Form::kLinear);
  EXPECT_NEAR(linear.slope, 0.25, 1e-9);
  EXPECT_NEAR(linear.intercept, 60, 1e-9);
  const Fit quadratic = fit_simplest(points_of([](double size) { return 5 + 0.002 * size * size; }));
  EXPECT_EQ(quadratic.form, Form::kQuadratic);
  EXPECT_NEAR(quadratic.slope, 0.002, 1e-9);
  const Fit log_linear =
      fit_form(Form::kLogLinear, points_of([](double n) { return 1 + 3 * n * std::log(n); }));
  EXPECT_NEAR(log_linear.slope, 3, 1e-9);
  EXPECT_NEAR(log_linear.residual, 0, 1e-9);
}

TEST(Fit, TakesTheSimplestFormThatExplains) {
  const Fit nearly_constant = fit_simplest(points_of([](double size) { return 100 + size / 1000; }));
  EXPECT_EQ(nearly_constant.form, Form::kConstant);
}

TEST(Fit, TheLargestPointIsHeldOut) {
  std::vector<Point> points = points_of([](double size) { return 10 + 2 * size; });
  points.back().value *= 1.5;
  const auto held_out = fit_held_out(points);
  ASSERT_TRUE(held_out);
  EXPECT_NEAR(held_out->fit.slope, 2, 1e-9);
  EXPECT_NEAR(held_out->predicted, 2210, 1e-6);
  EXPECT_NEAR(held_out->miss, 0.5, 1e-9);
  EXPECT_FALSE(held_out->is_within_bound());
  EXPECT_EQ(held_out->fitted_to, 512);
}

TEST(Fit, FewerThanSixSizesGiveNoSlope) { EXPECT_FALSE(fit_held_out({{3, 1}, {5, 2}, {7, 3}})); }

TEST(CapacityFile, IsReadBackAsWritten) {
  const std::string text = capacity_text(sample_file());
  EXPECT_EQ(capacity_text(parse_capacity(text)), text);
  const std::string measurements = measurements_text(sample_file().measurements);
  EXPECT_EQ(measurements_text(parse_measurements(measurements)), measurements);
}

TEST(CapacityFile, OrderOfMeasurementsDoesNotMatter) {
  CapacityFile turned = sample_file();
  std::swap(turned.measurements.front(), turned.measurements.back());
  EXPECT_EQ(capacity_text(turned), capacity_text(sample_file()));
}

TEST(CapacityFile, AMeasurementTakenAgainReplacesTheOldOne) {
  CapacityFile file = sample_file();
  merge_measurements(file, {sample("loss.holder.recovery", "gateways", {}, [](double) { return 5.0; })});
  ASSERT_EQ(file.measurements.size(), 3u);
  EXPECT_EQ(file.measurements.back().points.front().value, 5);
}

TEST(CapacityFile, RefusesAFieldThatIsMissing) {
  const std::string whole = capacity_text(sample_file());
  EXPECT_EQ(refusal(replaced(whole, "    \"zones\": 20,\n", "")),
            on_line(line_with(whole, "\"planned\""), "\"zones\" is missing"));
  EXPECT_EQ(refusal(replaced(whole, "      \"unit\": \"sample\",\n", "")),
            on_line(line_with(whole, "\"measurements\"") + 1, "\"unit\" is missing"));
}

TEST(CapacityFile, RefusesWhatIsNotANumber) {
  const std::string whole = capacity_text(sample_file());
  EXPECT_EQ(refusal(replaced(whole, "\"engines\": 1100", "\"engines\": \"many\"")),
            on_line(line_with(whole, "\"engines\""), "\"engines\" is not a number"));
  EXPECT_EQ(refusal(replaced(whole, "[64, ", "[null, ")),
            on_line(line_with(whole, "[64, "), "a point is not a pair of numbers"));
  EXPECT_EQ(refusal(replaced(whole, "\"seed\": 1", "\"seed\": true")),
            on_line(line_with(whole, "\"seed\""), "\"seed\" is not a number"));
}

TEST(CapacityFile, RefusesWhatItDoesNotKnow) {
  const std::string whole = capacity_text(sample_file());
  EXPECT_EQ(refusal(replaced(whole, "\"planned\": {\n", "\"planned\": {\n    \"gatways\": 3,\n")),
            on_line(line_with(whole, "\"gateways\""), "\"gatways\" is no field of a capacity file"));
}

TEST(CapacityFile, RefusesAFitThatItsPointsDoNotGive) {
  const std::string whole = capacity_text(sample_file());
  const std::string refused = refusal(replaced(whole, "\"slope\": 20,", "\"slope\": 21,"));
  EXPECT_EQ(refused, on_line(line_with(whole, "\"slope\": 20,"), "\"slope\" is 21 and the points give 20"));
}

TEST(CapacityFile, RefusesSizesThatContradictOneAnother) {
  const std::string whole = capacity_text(sample_file());
  EXPECT_EQ(refusal(replaced(whole, "\"zones\": 20", "\"zones\": 2000")),
            on_line(line_with(whole, "\"planned\""), "2000 zones are more than 1100 gateways"));
  EXPECT_EQ(refusal(replaced(whole, "\"gateways\": 1100", "\"gateways\": 0")),
            on_line(line_with(whole, "\"planned\""), "gateways must be more than zero"));
}

TEST(CapacityFile, RefusesWhatIsNoJson) {
  EXPECT_TRUE(refusal("{\n\"planned\": {\n").starts_with("line 3: "));
  EXPECT_EQ(refusal("[]"), "line 1: a capacity file is one object");
}

TEST(Quantity, TakesTheSeriesHeldNearestToTheFleet) {
  const Evaluation evaluation = evaluate({{SeriesQuery{"gateway.core_share", "engines"},
                                           Part::kWhole,
                                           {"", [](const FleetSize&) { return 2.0; }}}},
                                         sample_file(), FleetSize{});
  ASSERT_TRUE(evaluation.value);
  EXPECT_NEAR(*evaluation.value, 2 * (0.1 + 1100 / 1e4), 1e-6);
  EXPECT_EQ(evaluation.terms[0].source, "gateway.core_share by engines (rate 1,364, zones 20)");
}

TEST(Quantity, NumbersForPeopleHaveThreeDigits) {
  EXPECT_EQ(number_text(999.9999), "1,000");
  EXPECT_EQ(number_text(6500000), "6,500,000");
  EXPECT_EQ(number_text(0.12345), "0.123");
  EXPECT_EQ(number_text(-42), "-42");
}

TEST(Quantity, FormulasNameTheirForm) {
  EXPECT_EQ(formula_text({Form::kConstant, 7, 0, 0}), "7");
  EXPECT_EQ(formula_text({Form::kLinear, 60, 0.25, 0}, "1,100", "engines"), "60 + 0.25 x 1,100 engines");
  EXPECT_EQ(formula_text({Form::kLogLinear, 0, 3, 0}), "3 x n ln n");
  EXPECT_EQ(formula_text({Form::kQuadratic, 5, -0.5, 0}), "5 - 0.5 x n squared");
}

TEST(Quantity, IsNotKnownWhereATermWasNotMeasured) {
  const Evaluation evaluation = evaluate(
      {{SeriesQuery{"gateway.core_share", "connections"}, Part::kWhole, {"", nullptr}}}, sample_file(), {});
  EXPECT_FALSE(evaluation.value);
}

TEST(Quantity, MarksASizePastWhatWasMeasured) {
  FleetSize fleet;
  fleet.planned.engines = 2200;
  const Evaluation evaluation = evaluate({{SeriesQuery{"gateway.core_share", "engines"},
                                           Part::kWhole,
                                           {"", [](const FleetSize&) { return 1.0; }}}},
                                         sample_file(), fleet);
  EXPECT_TRUE(evaluation.terms[0].evidence.is_extrapolated);
}

const Check& check_of(const std::string& what) {
  for (const Check& check : planned_checks())
    if (what == check.what) return check;
  throw std::out_of_range(what);
}

TEST(CostModel, ACheckGivesWayAtTheSizeThatItsSlopeSays) {
  // 1,000 ms plus 20 ms per gateway reach 11 s at 500 gateways.
  const Check& check = check_of("a duty's holder lost: until served as before");
  const BreakingSize breaking = breaking_size(check, sample_file());
  EXPECT_EQ(breaking.kind, BreakingSize::Kind::kAt);
  EXPECT_NEAR(breaking.gateways, 500, 6);
  EXPECT_EQ(evaluate_check(check, sample_file(), FleetSize{}).is_kept, false);
}

TEST(CostModel, WhatWasNotMeasuredIsNotKnown) {
  const Check& check = check_of("a keeper lost: until served as before");
  EXPECT_EQ(breaking_size(check, sample_file()).kind, BreakingSize::Kind::kUnknown);
  EXPECT_FALSE(evaluate_check(check, sample_file(), FleetSize{}).is_kept);
}

TEST(Troubles, ClientsOfALostZoneGoToTheOthers) {
  const FleetSize fleet;
  const MovedClients moved = move_clients(fleet, fleet.gateways_per_zone());
  EXPECT_DOUBLE_EQ(moved.gateways_lost, 55);
  EXPECT_DOUBLE_EQ(moved.connections_moved, 325000);
  EXPECT_NEAR(moved.connections_per_survivor, 311, 0.1);
  EXPECT_NEAR(moved.commands_per_second_after, 1435.4, 0.1);
}

TEST(Troubles, KeepersStandInDifferentRegionsWhereThereAreEnough) {
  FleetSize fleet;
  EXPECT_EQ(place_keepers(fleet).most_in_one_region, 1);
  EXPECT_EQ(place_keepers(fleet).may_be_lost, 2);
  fleet.planned.regions = 3;
  EXPECT_EQ(place_keepers(fleet).most_in_one_region, 2);
}

// A page with the places of all tables, all empty.
std::string empty_page() {
  std::string out = "# A page\n";
  for (const PageTable& table : page_tables())
    out += "\ntext before\n<!-- table: " + std::string(table.name) + " -->\nstale text\n<!-- end -->\n";
  return out;
}

std::string page_refusal(const std::string& page) {
  try {
    fill_page(page, sample_file());
  } catch (const PageError& error) {
    return error.what();
  }
  return {};
}

TEST(CapacityPage, FillingItTwiceChangesNothing) {
  const std::string page = fill_page(empty_page(), sample_file());
  EXPECT_EQ(page.find("stale text"), std::string::npos);
  EXPECT_NE(page.find("1,000 + 20 x n"), std::string::npos);
  EXPECT_EQ(fill_page(page, sample_file()), page);
}

TEST(CapacityPage, RefusesPlacesThatAreUnknownOpenOrMissing) {
  EXPECT_EQ(page_refusal("<!-- table: nothing -->\n<!-- end -->\n"), "line 1: there is no table \"nothing\"");
  EXPECT_EQ(page_refusal("a\n<!-- table: roles -->\n"), "line 2: a table without <!-- end -->");
  EXPECT_EQ(page_refusal("a\n"), "line 1: no place for table \"planned\"");
}

TEST(CapacityPage, ThePageIsWhatItsFileGives) {
  const std::string folder = std::string(FIRVALVE_SOURCE) + "/docs/";
  const std::string page = read_text_file(folder + "CAPACITY.md");
  EXPECT_EQ(page, fill_page(page, read_capacity_file(folder + "capacity.json")))
      << "firvalve-loadtest scale --page docs/CAPACITY.md prints the tables anew";
}

TEST(CapacityPage, TheFileIsWrittenAsItIsRead) {
  const std::string path = std::string(FIRVALVE_SOURCE) + "/docs/capacity.json";
  EXPECT_EQ(capacity_text(read_capacity_file(path)), read_text_file(path));
}

TEST(Sizes, EachFaultIsNamedInOneLine) {
  const auto fault = [](auto change) {
    ScaleOptions options;
    change(options);
    return size_fault(options, true);
  };
  EXPECT_EQ(fault([](ScaleOptions&) {}), "");
  EXPECT_EQ(fault([](ScaleOptions& o) { o.gateways = {64, 0}; }), "--gateways: 0 is not more than zero");
  EXPECT_EQ(fault([](ScaleOptions& o) { o.engines = {9999}; }),
            "--engines: 9999 is past what one machine measures, 4096");
  EXPECT_EQ(fault([](ScaleOptions& o) { o.gateways = {10}; }), "--zones: 20 are more than 10 gateways");
  EXPECT_EQ(fault([](ScaleOptions& o) { o.regions = 30; }), "--regions: 30 are more than 20 zones");
  EXPECT_EQ(fault([](ScaleOptions& o) { o.gateways = {3}, o.zones = 2, o.regions = 1; }),
            "--keepers: 5 are more than 3 gateways");
}

}  // namespace
}  // namespace firvalve::loadtest
