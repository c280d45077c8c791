// Tests `firvalve-loadtest scale`: the options it rejects, and that Ctrl-C ends every process it started.
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "soon.h"

namespace firvalve {
namespace {

constexpr const char* kProgram = FIRVALVE_BINARIES "/firvalve-loadtest";

struct Ended {
  int exit_code = -1;
  std::string output, errors;
};

std::string content_of(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

// A folder that is deleted with this object.
class ScratchFolder {
 public:
  ScratchFolder() {
    std::string name = (std::filesystem::temp_directory_path() / "firvalve-scale-XXXXXX").string();
    path_ = ::mkdtemp(name.data());
  }
  ~ScratchFolder() { std::filesystem::remove_all(path_); }
  std::string file(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

Ended run_scale(const std::string& arguments) {
  const ScratchFolder folder;
  const std::string output = folder.file("output");
  const std::string errors = folder.file("errors");
  const std::string command =
      std::string(kProgram) + " scale " + arguments + " >" + output + " 2>" + errors + " </dev/null";
  const int status = std::system(command.c_str());
  return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, content_of(output), content_of(errors)};
}

void expect_refused(const std::string& arguments, int exit_code, const std::string& line) {
  const Ended ended = run_scale(arguments);
  EXPECT_EQ(ended.exit_code, exit_code) << arguments;
  EXPECT_EQ(ended.errors, line + "\n");
  EXPECT_EQ(ended.output, "") << arguments;
}

const std::string kCapacity = std::string("--capacity ") + FIRVALVE_SOURCE + "/docs/capacity.json ";

TEST(ScaleCommand, SizesThatCannotBeAreRefusedInOneLine) {
  const std::string prefix = "firvalve-loadtest scale: ";
  expect_refused("--gateways 0", 2, prefix + "--gateways: 0 is not more than zero");
  expect_refused("--part gateway --engines 5000", 2,
                 prefix + "--engines: 5000 is past what one machine measures, 4096");
  expect_refused("--gateways 64 --zones 65", 2, prefix + "--zones: 65 are more than 64 gateways");
  expect_refused("--predict --zones 2000 " + kCapacity, 2, prefix + "2000 zones are more than 1100 gateways");
  expect_refused("--predict --engines 0 " + kCapacity, 2, prefix + "engines must be more than zero");
  expect_refused("--predict --gateways 64 128 " + kCapacity, 2,
                 prefix + "--gateways: --predict takes one size");
  expect_refused("--gateways many", 2, "Could not convert: --gateways = many");
}

TEST(ScaleCommand, ACapacityFileIsRefusedWithItsLine) {
  const ScratchFolder folder;
  const std::string path = folder.file("capacity.json");
  std::ofstream(path) << "{\n  \"planned\": {\n    \"gateways\": \"many\"\n  }\n}\n";
  const std::string fault = "firvalve-loadtest scale: " + path + ": line 3: \"gateways\" is not a number";
  expect_refused("--predict --capacity " + path, 1, fault);
  expect_refused("--part gateway --merge-into " + path, 1, fault);
  expect_refused(
      "--quick --merge-into " + path, 2,
      "firvalve-loadtest scale: --quick gives no figures to plan with: --merge-into takes none of them");
  expect_refused("--page " + folder.file("none.md") + " " + kCapacity, 1,
                 "firvalve-loadtest scale: " + folder.file("none.md") + ": cannot be read");
}

TEST(ScaleCommand, APredictionPrintsTheTablesOfAnotherFleet) {
  const Ended ended = run_scale("--predict --gateways 300 --engines 200 --zones 6 --regions 2 " + kCapacity);
  EXPECT_EQ(ended.exit_code, 0);
  EXPECT_EQ(ended.errors, "");
  EXPECT_NE(ended.output.find("300 gateways before 200 engines"), std::string::npos);
  EXPECT_NE(ended.output.find("2 regions with 6 zones"), std::string::npos);
}

// A run in its own process group, with its progress output captured.
class InterruptedRun {
 public:
  InterruptedRun() {
    int ends[2];
    if (::pipe(ends) != 0) return;
    process_ = ::fork();
    if (process_ == 0) {
      ::setpgid(0, 0);
      ::dup2(ends[1], STDERR_FILENO);
      ::close(ends[0]);
      ::close(ends[1]);
      ::execl(kProgram, kProgram, "scale", "--part", "gateway", "--quick", nullptr);
      ::_exit(127);
    }
    ::close(ends[1]);
    errors_ = ::fdopen(ends[0], "r");
  }
  ~InterruptedRun() {
    if (errors_) std::fclose(errors_);
    if (process_ > 0) ::kill(-process_, SIGKILL);
  }
  InterruptedRun(const InterruptedRun&) = delete;
  InterruptedRun& operator=(const InterruptedRun&) = delete;

  // The next line of progress output; empty: the run has ended.
  std::string next_line() {
    char line[512];
    return std::fgets(line, sizeof line, errors_) ? line : "";
  }
  int interrupt() {
    ::kill(process_, SIGINT);
    std::string last;
    for (std::string line = next_line(); !line.empty(); line = next_line()) last = line;
    EXPECT_EQ(last, "firvalve-loadtest scale: interrupted, nothing was written\n");
    int status = 0;
    ::waitpid(process_, &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  bool is_anything_left() const { return ::kill(-process_, 0) == 0 || errno != ESRCH; }

 private:
  pid_t process_ = 0;
  std::FILE* errors_ = nullptr;
};

TEST(ScaleCommand, CtrlCEndsAllThatWasStarted) {
  InterruptedRun run;
  ASSERT_EQ(run.next_line(), "gateway\n");
  ASSERT_NE(run.next_line(), "");
  EXPECT_EQ(run.interrupt(), 130);
  EXPECT_TRUE(soon([&] { return !run.is_anything_left(); }));
}

}  // namespace
}  // namespace firvalve
