// One session with the coordination service that is waited for, call by call: for the operators' tool, which
// reads and asks once and ends.
#ifndef UMBERDYKE_FLEET_CALLER_H_
#define UMBERDYKE_FLEET_CALLER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fleet/view.h"
#include "loop/loop.h"
#include "zookeeper/node_client.h"

namespace umberdyke::fleet {

// All that it does together takes the service's patience at most; each call throws Unreadable where that is
// over, or the service refuses.
class Caller {
 public:
  explicit Caller(const Service& service);

  // Throws Unreadable where no agent has been at work, or another application's.
  void CheckRoot();
  // An absent node is an empty text with `there` false.
  std::string Get(const std::string& path, bool* there = nullptr, nodes::NodeStat* stat = nullptr);
  std::vector<std::string> Children(const std::string& path);  // in order; none where there is no such node
  int Do(const std::vector<nodes::Op>& ops);                   // a code of nodes::Rc
  // The path of the node that was made; throws where it was not, or that is not known.
  std::string CreateSequential(const std::string& prefix, const std::string& data);
  void Rest(net::Span time);

 private:
  Unreadable Late() const;
  void Wait(const std::function<bool()>& done);

  const Service& service_;
  const net::Time end_;
  net::Loop loop_;
  std::unique_ptr<nodes::NodeClient> client_;
  bool refused_ = false;
};

}  // namespace umberdyke::fleet

#endif  // UMBERDYKE_FLEET_CALLER_H_
