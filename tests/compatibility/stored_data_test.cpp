// What an earlier program has stored, or says to a program of this text, is read, served and written again to
// the same bytes. tests/fixtures/60b1129/README.md tells how its program wrote it.
//
// Enumerators and fields stand here by name and in the fixtures by number: one that was renumbered shows.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <lmdb.h>
#include <stdlib.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>

#include "client/client.h"
#include "cluster/peer_codec.h"
#include "cluster/replica_storage.h"
#include "fakes/fake_deployment.h"
#include "fakes/fault_script.h"
#include "fakes/process.h"
#include "framed.h"
#include "lease/lease_record.h"
#include "lease/run_once_jobs.h"
#include "loadtest/capacity_file.h"
#include "loadtest/fit.h"
#include "results/paged_result_store.h"
#include "results/segment_files.h"
#include "schema/registry.h"
#include "schema/topic_codec.h"
#include "soon.h"

namespace firvalve {
namespace {

const std::string kFixtures = FIRVALVE_SOURCE "/tests/fixtures/60b1129/";
const std::vector<std::string> kKeepers = {"127.60.11.29:7601", "127.60.11.29:7602", "127.60.11.29:7603"};

std::string content_of(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  EXPECT_TRUE(file) << path;
  std::stringstream all;
  all << file.rdbuf();
  return all.str();
}

std::string hex(std::string_view bytes) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (const char c : bytes) text += {kDigits[static_cast<uint8_t>(c) >> 4], kDigits[c & 15]};
  return text;
}

// A copy of a stored folder: whoever opens one may write to it.
class FolderCopy {
 public:
  explicit FolderCopy(const std::string& name) {
    char pattern[] = "/tmp/firvalve-stored-XXXXXX";
    path_ = ::mkdtemp(pattern);
    std::filesystem::copy(kFixtures + name, path_, std::filesystem::copy_options::recursive);
  }
  ~FolderCopy() { std::filesystem::remove_all(path_); }
  FolderCopy(const FolderCopy&) = delete;
  FolderCopy& operator=(const FolderCopy&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// ---- A keeper's folder ---------------------------------------------------------------------------

std::unique_ptr<cluster::ReplicaStorage> open_folder(const FolderCopy& copy, int keeper) {
  return std::make_unique<cluster::ReplicaStorage>(copy.path(), kKeepers[static_cast<size_t>(keeper - 1)],
                                                   cluster::hash_of_replicas(kKeepers), [] {});
}

std::map<std::string, std::string> raw_entries(MDB_txn* transaction, const char* database) {
  std::map<std::string, std::string> all;
  MDB_dbi handle = 0;
  MDB_cursor* cursor = nullptr;
  EXPECT_EQ(mdb_dbi_open(transaction, database, 0, &handle), 0) << database;
  EXPECT_EQ(mdb_cursor_open(transaction, handle, &cursor), 0);
  MDB_val key{}, value{};
  while (mdb_cursor_get(cursor, &key, &value, MDB_NEXT) == 0)
    all[{static_cast<const char*>(key.mv_data), key.mv_size}] = {static_cast<const char*>(value.mv_data),
                                                                 value.mv_size};
  mdb_cursor_close(cursor);
  return all;
}

// The bytes as they lie in the folder, past all code of the program.
struct RawFolder {
  explicit RawFolder(const std::string& path) {
    MDB_env* environment = nullptr;
    MDB_txn* transaction = nullptr;
    EXPECT_EQ(mdb_env_create(&environment), 0);
    EXPECT_EQ(mdb_env_set_maxdbs(environment, 2), 0);
    EXPECT_EQ(mdb_env_open(environment, path.c_str(), MDB_RDONLY | MDB_NOLOCK, 0), 0);
    EXPECT_EQ(mdb_txn_begin(environment, nullptr, MDB_RDONLY, &transaction), 0);
    slots = raw_entries(transaction, "slots");
    standing = raw_entries(transaction, "standing");
    mdb_txn_abort(transaction);
    mdb_env_close(environment);
  }
  std::map<std::string, std::string> slots, standing;
};

// A register's value as its reader understands it, written again.
std::string rewritten_value(const std::string& key, const std::string& value) {
  if (key.starts_with(schema::Registry::kKeyPrefix)) {
    std::string why;
    const auto topic = schema::decode_topic(value, why);
    return topic ? schema::encode(*topic) : why;
  }
  auto record = lease::decode_lease_record(value);
  if (!record) return "no lease record";
  if (key.starts_with("merge:")) record->state = lease::encode(lease::decode_run_once_job(record->state));
  return lease::encode(*record);
}

class StoredFolder : public testing::TestWithParam<const char*> {};

TEST_P(StoredFolder, EachStoredValueIsWrittenAgainToTheSameBytes) {
  const FolderCopy copy(GetParam());
  const RawFolder raw(copy.path());
  ASSERT_EQ(raw.standing.size(), 1u);
  const std::string& standing = raw.standing.at("standing");
  const auto owned = cluster::decode_metadata(standing);
  ASSERT_TRUE(owned);
  EXPECT_EQ(hex(cluster::encode(*owned)), hex(standing));
  EXPECT_EQ(raw.slots.size(), 6u);
  for (const auto& [key, bytes] : raw.slots) {
    const auto slot = cluster::decode_slot(bytes);
    ASSERT_TRUE(slot) << key;
    EXPECT_EQ(hex(cluster::encode(*slot)), hex(bytes)) << key;
    EXPECT_EQ(hex(rewritten_value(key, slot->accepted.value)), hex(slot->accepted.value)) << key;
  }
}

INSTANTIATE_TEST_SUITE_P(Folders, StoredFolder, testing::Values("keeper-1", "keeper-2-killed", "keeper-3"));

struct ExpectedRegister {
  const char* key;
  uint64_t version, change;
  size_t remembered;  // changes before the last
  bool urgent;
};

void expect_registers(const std::map<std::string, consensus::AcceptorSlot>& slots,
                      const std::vector<ExpectedRegister>& expected) {
  EXPECT_EQ(slots.size(), expected.size());
  for (const ExpectedRegister& one : expected) {
    ASSERT_TRUE(slots.count(one.key)) << one.key;
    const consensus::Register& fact = slots.at(one.key).accepted;
    EXPECT_EQ(fact.version, one.version) << one.key;
    EXPECT_EQ(fact.change_id, one.change) << one.key;
    EXPECT_EQ(fact.earlier_changes.size(), one.remembered) << one.key;
    EXPECT_EQ(fact.is_urgent, one.urgent) << one.key;
  }
}

lease::LeaseRecord lease_record_in(const cluster::ReplicaStorage& folder, const std::string& key) {
  const auto record = lease::decode_lease_record(folder.slots.at(key).accepted.value);
  EXPECT_TRUE(record) << key;
  return record.value_or(lease::LeaseRecord{});
}

TEST(StoredRecord, AKeepersFolderGivesItsRegisters) {
  const FolderCopy copy("keeper-3");
  const auto folder = open_folder(copy, 3);
  ASSERT_TRUE(folder->metadata);
  EXPECT_EQ(*folder->metadata, (consensus::ReplicaMetadata{817787996861,
                                                           true,
                                                           {146748374581, 1849659686399, 817787996861},
                                                           {146748374581, 61508626815, 817787996861}}));
  expect_registers(folder->slots, {{"bulletin boats", 1, 3182723937691230939u, 0, true},
                                   {"bulletin cabins", 8, 18155488423664110229u, 7, true},
                                   {"merge:night-2026-12-02", 4, 11607522886454602759u, 3, true},
                                   {"merge:night-2026-12-03", 4, 15866891877692339974u, 3, true},
                                   {"trial:s-0000000a", 8, 6271747301817018548u, 7, false},
                                   {"trial:s-0000000b", 8, 8365445156178667918u, 7, true}});
  const consensus::AcceptorSlot& slot =
      folder->slots.at("trial:s-0000000a");  // a change is on its way at its end
  EXPECT_EQ(slot.promised_ballot, (consensus::Ballot{35, 17422707628205788545u}));
  EXPECT_EQ(slot.accepted_ballot, (consensus::Ballot{31, 17422707628205788545u}));
  EXPECT_EQ(slot.accepted.earlier_changes.front(), 6584014357435533354u);
  EXPECT_EQ(slot.accepted.earlier_changes.back(), 8617334479729928363u);
}

TEST(StoredRecord, LeasesHeldAndReleasedAreReadSo) {
  const FolderCopy ended("keeper-3"), killed("keeper-2-killed");
  EXPECT_EQ(lease_record_in(*open_folder(ended, 3), "trial:s-0000000b"),
            (lease::LeaseRecord{3, kKeepers[1], 10594507252441581575u, duration_of(2000), true, ""}));
  const auto folder = open_folder(killed, 2);
  EXPECT_EQ(lease_record_in(*folder, "trial:s-0000000a"),
            (lease::LeaseRecord{1, kKeepers[2], 6632831152290725549u, duration_of(2000), false, ""}));
  EXPECT_EQ(lease_record_in(*folder, "trial:s-0000000b"),
            (lease::LeaseRecord{1, kKeepers[1], 7202441673331798167u, duration_of(2000), false, ""}));
}

TEST(StoredRecord, RunOnceLoadsAreAnsweredAndFailedAsTheyEnded) {
  const FolderCopy copy("keeper-1");
  const auto folder = open_folder(copy, 1);
  const auto load = [&](const char* key) {
    return lease::decode_run_once_job(lease_record_in(*folder, key).state);
  };
  EXPECT_EQ(load("merge:night-2026-12-02"),
            (lease::RunOnceJob{lease::RunOnceJob::Stage::kCompleted, 0, 2428006521986618431u,
                               "0\t0\trow 0 of page 0\n0\t1\trow 1 of page 0\n"}));
  EXPECT_EQ(load("merge:night-2026-12-03"),
            (lease::RunOnceJob{lease::RunOnceJob::Stage::kFailed, 0, 15031783911495997865u, ""}));
}

schema::Field field(uint32_t number, const char* name, schema::Type type) {
  schema::Field f;
  f.number = number;
  f.name = name;
  f.type = type;
  return f;
}

schema::Schema cabins_schema() {
  using schema::Type;
  schema::Schema s;
  s.key = {1};
  s.order = "key";
  s.fields = {field(1, "cabin", Type::kText),     field(2, "beds", Type::kInt32),
              field(3, "state", Type::kChoice),   field(4, "price", Type::kFloat64),
              field(5, "open", Type::kBool),      field(6, "visits", Type::kInt64),
              field(7, "height", Type::kFloat32), field(8, "note", Type::kText)};
  s.fields[0].required = s.fields[2].required = true;
  s.fields[1].default_value = schema::Value(int64_t{2});
  s.fields[1].min = 0;
  s.fields[1].max = 12;
  s.fields[2].choices = {{0, "free"}, {1, "held"}};
  s.fields[3].unit = "dollars";
  s.fields[4].default_value = schema::Value(true);
  s.fields[6].unit = "m";
  s.fields[7].default_value = schema::Value(std::string("none"));
  s.fields[7].max = 40;
  return s;
}

schema::Topic cabins() {
  schema::Topic b;
  schema::Schema s = cabins_schema();
  b.versions.push_back({1, schema::State::kRetired, s});
  s.fields.push_back(field(9, "view", schema::Type::kText));
  b.versions.push_back({2, schema::State::kDeprecated, s});
  s.fields.push_back(field(10, "floor", schema::Type::kInt32));
  b.versions.push_back({3, schema::State::kLive, s});
  b.declarations = {{"pier", "pier", {3}, {1}, {}, false, 86400000, 1},
                    {"screen 4", "river lodge", {2, 3}, {1, 2}, {2}, true, 0, 1}};
  return b;
}

TEST(StoredRecord, ABulletinIsReadWithAllItsVersionsAndDeclarations) {
  const FolderCopy copy("keeper-1");
  const std::string json = open_folder(copy, 1)->slots.at(schema::Registry::key_of("cabins")).accepted.value;
  std::string why;
  const auto topic = schema::decode_topic(json, why);
  ASSERT_TRUE(topic) << why;
  EXPECT_EQ(*topic, cabins());
  EXPECT_EQ(schema::encode(cabins()), json);
}

// ---- A fleet over stored folders -----------------------------------------------------------------

// Two of the three keepers, at the addresses that their folders name.
class StoredFleet : public testing::Test {
 protected:
  void SetUp() override {
    // The addresses are the fixtures' own: a run of another build on this machine waits for its turn.
    lock_ = ::open("/tmp/firvalve-stored-fleet.lock", O_RDWR | O_CREAT | O_CLOEXEC, 0666);
    ASSERT_GE(lock_, 0);
    ASSERT_EQ(::flock(lock_, LOCK_EX), 0);
    for (const int keeper : {1, 3}) ASSERT_NO_FATAL_FAILURE(start(keeper));
    client::Options options;
    options.gateways = clients_;
    client_ = std::make_unique<client::Client>(options);
  }
  void TearDown() override {
    client_.reset();
    for (const auto& gateway : gateways_) {
      gateway->signal(SIGTERM);
      EXPECT_EQ(gateway->wait(), 0);
    }
    ::close(lock_);
  }
  void start(int keeper) {
    folders_.push_back(std::make_unique<FolderCopy>("keeper-" + std::to_string(keeper)));
    const std::string& folder = folders_.back()->path();
    const std::string& self = kKeepers[static_cast<size_t>(keeper - 1)];
    std::ofstream(folder + "/operator.json5")
        << R"({"fleet": {"on": true, "site": "office", "lease_ms": 2000, "listen": ")" << self
        << R"(", "folder": ")" << folder << R"(", "keepers": [")" << kKeepers[0] << R"(", ")" << kKeepers[1]
        << R"(", ")" << kKeepers[2] << R"("], "duties": ["trial:s-0000000a"]}})";
    clients_.push_back(fakes::free_address());
    logs_.push_back(folder + "/log");
    gateways_.push_back(std::make_unique<fakes::Process>(
        FIRVALVE_PROGRAM, engines_.config(clients_.back()),
        std::vector<std::string>{"--operator", folder + "/operator.json5"}, logs_.back()));
    ASSERT_TRUE(fakes::Process::listens(clients_.back()));
  }
  client::Result load(const std::string& name, const std::string& statement) {
    client::Command command;
    command.profile = "load";
    command.statement = statement;
    command.timeout_ms = 8000;
    command.run_once_key = name;
    return client_->call(command);
  }
  bool logged(const std::string& text) const {
    return std::any_of(logs_.begin(), logs_.end(), [&](const std::string& log) {
      return content_of(log).find(text) != std::string::npos;
    });
  }

  fakes::FakeDeployment engines_{1};
  std::vector<std::unique_ptr<FolderCopy>> folders_;
  std::vector<std::string> clients_, logs_;
  std::vector<std::unique_ptr<fakes::Process>> gateways_;
  std::unique_ptr<client::Client> client_;
  int lock_ = -1;
};

