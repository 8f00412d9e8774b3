// The rules that a sidecar's own file keeps, whoever wrote it.
#include <algorithm>
#include <cmath>
#include <unordered_map>

#include "config/limits.h"
#include "config/sidecar_file.h"
#include "config/units.h"

namespace umberdyke::config {
namespace {

using namespace std::chrono_literals;

const std::vector<std::pair<std::string, int>> kSemantics = {
    {"pure", static_cast<int>(Repeat::kSafe)},
    {"token", static_cast<int>(Repeat::kKeyed)},
    {"side_effect", static_cast<int>(Repeat::kUnsafe)}};
const std::vector<std::pair<std::string, int>> kGroups = {{"cell", static_cast<int>(Group::kCell)},
                                                          {"zone", static_cast<int>(Group::kZone)},
                                                          {"all", static_cast<int>(Group::kAll)}};

class Checker {
 public:
  Checker(const Reading& reading, const Node& root, const Variables& variables)
      : reading_(reading), root_(root), variables_(variables) {}

  std::optional<SidecarFile> Run() {
    Reader file(reading_, root_, {}, "");
    result_.file = reading_.file;
    const auto format = file.Integer("format", Need::kOptional, 1, 1, 1'000'000);
    if (format.value > kSidecarFormat) {
      file.Tell(format.place, "newer-format",
                "the file is of format " + std::to_string(format.value) +
                    "; this program reads formats 1 to " + std::to_string(kSidecarFormat));
      return std::nullopt;
    }
    result_.format = static_cast<int>(format.value);
    // `format = 1` was never written by anyone, and as a slip it would loosen every check below.
    if (format.given && format.value < kSidecarFormat) {
      file.Tell(format.place, "older-format",
                "format 1 is a file without `format`; this program writes format " +
                    std::to_string(kSidecarFormat));
    }
    for (const char* known : {"written", "peers_all", "seed", "known", "sites"}) file.Known(known);
    result_.application = file.Text("application", Need::kOptional);
    result_.host = file.Text("host", Need::kOptional);
    result_.name = Told(file, "name", "ROUTER_NAME");
    result_.listen = Told(file, "listen", "ROUTER_LISTEN");
    result_.console = Told(file, "console", "ROUTER_CONSOLE", Need::kOptional);
    if (result_.console.given && result_.console.value == result_.listen.value) {
      file.Tell(result_.console.place, "address-taken",
                "console is " + Quoted(result_.console.value) + ", where clients connect");
    }
    const Member* membership = file.Table("membership", Need::kOptional);
    const auto discovery = membership == nullptr ? Told(file, "discovery", "ROUTER_DISCOVERY")
                                                 : file.Text("discovery", Need::kOptional);
    if (membership != nullptr) Membership(*membership);
    result_.peer_listen = file.Text("peer_listen", Need::kOptional);
    const auto peers = file.Texts("peers", Need::kOptional);
    for (const Placed<std::string>& address :
         {result_.listen, result_.console, discovery, result_.peer_listen})
      Address(file, address);
    for (const auto& peer : peers) Address(file, peer);
    Seed(file);
    if (const Member* log = file.Table("log", Need::kOptional); log != nullptr) {
      Reader r(reading_, log->value, log->place, "log");
      r.Choice("format", Need::kOptional, 0, {{"text", 0}, {"json", 1}});
      r.Choice("level", Need::kOptional, 1, {{"debug", 0}, {"info", 1}, {"warning", 2}, {"error", 3}});
      Finish(r);
    }
    if (const Member* limits = file.Table("limits", Need::kOptional); limits != nullptr) Limits(*limits);
    if (const Member* settings = file.Table("settings", Need::kRequired); settings != nullptr) {
      Settings(*settings);
    }
    Finish(file);
    return result_;
  }

 private:
  // Format 1 may hold more than anybody here knows; a slip of the pen is told all the same.
  void Finish(Reader& reader) const { reader.Finish(result_.format < kSidecarFormat); }

