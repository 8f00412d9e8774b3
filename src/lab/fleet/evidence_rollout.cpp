// The judge of releases, restarts and drains: from what stands in the service, what sidecars logged and what
// servers' nodes said. Pure; nothing is believed of what the duty's owner says of itself but the phase that
// it ends in.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "fleet/records.h"
#include "lab/fleet/evidence.h"
#include "rollout/release.h"

namespace umberdyke::lab {
namespace {

using rollout::Do;
using rollout::Permit;

struct Span {
  std::int64_t from = 0, to = INT64_MAX;
};

class RolloutJudge {
 public:
  RolloutJudge(const Evidence& evidence, Verdict* verdict)
      : evidence_(evidence), sight_(evidence.rollout), verdict_(verdict) {}

  void Run() {
    for (const PlaceLog& place : evidence_.places) places_[place.name] = &place;
    Servers();
    Permits();
    Starts();
    Halts();
    Counted("sidecars", SidecarsOut(), sight_.most_sidecars);
    Counted("servers", servers_out_, sight_.most_servers);
    End();
  }

 private:
  void Break(const char* rule, const std::string& what) { verdict_->broken.emplace_back(rule, what); }
  static std::string At(std::int64_t us) { return std::to_string(us) + " us"; }

  bool Struck(const std::string& unit, std::int64_t us) const {
    // What was struck takes its time to come back, and its budget may be used up meanwhile by others.
    constexpr std::int64_t kAfter = 3'000'000;
    return std::any_of(sight_.struck.begin(), sight_.struck.end(), [&](const RolloutSight::Struck& s) {
      return s.unit == unit && us >= s.from - 1000 && us <= s.to + kAfter;
    });
  }

  // Times when a server's node was not there, said that it leaves, or had just come.
  void Servers() {
    struct Known {
      bool ready = false;
      std::int64_t out_since = 0;
    };
    std::map<std::string, Known> known;
    const std::string prefix = sight_.servers_path + "/";
    for (const ServiceLine& line : evidence_.service) {
      if (!line.path.starts_with(prefix)) continue;
      const std::string name = line.path.substr(prefix.size());
      const auto json = nlohmann::json::parse(line.data, nullptr, false);
      const bool ready = line.what != "deleted" && json.is_object() && json.value("state", "") == "ready";
      const auto [it, is_new] = known.try_emplace(name);
      Known& server = it->second;
      if (is_new) {
        server.ready = ready;
        server.out_since = ready ? 0 : line.us;
        if (ready) ready_since_[name].push_back({line.us, INT64_MAX});
        continue;
      }
      if (server.ready && !ready) {
        server.out_since = line.us;
        ready_since_[name].back().to = line.us;
      }
      if (!server.ready && ready) {
        servers_out_[name].push_back({server.out_since, line.us + sight_.warm_server_us});
        ready_since_[name].push_back({line.us, INT64_MAX});
      }
      server.ready = ready;
    }
    for (const auto& [name, server] : known) {
      if (!server.ready) servers_out_[name].push_back({server.out_since, INT64_MAX});
    }
  }

  // Able at that moment, from its logs: a life that serves and was not told to end.
  bool SidecarAble(const std::string& name, std::int64_t us) const {
    const auto& spans = places_.at(name)->spans;
    return std::any_of(spans.begin(), spans.end(), [&](const LifeSpan& life) {
      return life.listening > 0 && life.listening <= us && (life.leaving == 0 || us < life.leaving);
    });
  }
  bool ServerAble(const std::string& name, std::int64_t us) const {
    const auto it = ready_since_.find(name);
    return it != ready_since_.end() && std::any_of(it->second.begin(), it->second.end(),
                                                   [&](const Span& s) { return s.from <= us && us < s.to; });
  }

