#include "lab/coordinator/control.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

namespace umberdyke::lab {

using namespace std::chrono_literals;

namespace {

constexpr size_t kLongestLine = 4096;
constexpr const char* kHelp =
    "ok lag M MS | cut M on|off | silent M on|off | refuse M on|off | read-only M on|off | majority on|off | "
    "leader "
    "| zxid N | lose SESSION (0: any) | kill SESSION | expire PATH | jump SESSION | owner PATH | get PATH "
    "| children PATH | create PATH [DATA] | set PATH DATA | delete PATH | sessions | stats | help";

std::string OneLine(std::string text) {
  std::replace(text.begin(), text.end(), '\n', ' ');
  return text;
}

}  // namespace

std::string Control::Do(Ensemble& ensemble, const std::string& line) {
  std::istringstream in(line);
  std::string verb, path, word, rest;
  in >> verb;
  size_t member = 0;
  const auto on = [&] { return word == "on"; };
  if (verb == "help") return kHelp;
  if (verb == "lag" || verb == "cut" || verb == "silent" || verb == "refuse" || verb == "read-only") {
    if (!(in >> member >> word) || member >= ensemble.members()) return "no such member";
    if (verb == "lag") {
      const std::int64_t ms = std::atoll(word.c_str());
      if (ms < 0 || ms > 600'000) return "no such time";
      ensemble.SetLag(member, std::chrono::milliseconds(ms));
    } else if (word != "on" && word != "off") {
      return "no: on or off";
    } else if (verb == "cut") {
      ensemble.SetCutOff(member, on());
    } else if (verb == "read-only") {
      ensemble.faults(member).read_only = on();
    } else if (verb == "silent") {
      ensemble.faults(member).silent = on();
      if (!on()) ensemble.CloseConnections(member);
    } else {
      ensemble.faults(member).refuse = on();
      if (on()) ensemble.CloseConnections(member);
    }
    return "ok";
  }
  if (verb == "majority") {
    in >> word;
    if (word != "on" && word != "off") return "no: on or off";
    ensemble.SetMajority(on());
    return "ok";
  }
  if (verb == "leader") {
    ensemble.ChangeLeader();
    return "ok";
  }
  std::int64_t number = 0;
  if (verb == "zxid" || verb == "lose" || verb == "kill" || verb == "jump") {
    if (!(in >> number) || number < 0) return "no number";
    if (verb == "zxid") ensemble.ContinueAt(number);
    if (verb == "lose") ensemble.LoseNextAnswer(number);
    if (verb == "kill") ensemble.KillSession(number);
    if (verb == "jump") ensemble.JumpTimeout(number);
    return "ok";
  }
  if (verb == "sessions") {
    std::string out = "ok";
    for (const std::int64_t id : ensemble.sessions()) out += " " + std::to_string(id);
    return out;
  }
  if (verb == "stats") {
    const Ensemble::Count& count = ensemble.count();
    return "ok requests " + std::to_string(count.requests) + " notices " + std::to_string(count.notices) +
           " expired " + std::to_string(count.expired) + " refused " + std::to_string(count.refused) +
           " answers-lost " + std::to_string(count.answers_lost) + " sessions " +
           std::to_string(ensemble.sessions().size());
  }
  in >> path;
  if (!Tree::ValidPath(path)) return "no path; try help";
  std::getline(in >> std::ws, rest);
  Stat stat;
  std::string created;
  std::vector<TreeChange> changes;
  Code code = Code::kOk;
  if (verb == "owner" || verb == "expire") {
    const std::int64_t owner = ensemble.OwnerOf(path);
    if (owner == 0) return "no owner";
    if (verb == "expire") ensemble.KillSession(owner);
    return "ok " + std::to_string(owner);
  }
  if (verb == "get") {
    std::string data;
    code = ensemble.tree().Get(path, {}, &data, &stat);
    return code == Code::kOk ? "ok " + OneLine(data) : "no " + std::to_string(static_cast<int>(code));
  }
  if (verb == "children") {
    std::vector<std::string> names;
    code = ensemble.tree().Children(path, {}, &names, &stat);
    if (code != Code::kOk) return "no " + std::to_string(static_cast<int>(code));
    std::string out = "ok";
    for (const std::string& name : names) out += " " + name;
    return out;
  }
  if (verb == "create") {
    code = ensemble.tree().Create(path, rest, {}, 0, 0, 0, {}, &created, &changes);
  } else if (verb == "set") {
    code = ensemble.tree().Set(path, rest, -1, 0, {}, &stat, &changes);
  } else if (verb == "delete") {
    code = ensemble.tree().Delete(path, -1, {}, &changes);
  } else {
    return "no such command; try help";
  }
  ensemble.Outside(changes);
  return code == Code::kOk ? "ok" : "no " + std::to_string(static_cast<int>(code));
}

class Control::Caller : public net::StreamCallbacks {
 public:
  explicit Caller(Control& control) : control_(control), stream(control.loop_, this) {}
  void OnData(std::string_view bytes) override {
    buffer_ += bytes;
    for (size_t end; stream.open() && (end = buffer_.find('\n')) != std::string::npos;) {
      const std::string line = buffer_.substr(0, end);
      buffer_.erase(0, end + 1);
      stream.Write(Do(control_.ensemble_, line) + "\n");
    }
    if (buffer_.size() > kLongestLine) OnEnd();
  }
  void OnEnd() override {
    if (!stream.open()) return;
    Close();
    control_.Gone(this);
  }
  void Close() { stream.Close(); }
  void OnWritten(bool ok) override {
    if (!ok) OnEnd();
  }

 private:
  Control& control_;

 public:
  net::Stream stream;

 private:
  std::string buffer_;
};

Control::Control(net::Loop& loop, const std::string& address, Ensemble& ensemble)
    : loop_(loop), ensemble_(ensemble), listener_(loop, [this] { Come(); }) {
  const auto at = net::ParseAddress(address);
  const std::string error = at ? listener_.Listen(*at) : "no address";
  if (!error.empty()) throw std::runtime_error("control: " + address + ": " + error);
}

Control::~Control() = default;

void Control::Come() {
  auto caller = std::make_unique<Caller>(*this);
  if (!caller->stream.Accept(listener_)) return;
  caller->stream.Read();
  callers_.push_back(std::move(caller));
}

void Control::Gone(Caller* caller) {
  const auto it =
      std::find_if(callers_.begin(), callers_.end(), [&](const auto& c) { return c.get() == caller; });
  if (it == callers_.end()) return;
  loop_.DestroyLater(std::move(*it));
  callers_.erase(it);
}

void RecordCommits(Ensemble* ensemble, const std::string& path) {
  auto file = std::make_shared<std::ofstream>(path);
  if (!*file) throw std::runtime_error("coordinator: " + path + " cannot be written");
  const auto write = [file](nlohmann::json line) {
    line["us"] =
        std::chrono::duration_cast<std::chrono::microseconds>(net::Clock::now().time_since_epoch()).count();
    *file << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n" << std::flush;
  };
  ensemble->on_commit = [write](const Ensemble::Commit& commit) {
    static constexpr const char* kKinds[] = {"", "created", "deleted", "set"};
    write({{"zxid", commit.zxid},
           {"what", kKinds[static_cast<int>(commit.kind)]},
           {"path", commit.path},
           {"data", commit.data},
           {"session", commit.session}});
  };
  ensemble->on_refused = [write](const std::string& checked, std::int64_t session) {
    write({{"what", "refused"}, {"path", checked}, {"session", session}});
  };
}

}  // namespace umberdyke::lab