  Placed<std::string> Told(Reader& reader, const std::string& key, const std::string& variable,
                           Need need = Need::kRequired) {
    const auto set = variables_(variable);
    if (!set || set->empty()) return reader.Text(key, need);
    Placed<std::string> value = reader.Text(key, Need::kOptional);
    value.value = *set;
    value.given = true;
    if (reading_.trace != nullptr) {
      reading_.trace->back().value = OneLine(*set);
      reading_.trace->back().origin = Origin::kEnvironment;
    }
    return value;
  }

  void Address(Reader& reader, const Placed<std::string>& address) {
    if (!address.given || address.value.empty() || ParseHostPort(address.value)) return;
    reader.Tell(address.place, "bad-address",
                Quoted(address.value) + " is no address in numbers with a port");
  }

  void Membership(const Member& member) {
    Reader r(reading_, member.value, member.place, "membership");
    if (result_.format < kSidecarFormat) {
      r.Tell(member.place, "older-format",
             "membership needs a file of format " + std::to_string(kSidecarFormat));
    }
    const auto kind = r.Choice("kind", Need::kRequired, 0, {{"nodes", 0}, {"file", 1}});
    const auto path = r.Text("path", Need::kRequired);
    const bool nodes = kind.value == 0;
    const auto servers = r.Texts("servers", nodes ? Need::kRequired : Need::kOptional);
    for (const auto& server : servers) Address(r, server);
    r.Micros("session_us", Need::kOptional, 4s, 200ms);
    r.Text("auth_file", Need::kOptional);
    const auto own = r.Text("register_path", Need::kOptional);
    r.Number("guard_share", Need::kOptional, 0.3, 0.01, 1);
    r.Micros("guard_within_us", Need::kOptional, 5s, 1ms);
    r.Micros("guard_hold_us", Need::kOptional, 60s, 1s);
    for (const auto* node : {&path, &own}) {
      if (!nodes || !node->given || IsNodePath(node->value)) continue;
      r.Tell(node->place, "bad-path",
             Quoted(node->value) + " is no path of a node, such as /linen-track/front");
    }
    Finish(r);
  }

  // Needed in format 1; from format 2 on it is drawn at each start where it is absent.
  void Seed(Reader& reader) {
    const Member* seed = root_.Find("seed");
    if (seed == nullptr) {
      if (result_.format < kSidecarFormat) reader.Tell({}, "missing-key", "seed is missing");
      return;
    }
    const Node& value = seed->value;
    const bool hex = value.kind == Node::Kind::kText && !value.text.empty() && value.text.size() <= 16 &&
                     value.text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
    // A whole number past 2^63 is read as a plain number here, and taken by the program as it stands.
    const bool number =
        value.kind == Node::Kind::kInteger
            ? value.integer >= 0
            : value.kind == Node::Kind::kNumber && value.number >= 9.2e18 && value.number < 1.85e19;
    if (!hex && !number) {
      reader.Tell(value.place, "out-of-range",
                  "seed is neither 64 bits in hexadecimal text nor a whole number");
    }
  }

  void Limits(const Member& member) {
    Reader r(reading_, member.value, member.place, "limits");
    r.Number("cores", Need::kOptional, 1, 0.001, 4096);
    const auto memory = r.Integer("memory_mb", Need::kOptional, 192, 1, 1 << 24);
    const auto sockets = r.Integer("sockets", Need::kOptional, 1024, 1, 1 << 20);
    if (sockets.given && sockets.value < kFewestDescriptors) {
      r.Tell(sockets.place, "limits-too-small",
             "limits.sockets is " + std::to_string(sockets.value) + "; the program needs " +
                 std::to_string(kFewestDescriptors));
    }
    const std::int64_t needed = MemoryNeeded(sockets.value);
    if (memory.given && memory.value << 20 < needed) {
      r.Tell(memory.place, "limits-too-small",
             "limits.memory_mb is " + std::to_string(memory.value) + "; with " +
                 std::to_string(sockets.value) + " descriptors the program needs " +
                 std::to_string((needed + (1 << 20) - 1) >> 20));
    }
    Finish(r);
  }

