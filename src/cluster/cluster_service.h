// A gateway's part in the fleet, in the program: its links to peers, its folder, its clock, and the merges
// that clients ask for. What is decided, is decided in the machines of node.h.
//
// One thread, the loop's; the folder's writes go on beside it. Times within are those of the system's clock
// of all time since it was started, which nobody sets and which goes on in sleep (CLOCK_BOOTTIME).
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cluster/cluster_node.h"
#include "cluster/replica_storage.h"
#include "cluster/wire.h"
#include "config/operator_config.h"
#include "core/cluster_requests.h"
#include "core/core.h"
#include "log/log.h"
#include "net/connection.h"
#include "net/waker.h"

namespace firvalve::cluster {

struct ClusterOptions {
  std::string listen, name;  // where it listens; the address that its peers reach it at
  std::string site;
  std::vector<std::string> keepers;  // names
  std::string folder;                // of a keeper; empty: none
  std::vector<std::string> duties;   // names, or a kind as "trial:*", that this gateway is willing to hold
  Ms lease = 3000;
  size_t record_bytes = 32 * 1024 * 1024;  // of values that a keeper holds
  uint64_t draw = 1;                       // a chance of this start alone
};
// Of what the operator's file says; its part of the memory and its draw are the caller's to give.
ClusterOptions options_from(const config::OperatorConfig::Fleet& section);

// What went over the links to peers since the start.
struct LinkCounts {
  uint64_t frames_in = 0, frames_out = 0;
  uint64_t messages_in = 0, messages_out = 0;  // of the record, one or several a frame
  uint64_t bytes_in = 0, bytes_out = 0;        // of frames with their heads
  uint64_t connects = 0;                       // that this gateway has begun
  uint64_t lost = 0;                           // links that were up, or frames on them that were broken
};

class ClusterService : public ResponseSink, public ClusterRequests {
 public:
  using LogSink = std::function<void(log::Level, std::string_view event, log::Fields fields)>;
  // Throws std::runtime_error: the folder cannot be used, or the address is taken.
  ClusterService(net::Loop& loop, Metrics& counters, const ClusterOptions& options, ResponseSink& clients,
                 LogSink say);
  ~ClusterService() override;
  void serve(Core& core);  // whose commands the merges become

  void due(Ms now);           // once a turn
  Ms next_due(Ms now) const;  // in the loop's time
  // SIGTERM: what is held is handed on, once what was begun is at its end. RunOnceJobs not begun by `until`
  // fail.
  void leave(Ms now, Ms until);
  bool left(Ms now) const;  // nothing is open here, or it was waited for long enough
  void tell() const;        // duties and members, as events: for SIGUSR1
  const LinkCounts& link_counts() const { return link_counts_; }

  // Answers of the core, for merges or else for the clients.
  void answer(CallId call, std::string_view rows) override;
  void shed(CallId call, std::optional<Duration> retry_after) override;
  void fail(CallId call, std::string_view why) override;
  void answer_paged(CallId call, ResultHandle result) override { clients_.answer_paged(call, result); }

  // RunOnceJobs, as clients ask for them.
  void run_once_job(TimePoint now, CallId call, std::string_view job_name, CommandRequest&& asked) override;
  void client_gone(TimePoint now, CallId call) override;
  void handle_topic_request(TimePoint now, std::string_view method, std::string_view name,
                            const std::string& params, Duration timeout, ReplyCallback done) override;

 private:
  class OutboundPeer;
  class InboundPeer;
  struct Wanted {  // a client's merge, until its end
    std::string command, profile, statement;
    int64_t tables = -1;
    Ms until = 0, estimate = 0;
    double memory_mb = 0;
  };

  static Ms clock();
  void accept_on(bool on);
  void on_accept(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  void handle(net::Connection& link, consensus::PeerId& peer, std::span<char> body, bool from_keeper);
  void flush(Ms at);
  void send(const consensus::Envelope& e, std::map<net::Connection*, Frame>& frames);
  void carry_out(Ms now);
  void tell_changes();
  void log_events();
  void ended(InboundPeer& link);
  void fault(std::string_view peer, std::string_view why);

  net::Loop& loop_;
  Metrics& counters_;
  const ClusterOptions options_;
  const uint64_t keepers_hash_;
  ResponseSink& clients_;
  Core* core_ = nullptr;
  LogSink say_;
  std::unique_ptr<net::Waker> waker_;
  std::unique_ptr<ReplicaStorage> folder_;
  std::unique_ptr<ClusterNode> node_;
  std::vector<std::unique_ptr<OutboundPeer>> to_;  // to each keeper, this one's own place empty
  std::map<InboundPeer*, std::unique_ptr<InboundPeer>> from_;
  std::map<consensus::PeerId, InboundPeer*> answers_to_;  // by whom answers go
  Poco::Net::ServerSocket listener_;
  bool accepting_ = false;
  consensus::PeerId last_peer_ = 0;
  std::map<CallId, Wanted> wanted_;
  std::map<CallId, std::string> runs_;  // calls of the core that are a merge's, with its name
  std::vector<std::pair<ReplyCallback, std::string>> refused_;  // changes that cannot be read, and why
  std::map<uint64_t, ReplyCallback> changes_;                   // of bulletins, as the registry numbers them
  CallId last_run_{uint64_t{1} << 62};
  Ms expected_ = 0;      // the next turn was to be by then
  Ms writes_again_ = 0;  // the folder failed: nothing is written before
  Ms accepts_again_ = 0;
  Ms leaves_at_ = 0, leave_until_ = 0, quiet_since_ = 0;
  bool was_full_ = false, unwritten_ = false;
  LinkCounts link_counts_;
};

}  // namespace firvalve::cluster