TEST_F(StoredFleet, ALoadThatHasEndedIsToldAndNotRunAgain) {
  const std::string answered = "insert into sales_17.orders select * from staging.new /*! rows=2 */";
  const std::string failed = "insert into sales_17.orders select 1 /*! status=500 */";
  const client::Result rows = load("night-2026-12-02", answered);
  EXPECT_EQ(rows.outcome, client::Outcome::kAnswered) << rows.why;
  EXPECT_EQ(rows.rows, "0\t0\trow 0 of page 0\n0\t1\trow 1 of page 0\n");
  EXPECT_EQ(load("night-2026-12-03", failed).why, "failed; it may have run");
  EXPECT_EQ(load("night-2026-12-02", "insert into sales_17.orders select 2").why,
            "another statement stands under this name");
  EXPECT_EQ(engines_.started(), 0);
}

TEST_F(StoredFleet, ABulletinIsToldAndASchemaThatStandsKeepsItsVersion) {
  const client::Result cabins_told = client_->call_topic_method("bulletin", "cabins", "{}", 8000).wait();
  EXPECT_EQ(cabins_told.outcome, client::Outcome::kAnswered) << cabins_told.why;
  EXPECT_NE(cabins_told.rows.find(schema::encode(cabins()).substr(1)), std::string::npos) << cabins_told.rows;
  const client::Result boats =
      client_->propose("boats", R"({"key":[1],"fields":[{"number":1,"name":"boat","required":true}]})", 8000)
          .wait();
  EXPECT_EQ(boats.rows, R"({"version":1})") << boats.why;
}

