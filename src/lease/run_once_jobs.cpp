#include "lease/run_once_jobs.h"

#include <algorithm>

#include "base/injected_bug.h"
#include "consensus/digest.h"
#include "run_once_job_generated.h"

namespace firvalve::lease {

namespace {
// Another gateway may have begun it meanwhile: no proof that it never ran.
constexpr const char* kEnds = "this gateway ends; it may have run";
}  // namespace

std::string written(const RunOnceJob& merge) {
  flatbuffers::FlatBufferBuilder b(64 + merge.rows.size());
  const auto rows = b.CreateString(merge.rows);
  wire::RunOnceJobBuilder out(b);
  out.add_stage(static_cast<wire::Stage>(merge.stage));
  out.add_run(merge.run);
  out.add_statement(merge.statement);
  out.add_rows(rows);
  b.Finish(out.Finish());
  return {reinterpret_cast<const char*>(b.GetBufferPointer()), b.GetSize()};
}

RunOnceJob read_merge(std::string_view bytes) {
  if (bytes.empty()) return {};
  const auto* const data = reinterpret_cast<const uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  RunOnceJob merge;
  merge.stage = RunOnceJob::Stage::kUnknown;
  if (bytes.size() < 8 || !verifier.VerifyBuffer<wire::RunOnceJob>()) return merge;
  const auto* const in = flatbuffers::GetRoot<wire::RunOnceJob>(data);
  if (in->stage() <= wire::Stage_MAX) merge.stage = static_cast<RunOnceJob::Stage>(in->stage());
  merge.run = in->run();
  merge.statement = in->statement();
  if (in->rows()) merge.rows = in->rows()->str();
  return merge;
}

void RunOnceJobs::ask(Ms now, const std::string& name, Call call, uint64_t statement, Ms until) {
  if (leaving_) {
    actions_.push_back({Action::Kind::kFail, name, call, kEnds, 0});
    return;
  }
  const auto at = names_.try_emplace(name).first;
  at->second.calls.push_back({call, statement, until});
  duties_.want(now, duty_of(name));
  go_on(now, at);
}

void RunOnceJobs::leave() {
  leaving_ = true;
  for (auto& [name, n] : names_) {
    if (n.step != Step::kSeeks) continue;
    for (const Waiting& w : n.calls) actions_.push_back({Action::Kind::kFail, name, w.call, kEnds, 0});
    n.calls.clear();
  }
}

void RunOnceJobs::gone(Ms now, Call call) {
  for (auto at = names_.begin(); at != names_.end(); ++at) {
    const size_t before = at->second.calls.size();
    std::erase_if(at->second.calls, [call](const Waiting& w) { return w.call == call; });
    if (at->second.calls.size() == before) continue;
    if (at->second.calls.empty() && at->second.step == Step::kSeeks && !at->second.owes) done(now, at);
    return;
  }
}

void RunOnceJobs::answer_all(Names::iterator at, const RunOnceJob& end) {
  using Kind = Action::Kind;
  for (const Waiting& w : at->second.calls) {
    if (end.statement != 0 && w.statement != end.statement)
      actions_.push_back({Kind::kRefuse, at->first, w.call, "another statement stands under this name", 0});
    else if (end.stage == RunOnceJob::Stage::kAnswered)
      actions_.push_back({Kind::kAnswer, at->first, w.call, end.rows, 0});
    else
      actions_.push_back(
          {Kind::kFail, at->first, w.call,
           end.stage == RunOnceJob::Stage::kFailed ? "failed; it may have run" : "it may have run", 0});
  }
  at->second.calls.clear();
}

void RunOnceJobs::done(Ms now, Names::iterator at) {
  const std::string duty = duty_of(at->first);
  names_.erase(at);
  duties_.pin(now, duty, false);
  duties_.unwant(now, duty);
}

// Where the claim's state leads from here.
void RunOnceJobs::go_on(Ms now, Names::iterator at) {
  Name& n = at->second;
  if (n.step != Step::kSeeks) return;
  const std::string duty = duty_of(at->first);
  const LeaseRecord* const claim = duties_.claim(duty);
  const RunOnceJob merge = claim ? read_merge(claim->state) : RunOnceJob{};
  using Stage = RunOnceJob::Stage;
  if (n.owes && (merge.stage != Stage::kBegun || merge.run != n.run)) n.owes = false;
  if (n.owes) {
    if (duties_.may_act(now, duty)) tell(now, at);
    return;
  }
  if (merge.stage == Stage::kAnswered || merge.stage == Stage::kFailed || merge.stage == Stage::kUnknown) {
    answer_all(at, merge);
    return done(now, at);
  }
  if (n.calls.empty()) return done(now, at);
  if (!duties_.may_act(now, duty)) return;
  duties_.pin(now, duty, true);
  if (merge.stage == Stage::kBegun && !never_begun_.count(merge.run)) {
    // Somebody's, of whom nothing is known any more: it may have run, for ever and for everybody.
    n.end = merge;
    n.end.stage = Stage::kUnknown;
    n.run = merge.run;
    answer_all(at, n.end);
    return tell(now, at);
  }
  RunOnceJob begun;
  begun.stage = Stage::kBegun;
  begun.run = n.run = (life_ << 16) + ++runs_;
  begun.statement = n.calls.front().statement;
  never_begun_.insert(n.run);
  n.step = Step::kBegins;
  if (!duties_.state(now, duty, written(begun))) {
    n.step = Step::kSeeks;
    return;
  }
  if (is_injected(InjectedBug::kIntentAfterSend))
    actions_.push_back({Action::Kind::kStart, at->first, n.calls.front().call, {}, 0});
}

void RunOnceJobs::handle(Ms now, const Event& event) {
  if (!event.duty.starts_with("merge:")) return;
  const auto at = names_.find(event.duty.substr(6));
  if (at == names_.end()) return;
  Name& n = at->second;
  if (event.kind == Event::Kind::kStated && n.step == Step::kBegins) {
    if (!event.made) {
      n.step = Step::kSeeks;
      return go_on(now, at);
    }
    n.step = Step::kRuns;
    if (n.calls.empty()) return run_ended(now, at->first, End::kNeverRan, {});
    never_begun_.erase(n.run);
    n.runs_for = n.calls.front().call;
    if (!is_injected(InjectedBug::kIntentAfterSend))
      actions_.push_back({Action::Kind::kStart, at->first, n.runs_for, {}, 0});
    return;
  }
  if (event.kind == Event::Kind::kStated && n.step == Step::kTells) {
    n.step = Step::kSeeks;
    n.owes = !event.made;
    return go_on(now, at);
  }
  if (event.kind == Event::Kind::kTaken || event.kind == Event::Kind::kSeen) go_on(now, at);
}

// Whoever waits here is answered at once: the end is known, whatever becomes of the record.
void RunOnceJobs::run_ended(Ms now, const std::string& name, End end, std::string rows, Ms advice) {
  const auto at = names_.find(name);
  if (at == names_.end()) return;
  Name& n = at->second;
  n.end = {};
  if (end == End::kNeverRan) {
    const auto call =
        std::find_if(n.calls.begin(), n.calls.end(), [&](const Waiting& w) { return w.call == n.runs_for; });
    if (call != n.calls.end()) {
      actions_.push_back({Action::Kind::kShed, name, call->call, {}, advice});
      n.calls.erase(call);
    }
    never_begun_.insert(n.run);
    return tell(now, at);
  }
  n.end.stage = end == End::kAnswered ? RunOnceJob::Stage::kAnswered : RunOnceJob::Stage::kFailed;
  n.end.statement = n.calls.empty() ? 0 : n.calls.front().statement;
  if (const LeaseRecord* const claim = duties_.claim(duty_of(name)))
    n.end.statement = read_merge(claim->state).statement;
  n.end.rows = std::move(rows);
  answer_all(at, n.end);
  if (n.end.rows.size() > kMergeRowsMost) n.end.rows.clear();
  tell(now, at);
}

void RunOnceJobs::tell(Ms now, Names::iterator at) {
  Name& n = at->second;
  n.step = Step::kTells;
  n.owes = true;
  duties_.pin(now, duty_of(at->first), true);
  if (duties_.state(now, duty_of(at->first), n.end.stage == RunOnceJob::Stage::kNone ? "" : written(n.end)))
    return;
  // The duty is lost. It is told if it comes back before another holder has taken it for one that may have
  // run.
  n.step = Step::kSeeks;
  duties_.pin(now, duty_of(at->first), false);
}

bool RunOnceJobs::runs() const {
  return std::any_of(names_.begin(), names_.end(),
                     [](const auto& n) { return n.second.step != Step::kSeeks; });
}

void RunOnceJobs::due(Ms now) {
  std::vector<std::string> names;
  for (auto& [name, n] : names_) {
    const auto over = [now](const Waiting& w) { return w.until <= now; };
    for (const Waiting& w : n.calls)
      if (over(w)) actions_.push_back({Action::Kind::kFail, name, w.call, "it may have run", 0});
    std::erase_if(n.calls, over);
    if (n.calls.empty() && n.step == Step::kSeeks && !n.owes) names.push_back(name);
  }
  for (const std::string& name : names) done(now, names_.find(name));
}

std::string RunOnceJobs::digest() const {
  consensus::Digest d;
  for (const auto& [name, n] : names_) {
    d.add(name).add(static_cast<uint8_t>(n.step)).add(n.run).add(n.owes).add(n.calls.size());
    d.add(static_cast<uint8_t>(n.end.stage));
  }
  for (const uint64_t run : never_begun_) d.add(run);
  return d.text();
}

Ms RunOnceJobs::next_due() const {
  Ms next = 0;
  for (const auto& [name, n] : names_)
    for (const Waiting& w : n.calls)
      if (next == 0 || w.until < next) next = w.until;
  return next;
}

}  // namespace firvalve::lease
