#include "fleet/caller.h"

#include <algorithm>
#include <utility>

namespace umberdyke::fleet {

using namespace std::chrono_literals;
using nodes::NodeStat;

Caller::Caller(const Service& service) : service_(service), end_(net::Clock::now() + service.patience) {
  nodes::ClientSettings settings;
  settings.servers = service.servers;
  settings.session = 4000ms;
  const auto auth = ReadAuth(service.auth_file);
  if (const auto* bad = std::get_if<Unreadable>(&auth)) throw *bad;
  settings.auth = std::get<std::string>(auth);
  client_ = std::make_unique<nodes::NodeClient>(
      loop_, settings,
      nodes::NodeClient::Callbacks{
          [this](nodes::Session session) { refused_ |= session == nodes::Session::kAuthFailed; },
          [](nodes::WatchEvent, const std::string&) {}});
  client_->Start();
  Wait([&] { return client_->connected() || refused_; });
  if (refused_) throw Unreadable{"the coordination service refuses user and password"};
  int rc = nodes::kClosing;
  bool done = false;
  client_->Sync(service.path, [&](int code) {
    rc = code;
    done = true;
  });
  Wait([&] { return done; });
}

std::string Caller::Get(const std::string& path, bool* there, NodeStat* stat) {
  std::string text;
  int rc = 0;
  bool done = false;
  client_->Read(path, [&](int code, const std::string& data, const NodeStat& s) {
    rc = code;
    text = data;
    if (stat != nullptr) *stat = s;
    done = true;
  });
  Wait([&] { return done; });
  if (there != nullptr) *there = rc == nodes::kOk;
  if (rc != nodes::kOk && rc != nodes::kNoNode) throw Unreadable{path + ": " + nodes::ErrorText(rc)};
  return text;
}

std::vector<std::string> Caller::Children(const std::string& path) {
  std::vector<std::string> names;
  int rc = 0;
  bool done = false;
  client_->Children(path, [&](int code, std::vector<std::string> got, const NodeStat&) {
    rc = code;
    names = std::move(got);
    done = true;
  });
  Wait([&] { return done; });
  if (rc != nodes::kOk && rc != nodes::kNoNode) throw Unreadable{path + ": " + nodes::ErrorText(rc)};
  std::sort(names.begin(), names.end());
  return names;
}

int Caller::Do(const std::vector<nodes::Op>& ops) {
  int rc = 0;
  bool done = false;
  client_->Multi(ops, [&](int code, const std::vector<int>&) {
    rc = code;
    done = true;
  });
  Wait([&] { return done; });
  return rc;
}

std::string Caller::CreateSequential(const std::string& prefix, const std::string& data) {
  std::string made;
  int rc = 0;
  bool done = false;
  client_->CreateSequential(prefix, data, [&](int code, const std::string& path) {
    rc = code;
    made = path;
    done = true;
  });
  Wait([&] { return done; });
  if (rc != nodes::kOk) throw Unreadable{prefix + ": " + nodes::ErrorText(rc)};
  return made;
}

void Caller::Rest(net::Span time) {
  const net::Time until = std::min(end_, net::Clock::now() + time);
  loop_.RunUntil([&] { return net::Clock::now() >= until; }, time);
  if (net::Clock::now() >= end_) throw Late();
}

Unreadable Caller::Late() const {
  std::string servers;
  for (const std::string& server : service_.servers) servers += (servers.empty() ? "" : ", ") + server;
  return Unreadable{"the coordination service at " + servers + " did not answer within " +
                    std::to_string(service_.patience.count()) + " ms"};
}

void Caller::Wait(const std::function<bool()>& done) {
  if (!loop_.RunUntil(done, std::max<net::Span>(1ms, end_ - net::Clock::now()))) throw Late();
}

void Caller::CheckRoot() {
  bool there = false;
  const std::string text = Get(service_.path, &there);
  if (!there) throw Unreadable{"no agent has been at work under " + service_.path + " yet"};
  const auto root = ReadRoot(text, service_.application);
  if (const auto* bad = std::get_if<Unreadable>(&root)) throw *bad;
}

}  // namespace umberdyke::fleet
