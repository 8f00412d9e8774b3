// A test site: one sidecar with its configuration, and scripted peers on loopback ports chosen by the system.
#ifndef UMBERDYKE_TESTS_NET_SITE_H_
#define UMBERDYKE_TESTS_NET_SITE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "party.h"
#include "sidecar/sidecar.h"

namespace umberdyke::net {

using namespace std::chrono_literals;

inline Environment NoEnvironment() {
  return [](const std::string&) { return std::nullopt; };
}

// A configuration with three classes: one safe to retry, one with idempotency keys per zone ("hand"), and one
// with idempotency keys valid everywhere ("any").
inline std::string ConfigText(const std::string& discovery, const std::string& known,
                              int descriptors = 1024) {
  return R"({"name":"n0","listen":"127.0.0.1:0","discovery":")" + discovery +
         R"(","seed":"8c1f30d27a5be964","limits":{"sockets":)" + std::to_string(descriptors) +
         R"(},"known":)" + known +
         R"(,"settings":{"tier":0,"balancers":1,"az":0,"dcs":["east","west"],"kinds":["std"],
      "discovery":"ask","period_us":5000,"accounts":[{"name":"acme","allowance_per_s":1000}],
      "ceilings":{"cancel":true,"most_tries":5,"retry_after":true,"max_retry_after_us":2000000,
        "connect_timeout_us":150000,"conn_idle_us":10000000,"probes":true},
      "report":{"columns":["queue","inflight"],"how":"piggyback"},
      "rules":{"ask_every_us":10000000,"cold_us":0},
      "request_classes":[
       {"name":"look","semantics":"pure","target_us":1500000,"hard_limit_us":4000000,"points":2},
       {"name":"hand","semantics":"token","group":"zone","window_us":6000000,"target_us":1500000,
        "hard_limit_us":4000000,"points":6},
       {"name":"any","semantics":"token","group":"all","window_us":6000000,"target_us":1500000,
        "hard_limit_us":4000000,"points":6}]}})";
}

class Client : public StreamCallbacks {
 public:
  Client(Loop& loop, const Address& to) : stream(loop, this) { stream.Connect(to); }
  void Send(const std::string& bytes) {
    if (up) {
      stream.Write(bytes);
    } else {
      early_ += bytes;
    }
  }
  void OnConnected(bool ok) override {
    up = ok;
    stream.Read();
    if (ok && !early_.empty()) stream.Write(early_);
  }
  void OnData(std::string_view bytes) override {
    while (!bytes.empty()) {
      size_t used = 0;
      const ParseResult parsed = parser_.Feed(bytes, &used);
      if (parsed == ParseResult::kComplete) answers.push_back(parser_.Take());
      if (parsed != ParseResult::kComplete && parsed != ParseResult::kIncomplete) return stream.Close();
      bytes.remove_prefix(used);
    }
  }
  void OnEnd() override { ended = true; }
  Stream stream;
  std::vector<Message> answers;
  bool up = false;
  bool ended = false;

 private:
  std::string early_;
  HttpParser parser_{HttpParser::Kind::kResponse};
};

inline std::string ServerLine(const std::string& id, const std::string& address,
                              const std::string& state = "ready", const std::string& zone = "east") {
  return R"({"id":")" + id + R"(","addr":")" + address + R"(","zone":")" + zone +
         R"(","kind":"std","cell":0,"state":")" + state + R"(","weight":1.0,"started_ms":0})";
}
inline std::string ListText(int version, bool full, const std::vector<std::string>& servers) {
  std::string all;
  for (const std::string& server : servers) all += (all.empty() ? "" : ",") + server;
  return R"({"version":)" + std::to_string(version) + R"(,"full":)" + (full ? "true" : "false") +
         R"(,"servers":[)" + all + "]}";
}
// A line of discovery's response, as it writes it on a watch, and the beginning of a response with it.
inline std::string ListChunk(const std::string& line) {
  return WriteBodyPart(line + "\n", {std::nullopt, true});
}
inline std::string ListResponse(const std::string& line) {
  return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + ListChunk(line);
}
inline std::string Look(const std::string& time = "4000", const std::string& id = "a1") {
  return "GET /api?lot=7 HTTP/1.1\r\nHost: s\r\nX-Request-ID: " + id +
         "\r\nX-Priority-Class: look\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: " + time + "\r\n\r\n";
}
inline std::string Replaced(std::string text, const std::string& part, const std::string& by) {
  for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + by.size())) {
    text.replace(at, part.size(), by);
  }
  return text;
}
// Served or rejected: on a slow machine the decision module may take a few late responses for overload.
inline bool Settled(int status) { return status == 200 || status == 503; }
inline std::string Hand(const std::string& request_class = "hand") {
  return "POST /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: b2\r\nX-Priority-Class: " + request_class +
         "\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 4000\r\nIdempotency-Key: k\r\nContent-Length: 4\r\n\r\nlot7";
}

// A sidecar with scripted clients, servers and discovery. Discovery answers each watch with a response head
// and keeps it open.
struct Site {
  using Change = std::function<void(std::string* config)>;
  explicit Site(int servers = 2, int descriptors = 1024, const Environment& environment = NoEnvironment(),
                const Change& change = {})
      : discovery(loop) {
    discovery.script = [this](Party::Peer& peer) {
      watch = &peer;
      peer.Reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    };
    std::vector<std::string> lines;
    for (int i = 0; i < servers; ++i) {
      real.push_back(std::make_unique<Party>(loop));
      lines.push_back(ServerLine("s" + std::to_string(i), real.back()->address()));
    }
    std::string text = ConfigText(discovery.address(), ListText(1, true, lines), descriptors);
    if (change) change(&text);
    sidecar = std::make_unique<Sidecar>(loop, ParseConfig(text, environment), log::NullLog());
  }
  void Script(std::function<void(Party::Peer&)> script) {
    for (auto& server : real) server->script = script;
  }
  void Tell(const std::string& line) { watch->Reply(ListChunk(line)); }
  int Requests() const {
    int all = 0;
    for (const auto& server : real) all += server->requests;
    return all;
  }
  bool Until(const std::function<bool()>& done) { return loop.RunUntil(done, 10s); }
  std::unique_ptr<Client> Connect() { return std::make_unique<Client>(loop, sidecar->address()); }
  // Sends a request on a new connection and returns its response; status 0 if none came.
  Message Ask(const std::string& request) { return AskAt(sidecar->address(), request); }
  Message AskAt(const Address& address, const std::string& request) {
    const auto client = std::make_unique<Client>(loop, address);
    client->Send(request);
    Until([&] { return !client->answers.empty() || client->ended; });
    return client->answers.empty() ? Message() : client->answers.front();
  }

  Loop loop;
  Party discovery;
  Party::Peer* watch = nullptr;
  std::vector<std::unique_ptr<Party>> real;
  std::unique_ptr<Sidecar> sidecar;
};

}  // namespace umberdyke::net

#endif  // UMBERDYKE_TESTS_NET_SITE_H_