// The epoch after the stored one: the stored claim was understood and built on.
TEST_F(StoredFleet, ALeaseGoesOnWithTheNextEpoch) {
  EXPECT_TRUE(soon([&] {
    return logged("event=\"lease.acquired\" component=lease lease=trial:s-0000000a epoch=2");
  })) << content_of(logs_[0])
      << content_of(logs_[1]);
}

// ---- Paged results -------------------------------------------------------------------------------

constexpr const char* kBoot = "a47cb284-9e09-422b-bd22-0ef985f2166b";
constexpr const char* kToken = "103b7ed23ba1563784565d8f72522ab2";
constexpr const char* kShortToken = "cbe33ae5478b23ad9adbab8002900f3b";
constexpr const char* kStatement = "select 1 /*! rows=40 pages=3 row-bytes=60 */";

std::vector<results::SegmentRecord> records_of(const std::string& segment) {
  std::vector<results::SegmentRecord> all;
  results::SegmentRecord record;
  for (size_t at = results::kSegmentHeader.size(), next = 0;; at = next) {
    const results::RecordStatus status = results::read_record(segment, at, record, next);
    EXPECT_TRUE(status == results::RecordStatus::kRecord || status == results::RecordStatus::kEndOfSegment)
        << at;
    if (status != results::RecordStatus::kRecord) return all;
    all.push_back(record);
  }
}

