// ping(): requests a heartbeat from one gateway over a separate connection, with blocking I/O.
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <span>
#include <string>

#include "base/time.h"
#include "client/client.h"
#include "client/validation.h"
#include "proto/jsonrpc/reply.h"

namespace firvalve::client {
namespace {

constexpr size_t kReadBytes = 4096;

class Pinger {
 public:
  explicit Pinger(Duration timeout) : started_at_(MonotonicClock::now()), deadline_(started_at_ + timeout) {}

  Ping run(const Poco::Net::SocketAddress& address) {
    try {
      ping_.why = exchange_heartbeat(address);
    } catch (const Poco::Net::ConnectionRefusedException&) {
      ping_.why = "connection refused";
    } catch (const Poco::TimeoutException&) {
      ping_.why = "no answer in time";
    } catch (const Poco::Exception& error) {
      ping_.why = error.what();
    }
    ping_.elapsed_ms = to_ms(MonotonicClock::now() - started_at_);
    return ping_;
  }

 private:
  Poco::Timespan time_left() const {
    const Ms left = std::max(1.0, to_ms(deadline_ - MonotonicClock::now()));
    return Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(left * 1000));
  }

  // Returns why there was no answer; empty if there was one.
  const char* exchange_heartbeat(const Poco::Net::SocketAddress& address) {
    Poco::Net::StreamSocket socket;
    socket.connect(address, time_left());
    std::string message;
    proto::append_heartbeat(message, 1);
    socket.sendBytes(message.data(), static_cast<int>(message.size()));
    proto::ReadBuffer read_buffer;
    proto::RpcFrames frames;
    for (std::span<char> body;;) {
      const proto::ReadResult read = frames.next(read_buffer, body);
      if (read == proto::ReadResult::kMalformed) return "malformed answer";
      if (read == proto::ReadResult::kComplete) return read_answer(body);
      if (MonotonicClock::now() >= deadline_ || !socket.poll(time_left(), Poco::Net::Socket::SELECT_READ))
        return "no answer in time";
      const auto space = read_buffer.prepare(kReadBytes);
      const int got = socket.receiveBytes(space.data(), static_cast<int>(space.size()));
      if (got <= 0) return "connection closed by the gateway";
      read_buffer.commit(static_cast<size_t>(got));
    }
  }

  const char* read_answer(std::span<char> body) {
    const proto::RpcReply reply = proto::read_reply(body);
    if (reply.kind != proto::RpcReply::Kind::kHeartbeat) return "answer is not a heartbeat";
    ping_.answered = true;
    ping_.healthy = reply.is_healthy;
    ping_.reads_retry_markers = reply.reads_retry_markers;
    return "";
  }

  const TimePoint started_at_, deadline_;
  Ping ping_;
};

}  // namespace

Ping ping(const std::string& gateway, double timeout_ms) {
  const Poco::Net::SocketAddress address = parse_address(gateway);
  return Pinger(duration_of(timeout_ms)).run(address);
}

}  // namespace firvalve::client
