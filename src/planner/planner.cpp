#include "planner/planner.h"

#include <ClpSimplex.hpp>
#include <CoinPackedMatrix.hpp>
#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace umberdyke::planner {
namespace {

// A rank's requests of one zone in so many pieces, each worth a little less: they go evenly over the zones.
constexpr int kPieces = 10;
// Of one request served. A higher rank's last piece is still worth more than a lower one's first and the
// dearest ways together: kRank > kEven + kWays. And evenness goes before short ways: kEven / kPieces > kWays.
constexpr double kRank = 1, kEven = 0.5, kWays = 0.04;
constexpr double kNone = 1e-9;

}  // namespace

bool Loss::Takes(std::size_t zone) const {
  return std::find(zones.begin(), zones.end(), zone) != zones.end();
}

std::string Name(const Network& network, const Loss& loss) {
  if (loss.way) return "way " + network.zones[loss.way->first] + " - " + network.zones[loss.way->second];
  std::string name;
  for (const std::size_t zone : loss.zones) name += (name.empty() ? "" : " + ") + network.zones[zone];
  return name.empty() ? "nothing" : name;
}

// Columns: a piece of a part's requests in a zone that is served; what clients of one zone send to the first
// tier of another; what an edge's calls of one zone send to another. Rows: what is served of a zone's clients
// is sent somewhere; a zone's tier does not more than it can; the calls that a zone's servers make are sent
// somewhere.
struct Planner::Program {
  struct Piece {
    std::size_t part, zone;
    int column;
    double most;
  };
  ClpSimplex simplex;
  std::vector<Piece> pieces;
  std::vector<std::vector<int>> flow;                // [from][to] column, -1: no way
  std::vector<std::vector<std::vector<int>>> calls;  // [edge][from][to]
  std::vector<std::vector<int>> room;                // [tier][zone] row
  std::vector<double> upper;                         // of the columns, with nothing lost

  explicit Program(const Network& network) {
    const std::size_t n = network.zones.size();
    int rows = 0;
    std::vector<int> source(n);
    for (std::size_t z = 0; z < n; ++z) source[z] = rows++;
    room.assign(network.tiers.size(), std::vector<int>(n));
    for (auto& tier : room) {
      for (int& row : tier) row = rows++;
    }
    std::vector<std::vector<int>> out(network.edges.size(), std::vector<int>(n));
    for (auto& edge : out) {
      for (int& row : edge) row = rows++;
    }
    std::vector<int> row_of, column_of;
    std::vector<double> value, cost;
    const auto entry = [&](int row, double v) {
      row_of.push_back(row);
      column_of.push_back(static_cast<int>(cost.size()));
      value.push_back(v);
    };
    const auto close = [&](double price, double most) {
      cost.push_back(price);
      upper.push_back(most);
      return static_cast<int>(cost.size()) - 1;
    };
    // What a request does in zone z beyond being served there: its load at the tier, and the calls it makes.
    const auto lands = [&](std::size_t tier, std::size_t z) {
      entry(room[tier][z], 1);
      for (std::size_t e = 0; e < network.edges.size(); ++e) {
        if (network.edges[e].from == tier) entry(out[e][z], network.edges[e].share);
      }
    };
    for (std::size_t p = 0; p < network.parts.size(); ++p) {
      const Part& part = network.parts[p];
      for (std::size_t z = 0; z < n; ++z) {
        if (part.rate[z] <= kNone) continue;
        for (int piece = 0; piece < kPieces; ++piece) {
          if (part.stays) {  // with all its calls
            for (std::size_t t = 0; t < network.tiers.size(); ++t) entry(room[t][z], 1);
          } else {
            entry(source[z], 1);
          }
          const double worth =
              kRank * static_cast<double>(part.rank + 1) + kEven * (1 - piece / double(kPieces));
          const double most = part.rate[z] / kPieces;
          pieces.push_back({p, z, close(-worth, most), most});
        }
      }
    }
    double slowest = 0, dearest = 0;
    for (const auto& row : network.ways) {
      for (const auto& way : row) {
        if (way) slowest = std::max(slowest, way->ms);
        if (way) dearest = std::max(dearest, way->cost);
      }
    }
    const double steps = static_cast<double>(1 + network.edges.size());
    const auto price = [&](std::size_t from, std::size_t to) {
      if (from == to) return 0.0;
      const Way& way = *network.ways[from][to];
      const double time = slowest > 0 ? way.ms / slowest : 0, money = dearest > 0 ? way.cost / dearest : 0;
      return kWays * (0.2 + 0.4 * time + 0.4 * money) / steps;  // staying is best in any case
    };
    const auto every = [&](auto make) {
      std::vector<std::vector<int>> columns(n, std::vector<int>(n, -1));
      for (std::size_t a = 0; a < n; ++a) {
        for (std::size_t b = 0; b < n; ++b) {
          if (a == b || network.ways[a][b]) columns[a][b] = make(a, b);
        }
      }
      return columns;
    };
    flow = every([&](std::size_t a, std::size_t b) {
      entry(source[a], -1);
      lands(0, b);
      return close(price(a, b), COIN_DBL_MAX);
    });
    for (std::size_t e = 0; e < network.edges.size(); ++e) {
      calls.push_back(every([&](std::size_t a, std::size_t b) {
        entry(out[e][a], -1);
        lands(network.edges[e].to, b);
        return close(price(a, b), COIN_DBL_MAX);
      }));
    }
    std::vector<double> row_low(static_cast<std::size_t>(rows), 0.0),
        row_high(static_cast<std::size_t>(rows), 0.0);
    for (std::size_t t = 0; t < network.tiers.size(); ++t) {
      for (std::size_t z = 0; z < n; ++z) {
        row_low[static_cast<std::size_t>(room[t][z])] = -COIN_DBL_MAX;
        row_high[static_cast<std::size_t>(room[t][z])] = network.Usable(t, z);
      }
    }
    const CoinPackedMatrix matrix(true, row_of.data(), column_of.data(), value.data(),
                                  static_cast<CoinBigIndex>(value.size()));
    const std::vector<double> low(cost.size(), 0.0);
    simplex.setLogLevel(0);
    simplex.loadProblem(matrix, low.data(), upper.data(), cost.data(), row_low.data(), row_high.data());
  }