TEST(StoredPages, ASegmentIsWrittenAgainToTheSameBytes) {
  const std::string segment = content_of(kFixtures + "spool/segment-0000000001");
  ASSERT_TRUE(segment.starts_with(results::kSegmentHeader));
  std::string again(results::kSegmentHeader);
  std::map<results::SegmentRecord::Kind, int> kinds;
  for (const results::SegmentRecord& record : records_of(segment)) {
    ++kinds[record.kind];
    results::append_record(again, record);
  }
  EXPECT_EQ(hex(again), hex(segment));
  EXPECT_EQ(kinds[results::SegmentRecord::Kind::kPage], 6);
  EXPECT_EQ(kinds[results::SegmentRecord::Kind::kManifest], 3);
  EXPECT_EQ(kinds[results::SegmentRecord::Kind::kTombstone], 1);
}

// The spool over a copy of the stored folder, at a moment of the boot in which it was written.
class StoredSpool : public testing::Test {
 protected:
  StoredSpool() : copy_("spool") {
    for (const results::SegmentRecord& record : records_of(content_of(copy_.path() + "/segment-0000000001")))
      if (record.kind == results::SegmentRecord::Kind::kManifest)
        first_lease_expiry_ms_ = std::min(first_lease_expiry_ms_, to_ms(record.manifest.lease_expiry));
    std::ifstream(copy_.path() + "/clock") >> boot_ >> offset_;
  }
  // So long before the first lease's end. The wall clock is stepped by a day: leases must not care.
  void open(Ms before_end) {
    const Ms since_boot = first_lease_expiry_ms_ - before_end - offset_;
    now_ = time_point_of(first_lease_expiry_ms_ + 86400000);
    files_ = std::make_unique<results::SegmentFiles>(
        results::SegmentFiles::Options{copy_.path(), size_t{16} << 20,
                                       results::BootTime{kBoot, time_point_of<BootClock>(since_boot)}},
        now_, [] {});
    results::PagedResultStoreOptions options;
    options.retention.disk_bytes = 10e6;
    spool_ = std::make_unique<results::PagedResultStore>(options, 7, [](std::string_view) {});
    const std::vector<results::RecoveredResult> recovered = files_->take_recovered_results();
    recovered_ = recovered.size();
    spool_->attach_storage(now_, *files_, recovered, files_->lease_offset());
  }
  std::string read(const char* token, const char* key, uint64_t page) {
    std::string got = "never";
    using Status = ResultStore::ReadStatus;
    const auto callback = [&](TimePoint, Status status, std::string_view rows, uint64_t) {
      got = status == Status::kRows ? std::string(rows) : status == Status::kGone ? "gone" : "no page";
    };
    spool_->read_page(now_, token, key, page, callback);
    soon([&] {
      spool_->handle_due(now_);
      return got != "never";
    });
    return got;
  }
  ResultStore::Reservation repeat(const char* key) const {
    return {"", key, "report", kStatement, "00000000000000a1", -1};
  }

