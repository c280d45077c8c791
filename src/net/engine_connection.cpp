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
  // Guards against bytes beyond a response's end, which would be read as that to the next call: the
  // connection is not reused. A second copy of the response spoils no more; before anything else behind it a
  // length may have been cut, and the engine is asked for the response again.
  const std::string_view behind = read_buffer_.text();
  const bool may_be_cut =
      !behind.empty() && !behind.starts_with(std::string_view("HTTP/1.").substr(0, behind.size()));
  if (read != proto::ReadResult::kComplete || task == Task::kIdle || (may_be_cut && response.status == 200)) {
    metrics_.add(task == Task::kIdle ? "engine responses unsolicited" : "engine responses malformed");
    response = {};
  }
  // A second copy of a refused start that is still on its way would be taken for the response to the next
  // start.
  response.is_reusable &= response.status != 0 && behind.empty() && !response.is_not_started;
  reader_.reset();
  owner_.handle_response(*this, response);
}

}  // namespace firvalve::net