  double Value(int column) const {
    return column < 0 ? 0 : std::max(0.0, simplex.primalColumnSolution()[column]);
  }
};

Planner::Planner(Network network) : network_(std::move(network)) {
  program_ = std::make_unique<Program>(network_);
}
Planner::~Planner() = default;

Answer Planner::Solve(const Loss& loss) {
  Program& p = *program_;
  const std::size_t n = network_.zones.size();
  // From the last answer on: a loss changes a few bounds, and the dual simplex method mends it in a few
  // steps.
  for (std::size_t t = 0; t < network_.tiers.size(); ++t) {
    for (std::size_t z = 0; z < n; ++z)
      p.simplex.setRowUpper(p.room[t][z], loss.Takes(z) ? 0 : network_.Usable(t, z));
  }
  for (const Program::Piece& piece : p.pieces) {
    const bool gone = loss.Takes(piece.zone) && (network_.parts[piece.part].stays || !network_.clients_move);
    p.simplex.setColumnUpper(piece.column, gone ? 0 : piece.most);
  }
  const auto cut = [&](const std::vector<std::vector<int>>& columns) {
    for (std::size_t a = 0; a < n; ++a) {
      for (std::size_t b = 0; b < n; ++b) {
        if (columns[a][b] < 0 || a == b) continue;
        const bool gone = loss.way && std::minmax(a, b) == std::minmax(loss.way->first, loss.way->second);
        p.simplex.setColumnUpper(columns[a][b], gone ? 0 : COIN_DBL_MAX);
      }
    }
  };
  cut(p.flow);
  for (const auto& edge : p.calls) cut(edge);
  p.simplex.dual();
  if (p.simplex.status() != 0) throw std::runtime_error("the solver gave up on " + Name(network_, loss));
  Answer answer;
  answer.loss = loss;
  const auto read = [&](const std::vector<std::vector<int>>& columns) {
    std::vector<std::vector<double>> values(n, std::vector<double>(n));
    for (std::size_t a = 0; a < n; ++a) {
      for (std::size_t b = 0; b < n; ++b) values[a][b] = p.Value(columns[a][b]);
    }
    return values;
  };
  answer.flow = read(p.flow);
  for (const auto& edge : p.calls) answer.calls.push_back(read(edge));
  answer.served.assign(network_.parts.size(), std::vector<double>(n));
  answer.load.assign(network_.tiers.size(), std::vector<double>(n));
  for (const Program::Piece& piece : p.pieces) {
    const double value = p.Value(piece.column);
    answer.served[piece.part][piece.zone] += value;
    if (!network_.parts[piece.part].stays) continue;
    answer.flow[piece.zone][piece.zone] += value;
    for (std::size_t e = 0; e < answer.calls.size(); ++e)
      answer.calls[e][piece.zone][piece.zone] += value * network_.edges[e].share;
  }
  for (std::size_t t = 0; t < network_.tiers.size(); ++t) {
    for (std::size_t z = 0; z < n; ++z) answer.load[t][z] = p.simplex.primalRowSolution()[p.room[t][z]];
  }
  for (std::size_t part = 0; part < network_.parts.size(); ++part) {
    for (std::size_t z = 0; z < n; ++z) {
      const Part& of = network_.parts[part];
      if (loss.Takes(z) && !network_.clients_move) continue;  // they ask nobody
      answer.asked += of.rate[z];
      answer.done += answer.served[part][z];
      answer.worth_asked += of.rate[z] * of.worth;
      answer.worth_done += answer.served[part][z] * of.worth;
      if (of.inside) answer.refused_inside += of.rate[z] - answer.served[part][z];
    }
  }
  return answer;
}

std::vector<Loss> Losses(const Network& network, bool pairs, bool ways) {
  std::vector<Loss> losses;
  const std::size_t n = network.zones.size();
  for (std::size_t a = 0; a < n; ++a) losses.push_back({{a}, {}});
  for (std::size_t a = 0; a < n; ++a) {
    for (std::size_t b = a + 1; b < n; ++b) {
      if (pairs) losses.push_back({{a, b}, {}});
    }
  }
  for (std::size_t a = 0; a < n; ++a) {
    for (std::size_t b = a + 1; b < n; ++b) {
      if (ways && network.ways[a][b]) losses.push_back({{}, std::pair(a, b)});
    }
  }
  return losses;
}

}  // namespace umberdyke::planner