  FolderCopy copy_;
  std::string boot_;
  Ms first_lease_expiry_ms_ = 1e300, offset_ = 0;
  TimePoint now_;
  size_t recovered_ = 0;                          // results
  std::unique_ptr<results::SegmentFiles> files_;  // outlives the spool
  std::unique_ptr<results::PagedResultStore> spool_;
};

TEST_F(StoredSpool, RowsAreServedPageByPage) {
  EXPECT_EQ(boot_, kBoot);
  open(10000);
  EXPECT_EQ(recovered_, 2u);  // the third was released
  EXPECT_EQ(files_->corrupt_results() + files_->truncated_segments(), 0u);
  for (int page = 0; page < 3; ++page)
    EXPECT_EQ(read(kToken, "mine", static_cast<uint64_t>(page + 1)),
              fakes::rows_of(fakes::script_of(kStatement), page));
  EXPECT_EQ(read(kToken, "mine", 4), "no page");
  EXPECT_EQ(read(kToken, "another's", 1), "gone");
  EXPECT_EQ(read(kShortToken, "", 1), "0\t0\trow 0 of page 0\n");
}

TEST_F(StoredSpool, ARepeatFindsItsResultByKeyProfileAndStatement) {
  open(10000);
  const auto found = spool_->find(now_, repeat("mine"));
  ASSERT_TRUE(found.has_value());
  EXPECT_EQ(spool_->answer_of(*found).token, kToken);
  EXPECT_EQ(spool_->answer_of(*found).pages, 3u);
  EXPECT_EQ(spool_->answer_of(*found).rows, 120u);
  EXPECT_EQ(spool_->find(now_, repeat("another's")), std::nullopt);
}

