// Hundreds of clients at once that write without reading.
#pragma once

#include <Poco/Net/StreamSocket.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <string>
#include <vector>

namespace firvalve {

// Many clients that write without waiting, each a text of its own or one that all share.
class Crowd {
 public:
  Crowd(const std::string& address, size_t count) {
    const Poco::Net::SocketAddress to(address);
    while (sockets_.size() < count) {
      Poco::Net::StreamSocket socket(Poco::Net::SocketAddress::IPv4);
      socket.connect(to, Poco::Timespan(10, 0));
      socket.setBlocking(false);
      sockets_.push_back(std::move(socket));
    }
  }
  // Writes the texts in turns of at most `piece` bytes a client, until all is written or the time is over.
  void write(const std::vector<std::string>& texts, size_t piece, std::chrono::milliseconds time) {
    std::vector<size_t> written(sockets_.size());
    const auto until = std::chrono::steady_clock::now() + time;
    bool is_complete = false;
    while (!is_complete && std::chrono::steady_clock::now() < until) {
      is_complete = true;
      for (size_t i = 0; i < sockets_.size(); ++i) {
        const std::string& text = texts[i % texts.size()];
        if (written[i] == text.size()) continue;
        const ssize_t sent = ::send(sockets_[i].impl()->sockfd(), text.data() + written[i],
                                    std::min(piece, text.size() - written[i]), MSG_NOSIGNAL);
        if (sent > 0)
          written[i] += static_cast<size_t>(sent);
        else if (errno != EAGAIN)
          written[i] = text.size();  // the gateway has closed the connection
        is_complete &= written[i] == text.size();
      }
    }
  }

 private:
  std::vector<Poco::Net::StreamSocket> sockets_;
};

}  // namespace firvalve
