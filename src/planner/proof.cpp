#include "planner/proof.h"

#include <cmath>
#include <cstdio>

namespace umberdyke::planner {
namespace {

class Proof {
 public:
  Proof(const Network& network, const Answer& answer) : net_(network), a_(answer), n_(network.zones.size()) {
    for (const Part& part : net_.parts) {
      for (const double rate : part.rate) all_ += rate;
    }
    slack_ = 1e-6 * std::max(1.0, all_);
  }

  std::vector<std::string> Run() {
    Amounts();
    for (std::size_t z = 0; z < n_; ++z) Sums(z);
    Links(a_.flow, "requests");
    for (std::size_t e = 0; e < a_.calls.size(); ++e) Links(a_.calls[e], "calls");
    Loads();
    Order();
    return std::move(faults_);
  }

 private:
  void Tell(const std::string& what) { faults_.push_back(Name(net_, a_.loss) + ": " + what); }
  bool Cut(std::size_t from, std::size_t to) const {
    if (from == to) return false;
    if (!net_.ways[from][to]) return true;
    return a_.loss.way && std::minmax(from, to) == std::minmax(a_.loss.way->first, a_.loss.way->second);
  }

  void Amounts() {
    for (std::size_t p = 0; p < net_.parts.size(); ++p) {
      for (std::size_t z = 0; z < n_; ++z) {
        const double served = a_.served[p][z];
        const Part& part = net_.parts[p];
        if (!(served >= -slack_) || served > part.rate[z] + slack_)
          Tell(part.name + " in " + net_.zones[z] + ": served more than is asked, or no amount");
        if (part.stays && a_.loss.Takes(z) && served > slack_)
          Tell(part.name + " of the lost " + net_.zones[z] + " is served, and has to stay there");
      }
    }
  }

  // What is served of a zone's clients is sent somewhere, and so are its servers' calls.
  void Sums(std::size_t z) {
    double served = 0, sent = 0;
    for (std::size_t p = 0; p < net_.parts.size(); ++p) served += a_.served[p][z];
    for (std::size_t to = 0; to < n_; ++to) sent += a_.flow[z][to];
    if (std::abs(served - sent) > slack_) Tell("the requests of " + net_.zones[z] + " do not add up");
    for (std::size_t e = 0; e < net_.edges.size(); ++e) {
      double made = 0, arrive = 0;
      for (std::size_t to = 0; to < n_; ++to) made += a_.calls[e][z][to];
      arrive = Comes(net_.edges[e].from, z) * net_.edges[e].share;
      if (std::abs(made - arrive) > slack_) Tell("the calls of " + net_.zones[z] + " do not add up");
    }
  }

  double Comes(std::size_t tier, std::size_t z) const {
    double load = 0;
    for (std::size_t from = 0; from < n_ && tier == 0; ++from) load += a_.flow[from][z];
    for (std::size_t e = 0; e < net_.edges.size(); ++e) {
      for (std::size_t from = 0; from < n_ && net_.edges[e].to == tier; ++from) load += a_.calls[e][from][z];
    }
    return load;
  }

  void Links(const std::vector<std::vector<double>>& sent, const char* what) {
    for (std::size_t from = 0; from < n_; ++from) {
      for (std::size_t to = 0; to < n_; ++to) {
        if (!(sent[from][to] >= -slack_)) Tell(std::string("an amount of ") + what + " is none");
        if (sent[from][to] <= slack_) continue;
        if (Cut(from, to)) Tell(std::string(what) + " go from " + net_.zones[from] + " to " + net_.zones[to]);
        if (a_.loss.Takes(to)) Tell(std::string(what) + " go to the lost " + net_.zones[to]);
      }
    }
  }

  void Loads() {
    for (std::size_t t = 0; t < net_.tiers.size(); ++t) {
      for (std::size_t z = 0; z < n_; ++z) {
        const double load = Comes(t, z);
        const double most = a_.loss.Takes(z) ? 0 : net_.Usable(t, z);
        if (load <= most + slack_) continue;
        char text[120];
        std::snprintf(text, sizeof text, " is pushed over: %.3f of %.3f a second", load, most);
        Tell("tier " + net_.tiers[t].name + " of " + net_.zones[z] + text);
      }
    }
  }

  // A part that is refused in z could be served in the place of one of a lower rank that comes in y, where z
  // reaches a zone in which requests of y are served. Only of what may move: the rest has its own zone alone.
  void Order() {
    for (std::size_t high = 0; high < net_.parts.size(); ++high) {
      if (net_.parts[high].stays) continue;
      for (std::size_t z = 0; z < n_; ++z) {
        if (a_.loss.Takes(z) && !net_.clients_move) continue;
        if (net_.parts[high].rate[z] - a_.served[high][z] <= 10 * slack_) continue;
        for (std::size_t low = 0; low < net_.parts.size(); ++low) {
          if (net_.parts[low].rank >= net_.parts[high].rank || net_.parts[low].stays) continue;
          if (const std::size_t y = ServedInPlace(low, z); y < n_) {
            Tell(net_.parts[high].name + " of " + net_.zones[z] + " is refused, while " +
                 net_.parts[low].name + " of " + net_.zones[y] + " is served");
            return;
          }
        }
      }
    }
  }

  std::size_t ServedInPlace(std::size_t low, std::size_t z) const {
    for (std::size_t y = 0; y < n_; ++y) {
      if (a_.served[low][y] <= 10 * slack_) continue;
      for (std::size_t to = 0; to < n_; ++to) {
        if (a_.flow[y][to] > 10 * slack_ && !Cut(z, to)) return y;
      }
    }
    return n_;
  }

  const Network& net_;
  const Answer& a_;
  const std::size_t n_;
  double all_ = 0, slack_ = 0;
  std::vector<std::string> faults_;
};

}  // namespace

std::vector<std::string> Faults(const Network& network, const Answer& answer) {
  return Proof(network, answer).Run();
}

std::string Short(const Network& network, const Answer& answer) {
  if (answer.refused_inside <= 1e-6 * std::max(1.0, answer.asked)) return "";
  char text[200];
  std::snprintf(
      text, sizeof text,
      "the others cannot carry it: short by %.1f requests a second, %.1f%% of what is asked within the "
      "shares",
      answer.refused_inside, 100 * answer.refused_inside / answer.asked);
  return Name(network, answer.loss) + ": " + text;
}

}  // namespace umberdyke::planner
