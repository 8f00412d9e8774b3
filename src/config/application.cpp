#include "config/application.h"

#include <algorithm>
#include <functional>

namespace umberdyke::config {
namespace {

using namespace std::chrono_literals;

const std::vector<std::pair<std::string, int>> kRepeats = {{"safe", static_cast<int>(Repeat::kSafe)},
                                                           {"keyed", static_cast<int>(Repeat::kKeyed)},
                                                           {"unsafe", static_cast<int>(Repeat::kUnsafe)}};
const std::vector<std::pair<std::string, int>> kScopes = {{"cell", static_cast<int>(Group::kCell)},
                                                          {"zone", static_cast<int>(Group::kZone)},
                                                          {"all", static_cast<int>(Group::kAll)}};
const std::vector<std::pair<std::string, int>> kFormats = {{"text", 0}, {"json", 1}};
const std::vector<std::pair<std::string, int>> kLevels = {
    {"debug", 0}, {"info", 1}, {"warning", 2}, {"error", 3}};
constexpr double kMostWorth = 1e6;
constexpr double kMostRate = 1e9;

Placed<std::string> Name(Reader& reader, const std::string& key, bool dots = false) {
  Placed<std::string> name = reader.Text(key, Need::kRequired);
  if (name.given && !name.value.empty() && !IsName(name.value, dots)) {
    reader.Tell(name.place, "bad-name",
                reader.PathOf(key) + " is " + Quoted(name.value) + ": letters, digits, '-' and '_'" +
                    (dots ? " and '.'" : "") + ", at most 64, not beginning with '-'" +
                    (dots ? " or '.'" : ""));
  }
  return name;
}

Placed<std::string> AddressText(Reader& reader, const std::string& key, Need need) {
  Placed<std::string> address = reader.Text(key, need);
  if (address.given && !address.value.empty() && !ParseHostPort(address.value)) {
    reader.Tell(address.place, "bad-address",
                reader.PathOf(key) + " is " + Quoted(address.value) + ", no address in numbers with a port");
  }
  return address;
}

// Limits of a table, or those of the application where it names none.
RequestLimits Limits(Reader& reader, const RequestLimits& usual) {
  RequestLimits limits;
  limits.descriptors = reader.Integer("descriptors", Need::kOptional, usual.descriptors.value, 1, 1 << 20);
  limits.memory = reader.Size("memory", Need::kOptional, usual.memory.value);
  limits.cores = reader.Number("cores", Need::kOptional, usual.cores.value, 0.01, 1024);
  return limits;
}

RequestLimits UsualLimits() {
  RequestLimits limits;
  limits.descriptors.value = 1024;
  limits.memory.value = std::int64_t{192} << 20;
  limits.cores.value = 1;
  return limits;
}

class Describer {
 public:
  Describer(const Reading& reading, const Node& root) : reading_(reading), root_(root) {}

  std::optional<Application> Read() {
    Reader file(reading_, root_, {}, "");
    app_.file = reading_.file;
    const auto format = file.Integer("format", Need::kRequired, kDescriptionFormat, 1, 1'000'000);
    if (format.value > kDescriptionFormat) {
      file.Tell(format.place, "newer-format",
                "the description is of format " + std::to_string(format.value) +
                    "; this program reads format " + std::to_string(kDescriptionFormat));
      return std::nullopt;
    }
    app_.name = Name(file, "application");
    app_.zones = Names(file, "zones", Need::kRequired);
    app_.kinds = Names(file, "kinds", Need::kOptional);
    app_.limits = UsualLimits();
    Inside(file, "limits", [&](Reader& r) { app_.limits = Limits(r, app_.limits); });
    Rules(file);
    Fleet(file);
    Sites(file);
    Rollout(file);
    file.Tables("tier", Need::kRequired, [&](const Node& t, const std::string& p) { Tier(t, p); });
    file.Tables("class", Need::kRequired, [&](const Node& t, const std::string& p) { Class(t, p); });
    file.Tables("tenant", Need::kOptional, [&](const Node& t, const std::string& p) { Tenant(t, p); });
    file.Tables("host", Need::kRequired, [&](const Node& t, const std::string& p) { Host(t, p); });
    file.Tables("sidecar", Need::kRequired, [&](const Node& t, const std::string& p) { Sidecar(t, p); });
    file.Tables("server", Need::kOptional, [&](const Node& t, const std::string& p) { Server(t, p); });
    file.Finish();
    return std::move(app_);
  }