TEST_F(StoredSpool, AfterItsLeaseNothingIsServed) {
  open(-3600000);
  EXPECT_EQ(recovered_, 0u);
  EXPECT_EQ(read(kToken, "mine", 1), "gone");
}

// ---- The capacity file ---------------------------------------------------------------------------

TEST(StoredCapacity, AFileIsReadAndWrittenAgainToTheSameBytes) {
  using namespace loadtest;
  const std::string text = content_of(kFixtures + "capacity.json");
  const CapacityFile file = read_capacity_file(kFixtures + "capacity.json");
  EXPECT_EQ(capacity_text(file), text);
  EXPECT_EQ(file.fleet.planned.client_connections, 6.5e6);
  EXPECT_EQ(file.fleet.planned.region_cuts_per_year, 4);
  EXPECT_EQ(file.fleet.assumed.keepers, 5);
  EXPECT_EQ(file.fleet.assumed.leases, 20);
  ASSERT_EQ(file.measurements.size(), 5u);
  const Measurement& linear = file.measurements[2];
  EXPECT_EQ(linear.name, "bus.control.bytes_out");
  EXPECT_EQ(linear.varied, "gateways");
  EXPECT_EQ(linear.fixed, (std::map<std::string, double>{{"duties", 20}, {"engines", 50}, {"keepers", 5}}));
  EXPECT_EQ(linear.points.back().value, 14248.8);
  const std::vector<Form> forms = {Form::kConstant, Form::kConstant, Form::kLinear, Form::kLogLinear,
                                   Form::kQuadratic};
  for (size_t i = 0; i < forms.size(); ++i) {
    const auto fit = fit_held_out(file.measurements[i].points);
    EXPECT_EQ(fit.has_value(), i != 1) << i;  // three points give no fit
    if (fit) {
      EXPECT_EQ(fit->fit.form, forms[i]) << i;
    }
  }
}

// ---- Frames between gateways ---------------------------------------------------------------------

// What the frames were said to be by their place in the exchange, by their files' names.
const std::map<std::string, consensus::MessageType> kSays = {
    {"prepare", consensus::MessageType::kPrepare},
    {"promise", consensus::MessageType::kPromise},
    {"accept", consensus::MessageType::kAccept},
    {"accepted", consensus::MessageType::kAccepted},
    {"refused", consensus::MessageType::kRejected},
    {"look", consensus::MessageType::kWatch},
    {"changes", consensus::MessageType::kChanges},
    {"standing", consensus::MessageType::kMetadataRequest},
    {"standing_is", consensus::MessageType::kMetadata},
    {"fetch", consensus::MessageType::kFetchState},
    {"state", consensus::MessageType::kState}};

std::vector<consensus::MessageType> says_of(const std::string& file_stem) {
  std::vector<consensus::MessageType> says;
  std::stringstream words(file_stem);
  std::string word;
  std::getline(words, word, '-');  // its number
  while (std::getline(words, word, '-')) says.push_back(kSays.at(word));
  return says;
}

