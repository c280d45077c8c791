#include "net/engine_connection.h"

namespace firvalve::net {

EngineConnection::EngineConnection(Owner& owner, Loop& loop, Metrics& metrics, uint32_t engine,
                                   const std::string& address, size_t max_body_bytes)
    : Connection(loop, Poco::Net::SocketAddress(address)),
      engine(engine),
      address(address),
      owner_(owner),
      metrics_(metrics),
      reader_(max_body_bytes) {}

void EngineConnection::on_bytes() {
  proto::HttpResponse response;
  const proto::ReadResult read = reader_.next(read_buffer_, response);
  if (read == proto::ReadResult::kIncomplete && task != Task::kIdle) return;
  // Guards against trailing bytes after a response, which would be read as the response to the next request:
  // the connection is not reused. If they begin a second copy of the response, this response is intact. Any
  // other bytes suggest that its Content-Length was truncated, so the response is fetched again.
  const std::string_view trailing = read_buffer_.text();
  const bool may_be_truncated =
      !trailing.empty() && !trailing.starts_with(std::string_view("HTTP/1.").substr(0, trailing.size()));
  if (read != proto::ReadResult::kComplete || task == Task::kIdle ||
      (may_be_truncated && response.status == 200)) {
    metrics_.add(task == Task::kIdle ? "engine responses unsolicited" : "engine responses malformed");
    response = {};
  }
  // After a rejected start the connection is not reused: a late second copy of this response would be read as
  // the response to the next start.
  response.is_reusable &= response.status != 0 && trailing.empty() && !response.is_not_started;
  reader_.reset();
  owner_.handle_response(*this, response);
}

}  // namespace firvalve::net