 private:
  // Reads an optional table; its defaults are traced where it is absent.
  void Inside(Reader& file, const std::string& name, const std::function<void(Reader&)>& read) {
    static const Node kNone = [] {
      Node node;
      node.kind = Node::Kind::kTable;
      return node;
    }();
    const Member* member = file.Table(name, Need::kOptional);
    Reader reader(reading_, member == nullptr ? kNone : member->value,
                  member == nullptr ? Place() : member->place, name);
    read(reader);
    reader.Finish();
  }

  std::vector<Placed<std::string>> Names(Reader& reader, const std::string& key, Need need) {
    std::vector<Placed<std::string>> names = reader.Texts(key, need);
    for (const auto& name : names) {
      if (!IsName(name.value)) {
        reader.Tell(name.place, "bad-name", reader.PathOf(key) + " holds " + Quoted(name.value));
      }
    }
    return names;
  }

  void Rules(Reader& file) {
    Inside(file, "rules", [&](Reader& r) {
      app_.parallel = r.Flag("parallel", Need::kOptional, false);
      app_.cancel = r.Flag("cancel", Need::kOptional, true);
      app_.checks = r.Flag("checks", Need::kOptional, true);
      app_.peers = r.Flag("peers", Need::kOptional, false);
      app_.drain = r.Duration("drain", Need::kOptional, 300ms, 1ms);
      app_.retry_after = r.Duration("retry_after", Need::kOptional, 2s);
      app_.connect_timeout = r.Duration("connect_timeout", Need::kOptional, 150ms, 1ms);
      app_.idle = r.Duration("idle", Need::kOptional, 10s, 1ms);
      app_.tick = r.Duration("tick", Need::kOptional, 5ms, 1ms);
      app_.ask_every = r.Duration("ask_every", Need::kOptional, 10s, 100ms);
      app_.cold_time = r.Duration("cold_time", Need::kOptional, 0s);
      app_.start_capacity = r.Number("start_capacity", Need::kOptional, 1, 0, 1);
      app_.fall_multiple = r.Number("fall_multiple", Need::kOptional, 4, 0, 1000);
      app_.fall_time = r.Duration("fall_time", Need::kOptional, 1s);
      app_.over_share_worth = r.Number("over_share_worth", Need::kOptional, 0.2, 0, 1);
    });
    Inside(file, "log", [&](Reader& r) {
      const auto format = r.Choice("format", Need::kOptional, 0, kFormats);
      const auto level = r.Choice("level", Need::kOptional, 1, kLevels);
      app_.log_format = kFormats[static_cast<size_t>(format.value)].first;
      app_.log_level = kLevels[static_cast<size_t>(level.value)].first;
    });
    Inside(file, "report", [&](Reader& r) {
      app_.report = r.Texts("figures", Need::kOptional);
      static const std::vector<std::string> kFigures = {"inflight",   "queue", "util",
                                                        "latency_ms", "qps",   "eps"};
      for (const auto& figure : app_.report) {
        if (std::find(kFigures.begin(), kFigures.end(), figure.value) != kFigures.end()) continue;
        const std::string near = Nearest(figure.value, kFigures);
        r.Tell(figure.place, "bad-choice",
               "report.figures holds " + Quoted(figure.value) +
                   ", not one of inflight, queue, util, latency_ms, qps, eps" +
                   (near.empty() ? "" : "; did you mean " + near + "?"));
      }
    });
  }

  void Coordinators(Reader& r, const std::vector<Placed<std::string>>& addresses) {
    for (const auto& address : addresses) {
      if (ParseHostPort(address.value)) continue;
      r.Tell(address.place, "bad-address",
             r.PathOf("coordinators") + " holds " + Quoted(address.value) +
                 ", no address in numbers with a port");
    }
  }

  void NodePath(Reader& r, const Placed<std::string>& path) {
    if (!path.given || path.value.empty() || IsNodePath(path.value)) return;
    r.Tell(path.place, "bad-path", Quoted(path.value) + " is no path of a node, such as /linen-track/front");
  }

  void Fleet(Reader& file) {
    const Member* member = file.Table("fleet", Need::kOptional);
    if (member == nullptr) return;
    Reader r(reading_, member->value, member->place, "fleet");
    FleetText& fleet = app_.fleet;
    fleet.given = true;
    fleet.place = member->place;
    fleet.coordinators = r.Texts("coordinators", Need::kRequired);
    Coordinators(r, fleet.coordinators);
    fleet.path = r.Text("path", Need::kRequired);
    NodePath(r, fleet.path);
    fleet.auth_file = r.Text("auth_file", Need::kOptional);
    fleet.session = r.Duration("session", Need::kOptional, 4s, 200ms);
    fleet.margin = r.Duration("margin", Need::kOptional, 1s, 1ms);
    fleet.rest = r.Duration("rest", Need::kOptional, 10s);
    fleet.census_every = r.Duration("census_every", Need::kOptional, 5s, 10ms);
    fleet.tidy_every = r.Duration("tidy_every", Need::kOptional, 60s, 10ms);
    fleet.tidy_after = r.Duration("tidy_after", Need::kOptional, 600s);
    r.Finish();
  }