  void Settings(const Member& member) {
    Reader r(reading_, member.value, member.place, "settings");
    for (const char* known :
         {"family", "weights", "worth_by", "clients", "specifics", "result_mix", "prices"}) {
      r.Known(known);
    }
    const auto tiers = r.Texts("tiers", Need::kOptional);
    const auto zones = r.Texts("dcs", Need::kOptional);
    r.Texts("kinds", Need::kOptional);
    const auto balancers = r.Integer("balancers", Need::kOptional, 1, 1, 1 << 20);
    const auto tier = r.Integer("tier", Need::kOptional, 0, 0, 1000);
    const auto me = r.Integer("me", Need::kOptional, 0, 0, 1 << 20);
    const auto zone = r.Integer("az", Need::kOptional, 0, 0, 1000);
    r.Choice("discovery", Need::kOptional, 0, {{"push", 0}, {"ask", 1}});
    r.Micros("period_us", Need::kOptional, 1ms, 1us);
    r.Number("over_share_worth", Need::kOptional, 1, 0, 1e6);
    Within(r, tier, tiers.size(), "tier", "tiers");
    Within(r, zone, zones.size(), "az", "dcs");
    if (me.given && me.value >= balancers.value) {
      r.Tell(me.place, "out-of-range",
             "settings.me is " + std::to_string(me.value) + " of " + std::to_string(balancers.value) +
                 " balancers, which count from 0");
    }
    Tenants(r);
    Micros connect = 1s, retry_after = 0us;
    Place connect_place = r.place(), retry_place = r.place();
    if (const Member* ceilings = r.Table("ceilings", Need::kOptional); ceilings != nullptr) {
      Ceilings(*ceilings, &connect, &connect_place, &retry_after, &retry_place);
    }
    if (const Member* report = r.Table("report", Need::kOptional); report != nullptr) {
      Reader inner(reading_, report->value, report->place, "settings.report");
      inner.Choice("how", Need::kOptional, 0, {{"silent", 0}, {"piggyback", 1}, {"pull", 2}});
      inner.Texts("columns", Need::kOptional);
      Finish(inner);
    }
    if (const Member* rules = r.Table("rules", Need::kOptional); rules != nullptr) Rules(*rules);
    Micros longest = 0us;
    std::unordered_map<std::string, Place> names;
    r.Tables("request_classes", Need::kRequired, [&](const Node& table, const std::string& path) {
      longest = std::max(longest, Class(table, path, connect, connect_place, &names));
    });
    if (longest > 0us && retry_after >= longest) {
      r.Tell(retry_place, "retry-after-beyond-give-up",
             "clients may be told to come back after " + PrintDuration(retry_after) +
                 ", but all have given up after " + PrintDuration(longest));
    }
    Finish(r);
  }

  void Within(Reader& r, const Placed<std::int64_t>& index, size_t count, const std::string& key,
              const std::string& list) {
    if (!index.given || count == 0 || index.value < static_cast<std::int64_t>(count)) return;
    r.Tell(index.place, "unknown-name",
           "settings." + key + " is " + std::to_string(index.value) + ", but settings." + list + " names " +
               std::to_string(count) + ", counted from 0");
  }

  void Tenants(Reader& settings) {
    double sum = 0;
    bool all = true;
    Place last;
    std::unordered_map<std::string, Place> names;
    settings.Tables("accounts", Need::kOptional, [&](const Node& table, const std::string& path) {
      Reader r(reading_, table, table.place, path);
      Twice(r, r.Text("name", Need::kRequired), &names);
      const auto fraction = r.Number("fraction", Need::kOptional, 0, 0, 1);
      r.Number("allowance_per_s", Need::kOptional, 0, 0, 1e9);
      sum += fraction.value;
      all = all && fraction.given;
      last = fraction.place;
      Finish(r);
    });
    if (names.empty() || !all || std::abs(sum - 1) <= kShareSlack) return;
    char text[32];
    std::snprintf(text, sizeof text, "%.4g", sum);
    settings.Tell(last, "shares-do-not-sum",
                  "the fractions of all accounts sum to " + std::string(text) + ", not 1");
  }