  // What stands in the service: never more permits to go than the budgets have, and none ends before its unit
  // is able.
  void Permits() {
    std::map<std::string, std::vector<Permit>> by_host;
    std::map<std::int64_t, std::string> said;  // by serial, the newest
    const std::string permits = evidence_.base + "/rollout/permits/",
                      reports = evidence_.base + "/rollout/reports/";
    std::int64_t written = 0;  // the transaction whose permits were read last, and when it was
    std::int64_t written_us = 0;
    for (const ServiceLine& line : evidence_.service) {
      // What one transaction writes stands all at once, and with it what else it writes.
      if (written != 0 && line.zxid != written) {
        Budgets(by_host, written_us);
        written = 0;
      }
      std::string why;
      if (line.path.starts_with(reports) && line.what != "refused") {
        const auto read = rollout::ReadReports(line.data, &why);
        if (!read) Break("unreadable", why);
        for (const auto& [unit, report] : read.value_or(std::map<std::string, rollout::Report>())) {
          std::string& before = said[report.serial];
          const std::string now = rollout::Name(report.said);
          if (now != before && now == "going") ++verdict_->dangers["units_gone"];
          if (now != before && now == "stayed") ++verdict_->dangers["permits_withdrawn_in_time"];
          before = now;
        }
      }
      if (!line.path.starts_with(permits) || line.what == "refused") continue;
      const std::string host = line.path.substr(permits.size());
      const auto read = rollout::ReadPermits(line.data, &why);
      if (!read) {
        Break("unreadable", why);
        continue;
      }
      for (const Permit& before : by_host[host]) {
        const bool still =
            std::any_of(read->begin(), read->end(), [&](const Permit& p) { return p.unit == before.unit; });
        if (!still) Ended(before, said[before.serial], line.us);
        const auto again = std::find_if(read->begin(), read->end(), [&](const Permit& p) {
          return p.unit == before.unit && p.serial != before.serial && p.action != Do::kUndrain;
        });
        if (again == read->end()) continue;
        const std::string& end = said[before.serial];
        if (end != "done" && end != "failed" && end != "stayed")
          Break("granted-twice", before.unit + " got the permit " + std::to_string(again->serial) +
                                     " while " + std::to_string(before.serial) + " was " +
                                     (end.empty() ? "not used" : end));
      }
      for (const Permit& permit : *read) {
        granted_[permit.serial] = permit;
        Span& span = outstanding_[permit.unit].emplace(permit.serial, Span{line.us, INT64_MAX}).first->second;
        span.to = INT64_MAX;
      }
      for (const Permit& before : by_host[host]) {
        const bool still = std::any_of(read->begin(), read->end(),
                                       [&](const Permit& p) { return p.serial == before.serial; });
        if (!still) outstanding_[before.unit][before.serial].to = line.us;
      }
      by_host[host] = *read;
      written = line.zxid;
      written_us = line.us;
    }
    if (written != 0) Budgets(by_host, written_us);
    verdict_->dangers["permits"] += granted_.size();
    for (const auto& [serial, permit] : granted_) {
      if (permit.action == Do::kBack) ++verdict_->dangers["ways_back"];
      if (permit.withdrawn) ++verdict_->dangers["permits_withdrawn"];
    }
  }

  void Budgets(const std::map<std::string, std::vector<Permit>>& by_host, std::int64_t us) {
    int sidecars = 0, servers = 0;
    for (const auto& [host, all] : by_host) {
      int here = 0;
      for (const Permit& permit : all) {
        // One that is dead goes back without a budget: it is out as it is.
        if (permit.action == Do::kBack) continue;
        (places_.contains(permit.unit) ? here : servers) += 1;
      }
      sidecars += here;
      if (here > sight_.most_of_host)
        Break("over-budget",
              "at " + At(us) + " " + std::to_string(here) + " sidecars of " + host + " have a permit");
    }
    if (sidecars > sight_.most_sidecars)
      Break("over-budget", "at " + At(us) + " " + std::to_string(sidecars) + " sidecars have a permit");
    if (servers > sight_.most_servers)
      Break("over-budget", "at " + At(us) + " " + std::to_string(servers) + " servers have a permit");
  }

