#include "lab/coordinator/tree.h"

#include <algorithm>
#include <cstdio>

namespace umberdyke::lab {

Tree::Tree() { nodes_["/"]; }

bool Tree::ValidPath(std::string_view path) {
  if (path == "/") return true;
  if (path.empty() || path[0] != '/' || path.back() == '/') return false;
  return path.find("//") == std::string_view::npos && path.find('\0') == std::string_view::npos &&
         path.find("/./") == std::string_view::npos && path.find("/../") == std::string_view::npos &&
         !path.ends_with("/.") && !path.ends_with("/..");
}

std::string Tree::ParentOf(const std::string& path) {
  const size_t slash = path.rfind('/');
  return slash == 0 ? "/" : path.substr(0, slash);
}

bool Tree::May(const Node& node, std::int32_t permission, const Identities& who) {
  return std::any_of(node.acl.begin(), node.acl.end(), [&](const Acl& acl) {
    if ((acl.permissions & permission) == 0) return false;
    return (acl.scheme == "world" && acl.id == "anyone") || who.contains(acl.scheme + ":" + acl.id);
  });
}

Stat Tree::StatOf(const Node& node) const {
  Stat stat = node.stat;
  stat.length = static_cast<std::int32_t>(node.data.size());
  stat.children = static_cast<std::int32_t>(node.children.size());
  return stat;
}

Code Tree::Create(const std::string& path, std::string data, std::vector<Acl> acl, std::int32_t flags,
                  std::int64_t session, std::int64_t now_ms, const Identities& who, std::string* created,
                  std::vector<TreeChange>* changes) {
  const bool ephemeral = (flags & 1) != 0, sequential = (flags & 2) != 0;
  if (path == "/") return Code::kNodeExists;
  if (flags < 0 || flags > 3 || !ValidPath(sequential ? path + "0" : path)) return Code::kBadArguments;
  const auto parent = nodes_.find(ParentOf(sequential ? path + "0" : path));
  if (parent == nodes_.end()) return Code::kNoNode;
  if (!May(parent->second, kMayCreate, who)) return Code::kNoAuth;
  if (parent->second.stat.owner != 0) return Code::kNoChildrenForEphemerals;
  std::string whole = path;
  if (sequential) {
    char number[16];
    std::snprintf(number, sizeof number, "%010d", parent->second.stat.cversion);
    whole += number;
  }
  if (nodes_.contains(whole)) return Code::kNodeExists;
  ++zxid_;
  Node node;
  node.data = std::move(data);
  if (!acl.empty()) node.acl = std::move(acl);
  node.stat.czxid = node.stat.mzxid = node.stat.pzxid = zxid_;
  node.stat.ctime = node.stat.mtime = now_ms;
  if (ephemeral) {
    node.stat.owner = session;
    owned_[session].insert(whole);
  }
  nodes_.emplace(whole, std::move(node));
  parent->second.children.insert(whole.substr(whole.rfind('/') + 1));
  ++parent->second.stat.cversion;
  parent->second.stat.pzxid = zxid_;
  changes->push_back({ChangeKind::kCreated, whole});
  changes->push_back({ChangeKind::kChildren, parent->first});
  *created = std::move(whole);
  return Code::kOk;
}

void Tree::Remove(const std::string& path, std::vector<TreeChange>* changes) {
  const auto it = nodes_.find(path);
  const std::string parent_path = ParentOf(path);
  Node& parent = nodes_[parent_path];
  parent.children.erase(path.substr(path.rfind('/') + 1));
  ++parent.stat.cversion;
  parent.stat.pzxid = zxid_;
  if (const auto owner = owned_.find(it->second.stat.owner); owner != owned_.end()) {
    owner->second.erase(path);
    if (owner->second.empty()) owned_.erase(owner);
  }
  nodes_.erase(it);
  changes->push_back({ChangeKind::kDeleted, path});
  changes->push_back({ChangeKind::kChildren, parent_path});
}

Code Tree::Delete(const std::string& path, std::int32_t version, const Identities& who,
                  std::vector<TreeChange>* changes) {
  const auto it = nodes_.find(path);
  if (path == "/" || !ValidPath(path)) return Code::kBadArguments;
  if (it == nodes_.end()) return Code::kNoNode;
  if (!May(nodes_[ParentOf(path)], kMayDelete, who)) return Code::kNoAuth;
  if (version != -1 && version != it->second.stat.version) return Code::kBadVersion;
  if (!it->second.children.empty()) return Code::kNotEmpty;
  ++zxid_;
  Remove(path, changes);
  return Code::kOk;
}

Code Tree::Set(const std::string& path, std::string data, std::int32_t version, std::int64_t now_ms,
               const Identities& who, Stat* stat, std::vector<TreeChange>* changes) {
  const auto it = nodes_.find(path);
  if (it == nodes_.end()) return Code::kNoNode;
  if (!May(it->second, kMayWrite, who)) return Code::kNoAuth;
  if (version != -1 && version != it->second.stat.version) return Code::kBadVersion;
  ++zxid_;
  it->second.data = std::move(data);
  ++it->second.stat.version;
  it->second.stat.mzxid = zxid_;
  it->second.stat.mtime = now_ms;
  *stat = StatOf(it->second);
  changes->push_back({ChangeKind::kData, path});
  return Code::kOk;
}

Code Tree::Check(const std::string& path, std::int32_t version) const {
  const auto it = nodes_.find(path);
  if (it == nodes_.end()) return Code::kNoNode;
  return version == -1 || version == it->second.stat.version ? Code::kOk : Code::kBadVersion;
}

Code Tree::Exists(const std::string& path, Stat* stat) const {
  const auto it = nodes_.find(path);
  if (it == nodes_.end()) return Code::kNoNode;
  *stat = StatOf(it->second);
  return Code::kOk;
}

Code Tree::Get(const std::string& path, const Identities& who, std::string* data, Stat* stat) const {
  const auto it = nodes_.find(path);
  if (it == nodes_.end()) return Code::kNoNode;
  if (!May(it->second, kMayRead, who)) return Code::kNoAuth;
  *data = it->second.data;
  *stat = StatOf(it->second);
  return Code::kOk;
}

Code Tree::Children(const std::string& path, const Identities& who, std::vector<std::string>* names,
                    Stat* stat) const {
  const auto it = nodes_.find(path);
  if (it == nodes_.end()) return Code::kNoNode;
  if (!May(it->second, kMayRead, who)) return Code::kNoAuth;
  names->assign(it->second.children.begin(), it->second.children.end());
  *stat = StatOf(it->second);
  return Code::kOk;
}

Code Tree::AclOf(const std::string& path, std::vector<Acl>* acl, Stat* stat) const {
  const auto it = nodes_.find(path);
  if (it == nodes_.end()) return Code::kNoNode;
  *acl = it->second.acl;
  *stat = StatOf(it->second);
  return Code::kOk;
}

Code Tree::SetAcl(const std::string& path, std::vector<Acl> acl, Stat* stat) {
  const auto it = nodes_.find(path);
  if (it == nodes_.end()) return Code::kNoNode;
  ++zxid_;
  it->second.acl = std::move(acl);
  ++it->second.stat.aversion;
  *stat = StatOf(it->second);
  return Code::kOk;
}

void Tree::EndSession(std::int64_t session, std::vector<TreeChange>* changes) {
  const std::vector<std::string> paths = OwnedBy(session);
  ++zxid_;
  for (const std::string& path : paths) Remove(path, changes);
}

std::vector<std::string> Tree::OwnedBy(std::int64_t session) const {
  const auto it = owned_.find(session);
  return it == owned_.end() ? std::vector<std::string>()
                            : std::vector<std::string>(it->second.begin(), it->second.end());
}

}  // namespace umberdyke::lab