TEST(StoredFrames, EachIsReadAndWrittenAgainToTheSameBytes) {
  size_t frames = 0;
  for (const auto& file : std::filesystem::directory_iterator(kFixtures + "frames")) {
    const std::string body = content_of(file.path());
    const char* why = "";
    const auto frame = cluster::read_frame(body, why);
    ASSERT_TRUE(frame) << file.path() << why;
    std::vector<consensus::MessageType> says;
    for (const consensus::Message& message : frame->messages) says.push_back(message.type);
    EXPECT_EQ(says, says_of(file.path().stem())) << file.path();
    EXPECT_TRUE(std::count(kKeepers.begin(), kKeepers.end(), frame->sender)) << frame->sender;
    EXPECT_EQ(frame->replicas_hash, cluster::hash_of_replicas(kKeepers));
    std::string again;
    cluster::append_frame(again, *frame);
    EXPECT_EQ(hex(again), hex(framed(body))) << file.path();
    ++frames;
  }
  EXPECT_EQ(frames, 12u);
}

// ---- Values built field by field -----------------------------------------------------------------

consensus::Register some_register() { return {3, 0x1122334455667788, {21, 22}, "a value", true}; }
consensus::AcceptorSlot some_slot() { return {{8, 9}, {6, 7}, some_register()}; }

// Every kind of message, each with every field told.
cluster::Frame every_message() {
  cluster::Frame frame{kKeepers[0], 0x0123456789abcdef, {}};
  for (const auto type :
       {consensus::MessageType::kPrepare, consensus::MessageType::kPromise, consensus::MessageType::kAccept,
        consensus::MessageType::kAccepted, consensus::MessageType::kRejected, consensus::MessageType::kWatch,
        consensus::MessageType::kChanges, consensus::MessageType::kMetadataRequest,
        consensus::MessageType::kMetadata, consensus::MessageType::kFetchState,
        consensus::MessageType::kState}) {
    consensus::Message& m = frame.messages.emplace_back();
    m.type = type;
    m.request_id = 100 + frame.messages.size();
    m.key = "trial:s-0000000a";
    m.ballot = {41, 42};
    m.accepted_ballot = {31, 32};
    m.register_state = some_register();
    m.incarnation = 51;
    m.known_incarnations = {51, 52, 53};
    m.bootstrap_incarnations = {61, 62, 63};
    m.since = 71;
    (type == consensus::MessageType::kRejected ? m.is_out_of_space : m.is_voting) = true;
    m.has_more = frame.messages.size() % 2 == 0;
    m.entries = {{"bulletin cabins", some_slot()}, {"merge:night", consensus::AcceptorSlot{}}};
  }
  return frame;
}

results::SegmentRecord some_record(results::SegmentRecord::Kind kind) {
  results::SegmentRecord r;
  r.kind = kind;
  r.key = {7, 8};
  if (kind == results::SegmentRecord::Kind::kPage) {
    r.page_index = 2;
    r.page = results::compress("x\ty\n");  // too short to be compressed: no bytes of the compressor's
  }
  if (kind == results::SegmentRecord::Kind::kManifest)
    r.manifest = {*results::parse_token("000102030405060708090a0b0c0d0e0f"),
                  11,
                  12,
                  time_point_of<results::LeaseClock>(1796217798258.5),
                  3,
                  120,
                  "office"};
  return r;
}

const std::vector<std::pair<const char*, lease::RunOnceJob::Stage>> kStages = {
    {"load_not_begun", lease::RunOnceJob::Stage::kNone},
    {"load_begun", lease::RunOnceJob::Stage::kStarted},
    {"load_answered", lease::RunOnceJob::Stage::kCompleted},
    {"load_failed", lease::RunOnceJob::Stage::kFailed},
    {"load_unknown", lease::RunOnceJob::Stage::kUnknown}};
const std::vector<std::pair<const char*, results::SegmentRecord::Kind>> kRecords = {
    {"record_page", results::SegmentRecord::Kind::kPage},
    {"record_whole", results::SegmentRecord::Kind::kManifest},
    {"record_gone", results::SegmentRecord::Kind::kTombstone}};

const cluster::StoredMetadata kStanding{{5, true, {5, 6, 7}, {1, 2, 3}}, kKeepers[0], 99};
const lease::LeaseRecord kHeld{3, kKeepers[0], 9, duration_of(2000.5), false, "state"},
    kReleased{3, kKeepers[0], 9, duration_of(2000.5), true, ""};
lease::RunOnceJob load_at(lease::RunOnceJob::Stage stage) { return {stage, 5, 6, "1\t2\n"}; }