  void Ended(const Permit& permit, const std::string& said, std::int64_t us) {
    if (said == "stayed" || said == "failed" || Struck(permit.unit, us)) return;
    // A version that ends by itself may do so at that very moment.
    if (sight_.version == "later") return;
    const bool able =
        places_.contains(permit.unit) ? SidecarAble(permit.unit, us) : ServerAble(permit.unit, us);
    if (!able || said != "done")
      Break("closed-too-early", "the permit " + std::to_string(permit.serial) + " of " + permit.unit +
                                    " ended at " + At(us) + ", when it was " +
                                    (said.empty() ? "not used" : said) +
                                    (able ? "" : " and the unit not able"));
  }

  bool Permitted(const std::string& unit, std::int64_t us) const {
    const auto it = outstanding_.find(unit);
    return it != outstanding_.end() &&
           std::any_of(it->second.begin(), it->second.end(),
                       [&](const auto& one) { return one.second.from <= us && us <= one.second.to; });
  }

  // No process is started by an agent, or told to end by one, without a permit of its unit.
  void Starts() {
    for (const auto& [name, place] : places_) {
      int begun = 0;
      for (const LifeSpan& life : place->spans) {
        if (!life.by_agent || life.listening == 0) continue;
        ++begun;
        if (!Permitted(name, life.listening))
          Break("without-permit", name + " began to serve at " + At(life.listening) + " without a permit");
      }
      const auto it = outstanding_.find(name);
      const int permits = it == outstanding_.end() ? 0 : static_cast<int>(it->second.size());
      if (begun > permits) ++verdict_->dangers["second_starts"];
    }
  }

  // How often something halted, by what it gave as its reason; of good versions told apart.
  void Halts() {
    const std::string journal = evidence_.base + "/duties/rollout/journal";
    const std::string of = sight_.version == "good" ? "good_" : "bad_";
    std::string before;
    for (const ServiceLine& line : evidence_.service) {
      if (line.path != journal || line.what != "set") continue;
      const auto read = fleet::ReadJournal(line.data);
      const auto* written = std::get_if<owner::Journal>(&read);
      std::string why, reason;
      const auto state = written == nullptr ? std::nullopt : rollout::ReadState(written->state, &why);
      if (!state) continue;
      for (const rollout::Job& job : state->jobs) {
        if (job.phase == rollout::Phase::kHalted) reason = job.reason;
      }
      if (!reason.empty() && reason != before) {
        const char* kind = reason.starts_with("halted by")   ? "halted_by_hand"
                           : reason.starts_with("those not") ? "halted_unwell"
                           : reason.starts_with("sight")     ? "halted_without_sight"
                                                             : "halted_by_failures";
        ++verdict_->dangers[of + kind];
      }
      before = reason;
    }
    const bool release = std::any_of(granted_.begin(), granted_.end(),
                                     [](const auto& one) { return one.second.action == Do::kGo; });
    if (release) ++verdict_->dangers[of + "releases"];
  }

  std::map<std::string, std::vector<Span>> SidecarsOut() const {
    std::map<std::string, std::vector<Span>> out;
    for (const auto& [name, place] : places_) {
      std::vector<Span> able;
      for (size_t i = 0; i < place->spans.size(); ++i) {
        const LifeSpan& life = place->spans[i];
        if (life.listening == 0) continue;
        Span span{life.listening + (life.by_agent ? sight_.warm_sidecar_us : 0), INT64_MAX};
        if (life.leaving > 0) span.to = life.leaving;
        // One that was killed: until its successor serves.
        if (life.leaving == 0 && i + 1 < place->spans.size() && place->spans[i + 1].listening > 0)
          span.to = place->spans[i + 1].listening;
        able.push_back(span);
      }
      std::sort(able.begin(), able.end(), [](const Span& a, const Span& b) { return a.from < b.from; });
      std::int64_t until = able.empty() ? 0 : able.front().from;
      for (const Span& span : able) {
        if (span.from > until) out[name].push_back({until, span.from});
        until = std::max(until, span.to);
      }
    }
    return out;
  }

