// The rules between applications that share hosts. Every sidecar and host is looked at once, through tables
// by name and address, so that a site of many thousands is checked in seconds.
#include <cmath>
#include <unordered_map>

#include "config/application.h"
#include "config/units.h"

namespace umberdyke::config {
namespace {

struct Holder {
  const Application* app;
  const SidecarText* sidecar;
};

std::string Tag(const Holder& holder) {
  return Quoted(holder.sidecar->name.value) + " of " + Quoted(holder.app->name.value);
}

struct HostRecord {
  const Application* app = nullptr;
  const HostText* text = nullptr;
  double descriptors = 0, memory = 0, cores = 0;
  std::vector<Holder> sidecars;
  std::unordered_map<std::string, Holder> names, streams, datagrams;  // by name or "address:port"
};

class Together {
 public:
  explicit Together(Findings* findings) : findings_(findings) {}

  void Add(const Application& app) {
    if (app.name.given && !app.name.value.empty()) {
      const auto [it, is_new] = apps_.emplace(app.name.value, &app);
      if (!is_new) {
        findings_->Add(
            app.file, app.name.place, "application-twice",
            "application " + Quoted(app.name.value) + " is described in " + it->second->file + " already");
      }
    }
    for (const HostText& host : app.hosts) AddHost(app, host);
    for (const SidecarText& sidecar : app.sidecars) AddSidecar({&app, &sidecar});
  }

  void Finish() {
    for (const auto& [name, host] : hosts_) {
      if (host.text == nullptr) continue;
      Sum(host, "descriptors-oversubscribed", host.descriptors,
          static_cast<double>(host.text->descriptors.value), "descriptors",
          [](double n) { return std::to_string(static_cast<std::int64_t>(n)); });
      Sum(host, "memory-oversubscribed", host.memory, static_cast<double>(host.text->memory.value), "memory",
          [](double n) { return PrintSize(static_cast<std::int64_t>(n)); });
      Sum(host, "cores-oversubscribed", host.cores, host.text->cores.value, "cores", [](double n) {
        char text[32];
        std::snprintf(text, sizeof text, "%g", n);
        return std::string(text);
      });
    }
  }

 private:
  void AddHost(const Application& app, const HostText& host) {
    HostRecord& record = hosts_[host.name.value];
    if (record.text == nullptr) {
      record.app = &app;
      record.text = &host;
      return;
    }
    if (record.app == &app) return;  // twice in one file: told there
    const HostText& first = *record.text;
    const char* differs = host.address.value != first.address.value           ? "address"
                          : host.descriptors.value != first.descriptors.value ? "descriptors"
                          : host.memory.value != first.memory.value           ? "memory"
                          : host.cores.value != first.cores.value             ? "cores"
                                                                              : nullptr;
    if (differs == nullptr) return;
    findings_->Add(app.file, host.name.place, "host-differs",
                   "host " + Quoted(host.name.value) + " has another value of " + differs + " in " +
                       record.app->file + ", line " + std::to_string(first.place.line));
  }

  void AddSidecar(const Holder& holder) {
    const SidecarText& s = *holder.sidecar;
    const auto host = hosts_.find(s.host.value);
    if (host == hosts_.end()) return;  // told where the application is checked
    HostRecord& record = host->second;
    record.sidecars.push_back(holder);
    record.descriptors += static_cast<double>(s.limits.descriptors.value);
    record.memory += static_cast<double>(s.limits.memory.value);
    record.cores += s.limits.cores.value;
    Claim(record.names, s.name.value, holder, s.name, "name-taken", "the name");
    Claim(record.streams, Canonical(s.listen.value), holder, s.listen, "address-taken", "the address");
    Claim(record.streams, Canonical(s.console.value), holder, s.console, "address-taken",
          "the console address");
    Claim(record.streams, Canonical(s.console_spare.value), holder, s.console_spare, "address-taken",
          "the spare console address");
    Claim(record.datagrams, Canonical(s.peer_listen.value), holder, s.peer_listen, "address-taken",
          "the peer address");
  }

  static std::string Canonical(const std::string& address) {
    const auto at = ParseHostPort(address);
    return at ? at->host + ":" + std::to_string(at->port) : "";
  }

  void Claim(std::unordered_map<std::string, Holder>& taken, const std::string& what, const Holder& holder,
             const Placed<std::string>& said, const char* rule, const char* kind) {
    if (!said.given || what.empty()) return;
    const auto [it, is_new] = taken.emplace(what, holder);
    if (is_new) return;
    const Holder& first = it->second;
    // A name twice in one application is told there, on whichever host.
    if (first.app == holder.app && std::string_view(rule) == "name-taken") return;
    findings_->Add(holder.app->file, said.place, rule,
                   "on host " + Quoted(holder.sidecar->host.value) + " " + kind + " " + Quoted(what) +
                       " is " + Tag(first) + "'s already (" + first.app->file + ", line " +
                       std::to_string(first.sidecar->place.line) + ")");
  }

  // Told once a host, at the sidecar that goes past what the host has.
  template <typename Print>
  void Sum(const HostRecord& host, const char* rule, double sum, double has, const char* what, Print print) {
    if (has <= 0 || sum <= has * (1 + 1e-9)) return;
    const Holder& last = host.sidecars.back();
    findings_->Add(last.app->file, last.sidecar->place, rule,
                   "the " + std::to_string(host.sidecars.size()) + " sidecars of host " +
                       Quoted(host.text->name.value) + " may use " + print(sum) + " " + what + "; it has " +
                       print(has));
  }

  Findings* const findings_;
  std::unordered_map<std::string, const Application*> apps_;
  std::unordered_map<std::string, HostRecord> hosts_;
};

}  // namespace

void CheckTogether(const std::vector<Application>& applications, Findings* findings) {
  Together together(findings);
  for (const Application& app : applications) together.Add(app);
  together.Finish();
}

}  // namespace umberdyke::config