// All of it as this program writes it, by name.
std::map<std::string, std::string> written_values() {
  std::map<std::string, std::string> all;
  cluster::append_frame(all["every_message"], every_message());
  all["slot"] = cluster::encode(some_slot());
  all["slot_promised_alone"] = cluster::encode(consensus::AcceptorSlot{{8, 9}, {}, {}});
  all["standing"] = cluster::encode(kStanding);
  all["lease_held"] = lease::encode(kHeld);
  all["lease_released"] = lease::encode(kReleased);
  for (const auto& [name, stage] : kStages) all[name] = lease::encode(load_at(stage));
  for (const auto& [name, kind] : kRecords) results::append_record(all[name], some_record(kind));
  all["bulletin"] = schema::encode(cabins());
  return all;
}

std::string from_hex(const std::string& text) {
  std::string bytes;
  for (size_t i = 0; i + 1 < text.size(); i += 2)
    bytes += static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16));
  return bytes;
}

std::map<std::string, std::string> stored_values() {
  std::map<std::string, std::string> stored;
  std::ifstream lines(kFixtures + "values.txt");
  for (std::string name, bytes; lines >> name >> bytes;) stored[name] = from_hex(bytes);
  return stored;
}

TEST(StoredValues, EachIsWrittenToTheSameBytes) {
  auto stored = stored_values();
  const auto values = written_values();
  EXPECT_EQ(stored.size(), values.size());
  for (const auto& [name, bytes] : values)
    EXPECT_EQ(hex(stored[name]), hex(bytes)) << "its line in values.txt: " << name << " " << hex(bytes);
}

TEST(StoredValues, EachIsReadFieldByField) {
  auto stored = stored_values();
  const char* why = "";
  const std::string message = stored["every_message"];
  const auto frame = cluster::read_frame(std::string_view(message).substr(message.find("\r\n\r\n") + 4), why);
  ASSERT_TRUE(frame) << why;
  EXPECT_EQ(frame->sender, every_message().sender);
  EXPECT_EQ(frame->replicas_hash, every_message().replicas_hash);
  EXPECT_EQ(frame->messages, every_message().messages);
  EXPECT_EQ(cluster::decode_slot(stored["slot"]), some_slot());
  EXPECT_EQ(cluster::decode_slot(stored["slot_promised_alone"]), (consensus::AcceptorSlot{{8, 9}, {}, {}}));
  const auto owned = cluster::decode_metadata(stored["standing"]);
  ASSERT_TRUE(owned);
  EXPECT_EQ(owned->metadata, kStanding.metadata);
  EXPECT_EQ(owned->owner, kStanding.owner);
  EXPECT_EQ(owned->replicas_hash, kStanding.replicas_hash);
  EXPECT_EQ(lease::decode_lease_record(stored["lease_held"]), kHeld);
  EXPECT_EQ(lease::decode_lease_record(stored["lease_released"]), kReleased);
  for (const auto& [name, stage] : kStages)
    EXPECT_EQ(lease::decode_run_once_job(stored[name]), load_at(stage)) << name;
}

TEST(StoredValues, RecordsOfASegmentAreReadFieldByField) {
  auto stored = stored_values();
  for (const auto& [name, kind] : kRecords) {
    const results::SegmentRecord expected = some_record(kind);
    results::SegmentRecord record;
    size_t next = 0;
    ASSERT_EQ(results::read_record(stored[name], 0, record, next), results::RecordStatus::kRecord) << name;
    EXPECT_EQ(next, stored[name].size()) << name;
    EXPECT_EQ(record.kind, kind) << name;
    EXPECT_EQ(record.key.incarnation, expected.key.incarnation) << name;
    EXPECT_EQ(record.key.result, expected.key.result) << name;
    EXPECT_EQ(record.page_index, expected.page_index) << name;
    EXPECT_EQ(record.page.uncompressed_bytes, expected.page.uncompressed_bytes) << name;
    EXPECT_EQ(record.page.bytes, expected.page.bytes) << name;
    EXPECT_EQ(record.manifest.token, expected.manifest.token) << name;
    EXPECT_EQ(record.manifest.key_hash, expected.manifest.key_hash) << name;
    EXPECT_EQ(record.manifest.chain_hash, expected.manifest.chain_hash) << name;
    EXPECT_EQ(record.manifest.lease_expiry, expected.manifest.lease_expiry) << name;
    EXPECT_EQ(record.manifest.pages, expected.manifest.pages) << name;
    EXPECT_EQ(record.manifest.rows, expected.manifest.rows) << name;
    EXPECT_EQ(record.manifest.owner, expected.manifest.owner) << name;
  }
}

}  // namespace
}  // namespace firvalve