  void Twice(Reader& r, const Placed<std::string>& name, std::unordered_map<std::string, Place>* names) {
    if (!name.given || name.value.empty()) return;
    const auto [it, is_new] = names->emplace(name.value, name.place);
    if (is_new) return;
    r.Tell(
        name.place, "duplicate-name",
        r.PathOf("name") + " is " + Quoted(name.value) + ", as in line " + std::to_string(it->second.line));
  }

  void Ceilings(const Member& member, Micros* connect, Place* connect_place, Micros* retry_after,
                Place* retry_place) {
    Reader r(reading_, member.value, member.place, "settings.ceilings");
    for (const char* known : {"cpu_us_per_request", "cpu_us_per_s", "max_open", "streams_per_conn"}) {
      r.Known(known);
    }
    r.Flag("cancel", Need::kOptional, false);
    r.Flag("probes", Need::kOptional, false);
    r.Flag("peers", Need::kOptional, false);
    const auto parallel = r.Flag("parallel_tries", Need::kOptional, false);
    const auto tries = r.Integer("most_tries", Need::kOptional, 1, 1, 1000);
    const auto told = r.Flag("retry_after", Need::kOptional, false);
    const auto most = r.Micros("max_retry_after_us", Need::kOptional, 0us);
    const auto connecting = r.Micros("connect_timeout_us", Need::kOptional, 1s, 1us);
    r.Micros("conn_idle_us", Need::kOptional, 60s, 1us);
    if (parallel.value) {
      r.Tell(parallel.place, "parallel-attempts", "two attempts of one request may not be out at once");
    }
    if (tries.value > kMostAttempts) {
      r.Tell(tries.place, "too-many-attempts",
             "settings.ceilings.most_tries is " + std::to_string(tries.value) + "; 5 is the most");
    }
    *connect = connecting.value;
    *connect_place = connecting.place;
    *retry_after = told.value ? most.value : 0us;
    *retry_place = most.place;
    Finish(r);
  }

  void Rules(const Member& member) {
    Reader r(reading_, member.value, member.place, "settings.rules");
    for (const char* known : {"answer_slack_us", "soft_removal"}) r.Known(known);
    r.Micros("ask_every_us", Need::kOptional, 10s, 1us);
    r.Number("start_capacity", Need::kOptional, 1, 0, 1);
    r.Micros("cold_us", Need::kOptional, 0us);
    r.Number("fall_multiple", Need::kOptional, 0, 0, 1000);
    r.Micros("fall_us", Need::kOptional, 0us);
    for (const char* key : {"stop_sending_within_us", "let_go_in_us"}) {
      const auto drain = r.Micros(key, Need::kOptional, 0us);
      if (drain.value <= kLongestDrain) continue;
      r.Tell(drain.place, "drain-too-long",
             r.PathOf(key) + " is " + PrintDuration(drain.value) +
                 "; a leaving node gets no new work after 300ms");
    }
    Finish(r);
  }

