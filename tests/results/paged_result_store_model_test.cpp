// The spool against a plain map, over random puts, reads, leases, releases, crashes and returns. The disk is
// a string of records; a crash ends the spool and may tear the string's tail.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "results/paged_result_store.h"

namespace firvalve::results {
namespace {

class Disk : public Storage {
 public:
  std::string segment{kSegmentHead};
  void append(uint64_t tag, Record record) override {
    Done d;
    d.tag = tag;
    d.good = true;
    d.place = {1, segment.size() + kRecordHead, record.stored.bytes.size(), record.stored.raw,
               record.stored.sum};
    append_record(segment, record);
    if (tag != 0) ready_.push_back(std::move(d));
  }
  void read(uint64_t tag, const Found::Place& place) override {
    Done d;
    d.tag = tag;
    d.good = place.offset + place.length <= segment.size();
    if (d.good) d.bytes = segment.substr(place.offset, place.length);
    ready_.push_back(std::move(d));
  }
  void drop_until(size_t) override {}
  std::vector<Done> done() override { return std::exchange(ready_, {}); }
  size_t backlog() const override { return 0; }
  size_t current() const override { return 1; }
  void crash(size_t torn) {
    ready_.clear();
    segment.resize(std::max(kSegmentHead.size(), segment.size() - std::min(torn, segment.size())));
  }

 private:
  std::vector<Done> ready_;
};

struct Kept {
  std::vector<std::string> pages;
  std::string key;
  bool must = true;  // nothing has happened that it could have gone by
  Ms whole_at = 0, read_at = 0;
  size_t written = 0;  // the disk's size once all of it was told
};

RC_GTEST_PROP(SpoolModel, NeverWrongAndNeverGoneWithoutACause,
              (const std::vector<std::tuple<uint8_t, uint16_t, uint16_t>>& steps)) {
  PagedResultStoreOptions options;
  options.keeping.memory = 3000;
  options.keeping.disk = 1e9;
  options.keeping.lease = 1000;
  options.first_expected = 200;
  Disk disk;
  std::map<std::string, Kept> model;
  Ms now = 10000;
  uint64_t life = 1;
  auto spool = std::make_unique<PagedResultStore>(options, life, [](std::string_view) {});
  spool->use(now, disk, {});
  int number = 0;
  const auto pick = [&](uint16_t which) {
    auto at = model.begin();
    std::advance(at, which % model.size());
    return at;
  };
  for (const auto& [what, which, how] : steps) {
    now += how % 50;
    spool->due(now);
    switch (what % 8) {
      case 0:
      case 1:
      case 2: {  // a result, some of it begun anew
        Kept kept;
        kept.key = which % 3 == 0 ? "k" : "";
        const ResultHandle no = spool
                                    ->reserve(time_point_of(now), {which % 2 ? "a" : "b", kept.key, "report",
                                                                   "select 1", "00000000000000a1", 1})
                                    .value_or(0);
        if (no == 0) break;
        bool lost = false;
        if (how % 5 == 0) {
          lost = spool->append_page(time_point_of(now), no, "of a send that failed\tb\tc\n") ==
                 ResultStore::AppendResult::kOutOfSpace;
          if (!lost) spool->clear_pages(time_point_of(now), no);
        }
        for (int p = 0; p < 1 + which % 4 && !lost; ++p) {
          kept.pages.push_back(std::to_string(++number) + std::string(how % 300, 'x') + "\tb\tc\n");
          lost = spool->append_page(time_point_of(now), no, kept.pages.back()) ==
                 ResultStore::AppendResult::kOutOfSpace;
          if (how % 2) spool->due(now);
        }
        if (lost) break;
        if (how % 11 == 0) {
          spool->discard(time_point_of(now), no);
          break;
        }
        spool->complete(time_point_of(now), no);
        kept.whole_at = kept.read_at = now;
        kept.written = disk.segment.size();
        const PagedAnswer a = spool->answer_of(no);
        RC_ASSERT(a.pages == kept.pages.size());
        RC_ASSERT(a.rows == kept.pages.size());
        RC_ASSERT(model.emplace(a.token, kept).second);
        break;
      }
      case 3:
      case 4: {
        if (model.empty()) break;
        const auto at = pick(which);
        Kept& kept = at->second;
        const size_t page = how % kept.pages.size();
        bool heard = false, found = false;
        spool->read_page(time_point_of(now), at->first, kept.key, page + 1,
                         [&](TimePoint, ResultStore::ReadStatus r, std::string_view rows, uint64_t pages) {
                           heard = true;
                           found = r == ResultStore::ReadStatus::kRows;
                           if (found) RC_ASSERT(rows == kept.pages[page]);
                           if (found) RC_ASSERT(pages == kept.pages.size());
                         });
        spool->due(now);
        RC_ASSERT(heard);
        const bool over = now > kept.read_at + options.keeping.lease - 40;
        if (kept.must && !over) RC_ASSERT(found);
        if (found) kept.read_at = now;
        if (!found) model.erase(at);
        break;
      }
      case 5: {
        if (model.empty()) break;
        const auto at = pick(which);
        if (!at->second.key.empty()) RC_ASSERT(!spool->release(time_point_of(now), at->first, "another"));
        spool->release(time_point_of(now), at->first, at->second.key);
        bool gone = false;
        spool->read_page(time_point_of(now), at->first, at->second.key, 1,
                         [&](TimePoint, ResultStore::ReadStatus r, std::string_view, uint64_t) {
                           gone = r == ResultStore::ReadStatus::kGone;
                         });
        RC_ASSERT(gone);
        model.erase(at);
        break;
      }
      case 6:
        now += how % 600;
        break;
      case 7: {  // the process ends, and the next life reads back what is there
        const size_t torn = how % 3 == 0 ? how % 400 : 0;
        spool.reset();
        disk.crash(torn);
        Recovery recovery;
        const size_t cut = recovery.handle(1, disk.segment);
        if (cut != std::string::npos) disk.segment.resize(cut);
        size_t broken = 0;
        const auto found = recovery.found(now, broken);
        spool = std::make_unique<PagedResultStore>(options, ++life, [](std::string_view) {});
        spool->use(now, disk, found);
        // The disk is told of a lease that goes on before half of it is over; a torn tail may have held that
        // word.
        for (auto& [token, kept] : model) {
          kept.must &= kept.written <= disk.segment.size();
          kept.read_at =
              torn > 0 ? kept.whole_at : std::max(kept.whole_at, kept.read_at - options.keeping.lease / 2);
        }
        break;
      }
    }
    RC_ASSERT(spool->keeping().memory() <= options.keeping.memory + 1e-6);
  }
}

}  // namespace
}  // namespace firvalve::results