  // Reads the tables of a list; each one's reader is told of what is left over.
  template <typename Text, typename Read>
  void Each(Reader& r, const char* name, Need need, std::vector<Text>* into, Read read) {
    r.Tables(name, need, [&](const Node& table, const std::string& path) {
      Reader one(reading_, table, table.place, path);
      Text& text = into->emplace_back();
      text.place = table.place;
      read(one, text);
      one.Finish();
    });
  }

  void Rollout(Reader& file) {
    const Member* member = file.Table("rollout", Need::kOptional);
    if (member == nullptr) return;
    Reader r(reading_, member->value, member->place, "rollout");
    RolloutText& rollout = app_.rollout;
    rollout.given = true;
    rollout.place = member->place;
    rollout.label = r.Text("label", Need::kOptional, "first");
    rollout.program = r.Text("program", Need::kRequired);
    rollout.files = r.Text("files", Need::kRequired);
    rollout.run_folder = r.Text("run_folder", Need::kRequired);
    rollout.server_command = r.Texts("server_command", Need::kOptional);
    rollout.look_every = r.Duration("look_every", Need::kOptional, 500ms, 10ms);
    rollout.warm_sidecar = r.Duration("warm_sidecar", Need::kOptional, 5s);
    rollout.warm_server = r.Duration("warm_server", Need::kOptional, 30s);
    rollout.stand = r.Duration("stand", Need::kOptional, 60s);
    rollout.gone_after = r.Duration("gone_after", Need::kOptional, 5s, 1ms);
    rollout.ready_within = r.Duration("ready_within", Need::kOptional, 30s, 1ms);
    rollout.end_within = r.Duration("end_within", Need::kOptional, 30s, 1ms);
    rollout.failures = r.Integer("failures", Need::kOptional, 0, 0, 1'000'000);
    rollout.back_by_itself = r.Flag("back_by_itself", Need::kOptional, true);
    rollout.back_when_unwell = r.Flag("back_when_unwell", Need::kOptional, false);
    rollout.least_heard = r.Number("least_heard", Need::kOptional, 0.5, 0, 1);
    rollout.alarm = r.Number("alarm", Need::kOptional, 1e-3, 1e-12, 0.5);
    rollout.worse = r.Number("worse", Need::kOptional, 0.01, 1e-6, 1);
    rollout.slow_by = r.Number("slow_by", Need::kOptional, 0.05, 1e-6, 1);
    rollout.least_answers = r.Integer("least_answers", Need::kOptional, 200, 1, 1'000'000'000);
    rollout.stand_answers = r.Integer("stand_answers", Need::kOptional, 100, 0, 1'000'000'000);
    rollout.unwell = r.Number("unwell", Need::kOptional, 0.2, 1e-6, 1);
    rollout.larger = r.Number("larger", Need::kOptional, 2, 0, 1000);
    Each(r, "budget", Need::kRequired, &rollout.budgets, [&](Reader& one, RolloutText::Budget& budget) {
      budget.of = one.Choice("of", Need::kRequired, 0, {{"sidecars", 0}, {"servers", 1}});
      budget.by = one.Choice("by", Need::kOptional, 0,
                             {{"fleet", 0}, {"tier", 1}, {"zone", 2}, {"kind", 3}, {"host", 4}});
      budget.group = one.Text("group", Need::kOptional);
      budget.most = one.Integer("most", Need::kOptional, 0, 0, 1'000'000);
      budget.share = one.Number("share", Need::kOptional, 0, 0, 1);
      budget.least_ready = one.Integer("least_ready", Need::kOptional, 0, 0, 1'000'000);
    });
    r.Finish();
  }

  void Sites(Reader& file) {
    const Member* member = file.Table("sites", Need::kOptional);
    if (member == nullptr) return;
    Reader r(reading_, member->value, member->place, "sites");
    SitesText& sites = app_.sites;
    sites.given = true;
    sites.place = member->place;
    sites.keep_free = r.Number("keep_free", Need::kOptional, 0.1, 0, 0.9);
    sites.retries = r.Number("retries", Need::kOptional, 0.05, 0, 0.9);
    sites.clients_move = r.Flag("clients_move", Need::kOptional, true);
    sites.follow = r.Flag("follow", Need::kOptional, false);
    sites.probes = r.Number("probes", Need::kOptional, 20, 0.1, 10'000);
    sites.silence = r.Duration("silence", Need::kOptional, 700ms, 100ms);
    const auto each = [&](const char* name, Need need, auto* into, auto read) {
      Each(r, name, need, into, read);
    };
    each("kind", Need::kOptional, &sites.kinds, [&](Reader& one, SitesText::Kind& kind) {
      kind.name = Name(one, "name");
      kind.each = one.Number("each", Need::kRequired, 0, 0, kMostRate);
    });
    each("capacity", Need::kRequired, &sites.capacities, [&](Reader& one, SitesText::Capacity& capacity) {
      capacity.zone = one.Text("zone", Need::kRequired);
      capacity.tier = one.Text("tier", Need::kRequired);
      capacity.kind = one.Text("kind", Need::kOptional);
      capacity.servers = one.Integer("servers", Need::kOptional, 0, 0, 1'000'000);
      capacity.total = one.Number("total", Need::kOptional, 0, 0, kMostRate);
    });
    each("demand", Need::kRequired, &sites.demands, [&](Reader& one, SitesText::Demand& demand) {
      demand.zone = one.Text("zone", Need::kRequired);
      demand.rate = one.Number("rate", Need::kRequired, 0, 0, kMostRate);
    });
    each("way", Need::kOptional, &sites.ways, [&](Reader& one, SitesText::Way& way) {
      way.between = one.Texts("between", Need::kRequired);
      way.time = one.Duration("time", Need::kOptional, 0s);
      way.cost = one.Number("cost", Need::kOptional, 0, 0, kMostRate);
    });
    r.Finish();
  }

  void Tier(const Node& table, const std::string& path) {
    Reader r(reading_, table, table.place, path);
    TierText tier;
    tier.place = table.place;
    tier.name = Name(r, "name");
    tier.calls = r.Texts("calls", Need::kOptional);
    tier.calls_each = r.Number("calls_each", Need::kOptional, 1, 0, 1000);
    tier.attempts = r.Integer("attempts", Need::kOptional, 1, 1, 1000);
    Sources(r, &tier);
    tier.keeps_keys = r.Duration("keeps_keys", Need::kOptional, 0s);
    tier.keys_shared = r.Choice("keys_shared", Need::kOptional, static_cast<int>(Group::kZone), kScopes);
    r.Finish();
    app_.tiers.push_back(std::move(tier));
  }

  // Where the tier's list of servers comes from.
  void Sources(Reader& r, TierText* tier) {
    tier->discovery = AddressText(r, "discovery", Need::kOptional);
    tier->coordinators = r.Texts("coordinators", Need::kOptional);
    Coordinators(r, tier->coordinators);
    tier->members_file = r.Text("members_file", Need::kOptional);
    tier->nodes = r.Text("nodes", tier->coordinators.empty() ? Need::kOptional : Need::kRequired);
    tier->register_under = r.Text("register_under", Need::kOptional);
    NodePath(r, tier->nodes);
    NodePath(r, tier->register_under);
    tier->auth_file = r.Text("auth_file", Need::kOptional);
    tier->session = r.Duration("session", Need::kOptional, 4s, 200ms);
    tier->guard_share = r.Number("guard_share", Need::kOptional, 0.3, 0.01, 1);
    tier->guard_within = r.Duration("guard_within", Need::kOptional, 5s, 1ms);
    tier->guard_hold = r.Duration("guard_hold", Need::kOptional, 60s, 1s);
    const int sources = (tier->discovery.given ? 1 : 0) + (tier->coordinators.empty() ? 0 : 1) +
                        (tier->members_file.given ? 1 : 0);
    if (sources != 1) {
      r.Tell(tier->place, "discovery-missing",
             "the tier needs exactly one of discovery, coordinators and members_file, and has " +
                 std::to_string(sources));
    }
  }

  void Class(const Node& table, const std::string& path) {
    Reader r(reading_, table, table.place, path);
    ClassText c;
    c.place = table.place;
    c.name = Name(r, "name");
    c.method = r.Text("method", Need::kRequired);
    if (c.method.given && c.method.value != "GET" && c.method.value != "POST") {
      r.Tell(c.method.place, "bad-choice",
             r.PathOf("method") + " is " + Quoted(c.method.value) + ", not one of GET, POST");
      c.method.given = false;
    }
    c.repeat = r.Choice("repeat", Need::kRequired, static_cast<int>(Repeat::kUnsafe), kRepeats);
    c.key = r.Text("key", Need::kOptional);
    c.key_window = r.Duration("key_window", Need::kOptional, 0s);
    c.key_scope = r.Choice("key_scope", Need::kOptional, static_cast<int>(Group::kZone), kScopes);
    c.aim = r.Duration("aim", Need::kRequired, 0s, 1ms);
    c.give_up = r.Duration("give_up", Need::kRequired, 0s, 1ms);
    c.worth = r.Number("worth", Need::kOptional, 1, 0, kMostWorth);
    c.late_share = r.Number("late_share", Need::kOptional, 0, 0, 1);
    c.traffic = r.Number("traffic", Need::kOptional, 0, 0, 1);
    c.work = r.Number("work", Need::kOptional, 1, 0.001, 1000);
    c.stays = r.Flag("stays", Need::kOptional, false);
    c.goes = r.Integer("goes", Need::kOptional, 0, 0, 1000);
    r.Finish();
    app_.classes.push_back(std::move(c));
  }

  void Tenant(const Node& table, const std::string& path) {
    Reader r(reading_, table, table.place, path);
    TenantText tenant;
    tenant.place = table.place;
    tenant.name = Name(r, "name");
    tenant.share = r.Number("share", Need::kRequired, 0, 0, 1);
    tenant.rate = r.Number("rate", Need::kOptional, 0, 0, kMostRate);
    r.Finish();
    app_.tenants.push_back(std::move(tenant));
  }

  void Host(const Node& table, const std::string& path) {
    Reader r(reading_, table, table.place, path);
    HostText host;
    host.place = table.place;
    host.name = Name(r, "name", true);
    host.address = r.Text("address", Need::kRequired);
    if (host.address.given && !ParseHostPort(host.address.value + ":1")) {
      r.Tell(host.address.place, "bad-address",
             r.PathOf("address") + " is " + Quoted(host.address.value) + ", no address in numbers");
    }
    host.zone = r.Text("zone", Need::kRequired);
    host.descriptors = r.Integer("descriptors", Need::kRequired, 0, 1, std::int64_t{1} << 32);
    host.memory = r.Size("memory", Need::kRequired, 0);
    host.cores = r.Number("cores", Need::kRequired, 0, 0.01, 4096);
    r.Finish();
    app_.hosts.push_back(std::move(host));
  }

  void Sidecar(const Node& table, const std::string& path) {
    Reader r(reading_, table, table.place, path);
    SidecarText sidecar;
    sidecar.place = table.place;
    sidecar.name = Name(r, "name");
    sidecar.tier = r.Text("tier", Need::kRequired);
    sidecar.host = r.Text("host", Need::kRequired);
    sidecar.listen = AddressText(r, "listen", Need::kRequired);
    sidecar.peer_listen = AddressText(r, "peer_listen", Need::kOptional);
    sidecar.console = AddressText(r, "console", Need::kOptional);
    sidecar.console_spare = AddressText(r, "console_spare", Need::kOptional);
    sidecar.limits = Limits(r, app_.limits);
    r.Finish();
    app_.sidecars.push_back(std::move(sidecar));
  }

  void Server(const Node& table, const std::string& path) {
    Reader r(reading_, table, table.place, path);
    ServerText server;
    server.place = table.place;
    server.name = Name(r, "name", true);
    server.host = r.Text("host", Need::kRequired);
    server.tier = r.Text("tier", Need::kRequired);
    server.kind = r.Text("kind", Need::kOptional);
    r.Finish();
    app_.servers.push_back(std::move(server));
  }

  const Reading& reading_;
  const Node& root_;
  Application app_;
};

template <typename T>
const T* ByName(const std::vector<T>& all, std::string_view name) {
  const auto it = std::find_if(all.begin(), all.end(), [&](const T& t) { return t.name.value == name; });
  return it == all.end() ? nullptr : &*it;
}

}  // namespace

const TierText* Application::Tier(std::string_view name) const { return ByName(tiers, name); }
const HostText* Application::Host(std::string_view name) const { return ByName(hosts, name); }

std::optional<Application> ReadApplication(const std::string& file, std::string_view text, Findings* findings,
                                           std::vector<Effective>* trace) {
  const std::optional<Node> root = ReadToml(file, text, findings);
  if (!root) return std::nullopt;
  const Reading reading{file, findings, trace, Origin::kDescription};
  return Describer(reading, *root).Read();
}

}  // namespace umberdyke::config