  Micros Class(const Node& table, const std::string& path, Micros connect, Place connect_place,
               std::unordered_map<std::string, Place>* names) {
    Reader r(reading_, table, table.place, path);
    const auto name = r.Text("name", Need::kRequired);
    Twice(r, name, names);
    const auto repeat = r.Choice("semantics", Need::kRequired, static_cast<int>(Repeat::kUnsafe), kSemantics);
    const auto group = r.Choice("group", Need::kOptional, static_cast<int>(Group::kCell), kGroups);
    const auto window = r.Micros("window_us", Need::kOptional, 0us);
    const auto aim = r.Micros("target_us", Need::kRequired, 0us, 1us);
    const auto give_up = r.Micros("hard_limit_us", Need::kRequired, 0us, 1us);
    r.Number("points", Need::kOptional, 1, 0, 1e6);
    r.Number("late_share", Need::kOptional, 0, 0, 1);
    r.Number("aim_stretch", Need::kOptional, 0, 0, 1e6);
    r.Flag("stream", Need::kOptional, false);
    const bool keyed = repeat.given && repeat.value == static_cast<int>(Repeat::kKeyed);
    const std::string who = "class " + Quoted(name.value);
    if (keyed && window.value <= 0us) {
      r.Tell(window.given ? window.place : repeat.place, "window-missing",
             who + " is keyed and has no key window");
    }
    // Where the platform says that all servers drop repeats, it is so; a file of an operator's own says it of
    // one data centre at most.
    if (keyed && result_.format >= kSidecarFormat && group.value == static_cast<int>(Group::kAll) &&
        SeveralZones()) {
      r.Tell(group.place, "scope-too-wide",
             who + " may be repeated in all zones; keys are shared within one data centre at most");
    }
    if (aim.given && give_up.given && aim.value > give_up.value) {
      r.Tell(aim.place, "aim-beyond-give-up",
             who + " wants its answer in " + PrintDuration(aim.value) + " but gives up after " +
                 PrintDuration(give_up.value));
    }
    if (aim.given && connect >= aim.value) {
      r.Tell(connect_place, "connect-beyond-aim",
             "connecting may take " + PrintDuration(connect) + ", and " + who + " wants its answer in " +
                 PrintDuration(aim.value));
    }
    Finish(r);
    return give_up.value;
  }

  bool SeveralZones() const {
    const Member* settings = root_.Find("settings");
    const Member* zones = settings == nullptr ? nullptr : settings->value.Find("dcs");
    return zones != nullptr && zones->value.items.size() > 1;
  }

  const Reading& reading_;
  const Node& root_;
  const Variables& variables_;
  SidecarFile result_;
};

}  // namespace

std::optional<SidecarFile> CheckSidecar(const std::string& file, std::string_view text,
                                        const Variables& variables, Findings* findings,
                                        std::vector<Effective>* trace) {
  const std::optional<Node> root = ReadJson(file, text, findings);
  if (!root) return std::nullopt;
  if (root->kind != Node::Kind::kTable) {
    findings->Add(file, root->place, "wrong-type", "the file is " + KindName(root->kind) + ", not a table");
    return std::nullopt;
  }
  const Reading reading{file, findings, trace, Origin::kFile};
  return Checker(reading, *root, variables).Run();
}

void CheckSidecarsTogether(const std::vector<SidecarFile>& files, Findings* findings) {
  std::unordered_map<std::string, const SidecarFile*> streams, datagrams, names;
  const auto claim = [&](auto& taken, const std::string& key, const SidecarFile& file,
                         const Placed<std::string>& said, const char* rule, const std::string& what) {
    const auto [it, is_new] = taken.emplace(key, &file);
    if (is_new) return;
    findings->Add(file.file, said.place, rule,
                  what + " " + Quoted(said.value) + " is taken by " + it->second->file);
  };
  const auto address = [&](auto& taken, const SidecarFile& file, const Placed<std::string>& said,
                           const std::string& what) {
    const auto at = said.given ? ParseHostPort(said.value) : std::nullopt;
    if (!at) return;
    // Loopback addresses are each host's own.
    const bool own = at->host.starts_with("127.") || at->host == "[::1]";
    claim(taken, (own ? file.host.value + " " : "") + at->host + ":" + std::to_string(at->port), file, said,
          "address-taken", what);
  };
  for (const SidecarFile& file : files) {
    address(streams, file, file.listen, "the address");
    address(streams, file, file.console, "the console address");
    address(datagrams, file, file.peer_listen, "the peer address");
    if (!file.host.given || !file.name.given) continue;
    claim(names, file.host.value + " " + file.name.value, file, file.name, "name-taken",
          "on host " + Quoted(file.host.value) + " the name");
  }
}

}  // namespace umberdyke::config