  // From outside, moment by moment: so many were out that the bed itself had not struck.
  void Counted(const char* what, const std::map<std::string, std::vector<Span>>& out, int most) {
    if (sight_.version == "later") return;  // it ends by itself, and no budget can keep it
    std::vector<std::pair<std::int64_t, int>> changes;
    for (const auto& [unit, spans] : out) {
      std::int64_t until = INT64_MIN;
      for (const Span& span : spans) {
        if (span.from >= sight_.end_us || Struck(unit, span.from) ||
            Struck(unit, std::min(span.to, sight_.end_us)))
          continue;
        if (!Permitted(unit, span.from)) continue;  // it went by itself, such as with its session
        // One that comes back and goes again before it is warm was out all the time.
        const std::int64_t from = std::max(span.from, until), to = std::min(span.to, sight_.end_us);
        until = std::max(until, to);
        if (from >= to) continue;
        changes.emplace_back(from, 1);
        changes.emplace_back(to, -1);
      }
    }
    std::sort(changes.begin(), changes.end());
    int now = 0, worst = 0;
    std::int64_t when = 0;
    for (const auto& [us, change] : changes) {
      now += change;
      if (now > worst) {
        worst = now;
        when = us;
      }
    }
    std::uint64_t& most_seen = verdict_->dangers[std::string("most_out_of_") + what];
    most_seen = std::max(most_seen, static_cast<std::uint64_t>(worst));
    if (worst > most)
      Break("too-many-out", std::to_string(worst) + " " + what + " were out at " + At(when) + ", and " +
                                std::to_string(most) + " may be");
  }

  void End() {
    std::string why;
    const auto state = rollout::ReadState(sight_.state, &why);
    if (!state) return Break("unreadable", why);
    const rollout::Job* job = !state->history.empty() ? &state->history.back()
                              : !state->jobs.empty()  ? &state->jobs.back()
                                                      : nullptr;
    if (job == nullptr) return Break("not-done", "nothing was ever begun");
    const std::string phase = rollout::Name(job->phase);
    // What is found by comparison is found, or blamed, with a probability: told, and no rule.
    const bool compared = sight_.version == "errors" || sight_.version == "slow";
    const bool blamed =
        sight_.version == "good" && phase == "taken-back" && job->reason.starts_with("changed");
    if (compared && phase == "sealed") {
      ++verdict_->dangers["bad_version_not_found"];
    } else if (blamed) {
      ++verdict_->dangers["good_blamed"];
    } else if (!sight_.wanted.empty() && phase != sight_.wanted) {
      Break("not-done", std::string(rollout::Name(job->what)) + " of a " + sight_.version +
                            " version ended as " + phase + ", not as " + sight_.wanted + ": " + job->reason);
    }
    std::set<std::string> touched;
    for (const auto& [serial, permit] : granted_) {
      if (permit.action == Do::kGo) touched.insert(permit.unit);
    }
    std::uint64_t& reached = verdict_->dangers["reached_by_" + sight_.version];
    reached = std::max<std::uint64_t>(reached, touched.size());
    if (sight_.most_touched > 0 && static_cast<int>(touched.size()) > sight_.most_touched)
      Break("too-far",
            std::to_string(touched.size()) + " units were reached by a " + sight_.version + " version");
  }

  const Evidence& evidence_;
  const RolloutSight& sight_;
  Verdict* const verdict_;
  std::map<std::string, const PlaceLog*> places_;
  std::map<std::string, std::vector<Span>> servers_out_, ready_since_;
  std::map<std::int64_t, Permit> granted_;
  std::map<std::string, std::map<std::int64_t, Span>> outstanding_;  // by unit and serial
};

}  // namespace

void JudgeRollout(const Evidence& evidence, Verdict* verdict) { RolloutJudge(evidence, verdict).Run(); }

}  // namespace umberdyke::lab
