// The coordination service's data: nodes, versions, owners and transaction numbers. Pure: no sockets, no
// clock.
#ifndef UMBERDYKE_LAB_COORDINATOR_TREE_H_
#define UMBERDYKE_LAB_COORDINATOR_TREE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace umberdyke::lab {

// The protocol's error numbers.
enum class Code : std::int32_t {
  kOk = 0,
  kInconsistent = -2,
  kMarshalling = -5,
  kUnimplemented = -6,
  kBadArguments = -8,
  kNoNode = -101,
  kNoAuth = -102,
  kBadVersion = -103,
  kNoChildrenForEphemerals = -108,
  kNodeExists = -110,
  kNotEmpty = -111,
  kSessionExpired = -112,
  kAuthFailed = -115,
  kNotReadOnly = -119,
};

struct Stat {
  std::int64_t czxid = 0, mzxid = 0, ctime = 0, mtime = 0;
  std::int32_t version = 0, cversion = 0, aversion = 0;
  std::int64_t owner = 0;  // session of an ephemeral node
  std::int32_t length = 0, children = 0;
  std::int64_t pzxid = 0;
};

struct Acl {
  std::int32_t permissions = 31;  // read 1, write 2, create 4, delete 8, admin 16
  std::string scheme = "world", id = "anyone";
};
constexpr std::int32_t kMayRead = 1, kMayWrite = 2, kMayCreate = 4, kMayDelete = 8;

// Who asks: the identities it has proved, as "digest:user:hash".
using Identities = std::set<std::string>;

enum class ChangeKind : std::int32_t { kCreated = 1, kDeleted = 2, kData = 3, kChildren = 4 };
struct TreeChange {
  ChangeKind kind;
  std::string path;
};

class Tree {
 public:
  Tree();

  // Flags of create: 1 ephemeral, 2 sequential. `created` gets the path with its number.
  Code Create(const std::string& path, std::string data, std::vector<Acl> acl, std::int32_t flags,
              std::int64_t session, std::int64_t now_ms, const Identities& who, std::string* created,
              std::vector<TreeChange>* changes);
  Code Delete(const std::string& path, std::int32_t version, const Identities& who,
              std::vector<TreeChange>* changes);
  Code Set(const std::string& path, std::string data, std::int32_t version, std::int64_t now_ms,
           const Identities& who, Stat* stat, std::vector<TreeChange>* changes);
  Code Check(const std::string& path, std::int32_t version) const;
  Code Exists(const std::string& path, Stat* stat) const;
  Code Get(const std::string& path, const Identities& who, std::string* data, Stat* stat) const;
  Code Children(const std::string& path, const Identities& who, std::vector<std::string>* names,
                Stat* stat) const;
  Code AclOf(const std::string& path, std::vector<Acl>* acl, Stat* stat) const;
  Code SetAcl(const std::string& path, std::vector<Acl> acl, Stat* stat);
  // All ephemeral nodes of a session that has ended go in one transaction.
  void EndSession(std::int64_t session, std::vector<TreeChange>* changes);

  std::int64_t zxid() const { return zxid_; }
  // Transactions go on from there: a new leader's begin with its epoch in the upper half. Never backwards.
  void ContinueAt(std::int64_t zxid) { zxid_ = std::max(zxid_, zxid); }
  size_t size() const { return nodes_.size(); }
  // The nodes that a session owns, for tests and faults.
  std::vector<std::string> OwnedBy(std::int64_t session) const;

  static bool ValidPath(std::string_view path);

 private:
  struct Node {
    std::string data;
    std::vector<Acl> acl{Acl{}};
    Stat stat;
    std::set<std::string> children;
  };
  static std::string ParentOf(const std::string& path);
  static bool May(const Node& node, std::int32_t permission, const Identities& who);
  Stat StatOf(const Node& node) const;
  void Remove(const std::string& path, std::vector<TreeChange>* changes);

  std::map<std::string, Node> nodes_;
  std::map<std::int64_t, std::set<std::string>> owned_;
  std::int64_t zxid_ = 0;
};

}  // namespace umberdyke::lab

#endif  // UMBERDYKE_LAB_COORDINATOR_TREE_H_
