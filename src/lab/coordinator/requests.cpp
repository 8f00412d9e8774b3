// What the stand-in ensemble does for each request of a session.
#include "jute/requests.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include <algorithm>
#include <utility>

#include "lab/coordinator/connection.h"

namespace umberdyke::lab {

using namespace std::chrono_literals;

namespace {

void Put(jute::Writer* out, const Stat& stat) {
  out->Long(stat.czxid).Long(stat.mzxid).Long(stat.ctime).Long(stat.mtime);
  out->Int(stat.version).Int(stat.cversion).Int(stat.aversion).Long(stat.owner);
  out->Int(stat.length).Int(stat.children).Long(stat.pzxid);
}

std::int64_t WallMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// "user:password" as lists of rights name it: "user:" and the base64 of its SHA-1.
std::string DigestIdentity(const std::string& secret) {
  unsigned char hash[20];
  if (gnutls_hash_fast(GNUTLS_DIG_SHA1, secret.data(), secret.size(), hash) != 0) return "";
  const gnutls_datum_t raw{hash, sizeof hash};
  gnutls_datum_t text{};
  if (gnutls_base64_encode2(&raw, &text) != 0) return "";
  std::string result = secret.substr(0, secret.find(':')) + ":" +
                       std::string(reinterpret_cast<const char*>(text.data), text.size);
  gnutls_free(text.data);
  return result;
}

// The list of rights of a request; the scheme "auth" stands for whoever asks.
std::vector<Acl> ReadAcl(jute::Reader& in, const Identities& who, bool* valid) {
  std::vector<Acl> list;
  const std::int32_t count = in.Int();
  *valid = count > 0;
  for (std::int32_t i = 0; in.ok() && i < count; ++i) {
    Acl acl;
    acl.permissions = in.Int();
    acl.scheme = in.Text();
    acl.id = in.Text();
    if (acl.scheme != "auth") {
      *valid = *valid && (acl.scheme == "world" || acl.scheme == "digest");
      list.push_back(acl);
      continue;
    }
    if (who.empty()) *valid = false;
    for (const std::string& identity : who) {
      const size_t colon = identity.find(':');
      list.push_back({acl.permissions, identity.substr(0, colon), identity.substr(colon + 1)});
    }
  }
  return list;
}

}  // namespace

Code Ensemble::Serve(Connection& connection, Session& session, std::int32_t type, jute::Reader& in,
                     jute::Writer* out, std::vector<TreeChange>* changes) {
  const Tree& view = ViewOf(connection);
  const Identities& who = session.identities;
  Stat stat;
  switch (type) {
    case jute::kPing:
    case jute::kClose:
      return Code::kOk;
    case jute::kCreate:
    case jute::kCreate2: {
      const std::string path = in.Text();
      std::string data = in.Text(), created;
      bool valid = true;
      std::vector<Acl> acl = ReadAcl(in, who, &valid);
      const std::int32_t flags = in.Int();
      if (!in.ok()) return Code::kMarshalling;
      if (!valid) return static_cast<Code>(-114);  // invalid list of rights
      const Code code = tree_.Create(path, std::move(data), std::move(acl), flags, session.id, WallMillis(),
                                     who, &created, changes);
      out->Text(created);
      if (type == jute::kCreate2 && code == Code::kOk) {
        tree_.Exists(created, &stat);
        Put(out, stat);
      }
      return code;
    }
    case jute::kDelete: {
      const std::string path = in.Text();
      const std::int32_t version = in.Int();
      return in.ok() ? tree_.Delete(path, version, who, changes) : Code::kMarshalling;
    }
    case jute::kSet: {
      const std::string path = in.Text();
      std::string data = in.Text();
      const std::int32_t version = in.Int();
      if (!in.ok()) return Code::kMarshalling;
      const Code code = tree_.Set(path, std::move(data), version, WallMillis(), who, &stat, changes);
      Put(out, stat);
      return code;
    }
    case jute::kCheck: {
      const std::string path = in.Text();
      return tree_.Check(path, in.Int());
    }
    case jute::kExists: {
      const std::string path = in.Text();
      const bool watch = in.Bool();
      const Code code = view.Exists(path, &stat);
      if (watch) (code == Code::kOk ? watches_.data : watches_.exists)[path].insert(&connection);
      Put(out, stat);
      return code;
    }
    case jute::kGet: {
      const std::string path = in.Text();
      const bool watch = in.Bool();
      std::string data;
      const Code code = view.Get(path, who, &data, &stat);
      if (watch && code == Code::kOk) watches_.data[path].insert(&connection);
      if (code == Code::kOk) connection.reads.push_back({path, data, {}});
      out->Text(data);
      Put(out, stat);
      return code;
    }
    case jute::kGetAcl: {
      std::vector<Acl> acl;
      const Code code = view.AclOf(in.Text(), &acl, &stat);
      out->Int(static_cast<std::int32_t>(acl.size()));
      for (const Acl& a : acl) out->Int(a.permissions).Text(a.scheme).Text(a.id);
      Put(out, stat);
      return code;
    }
    case jute::kSetAcl: {
      const std::string path = in.Text();
      bool valid = true;
      std::vector<Acl> acl = ReadAcl(in, who, &valid);
      in.Int();
      if (!valid) return static_cast<Code>(-114);
      const Code code = tree_.SetAcl(path, std::move(acl), &stat);
      Put(out, stat);
      return code;
    }
    case jute::kGetChildren:
    case jute::kGetChildren2: {
      const std::string path = in.Text();
      const bool watch = in.Bool();
      std::vector<std::string> names;
      const Code code = view.Children(path, who, &names, &stat);
      if (watch && code == Code::kOk) watches_.children[path].insert(&connection);
      out->Texts(names);
      if (type == jute::kGetChildren2) Put(out, stat);
      return code;
    }
    case jute::kSync:
      out->Text(in.Text());
      return Code::kOk;
    case jute::kMulti:
      return Multi(session, in, out, changes);
    case jute::kAuth: {
      in.Int();
      const std::string scheme = in.Text(), secret = in.Text();
      if (scheme != "digest" || secret.find(':') == std::string::npos) return Code::kAuthFailed;
      session.identities.insert("digest:" + DigestIdentity(secret));
      return Code::kOk;
    }
    case jute::kSetWatches:
      return SetWatches(connection, session, in);
    default:
      return Code::kUnimplemented;
  }
}

// All or nothing: what is done is done on a copy, which takes the tree's place where every part went well.
Code Ensemble::Multi(Session& session, jute::Reader& in, jute::Writer* out,
                     std::vector<TreeChange>* changes) {
  Tree draft = tree_;
  struct Done {
    std::int32_t type;
    Code code;
    std::string created;
    Stat stat;
  };
  std::vector<Done> all;
  bool failed = false;
  while (in.ok()) {
    const std::int32_t type = in.Int();
    const bool end = in.Bool();
    in.Int();
    if (end || !in.ok()) break;
    Done done{type, Code::kOk, "", {}};
    const std::string path = in.Text();
    if (type == jute::kCreate || type == jute::kCreate2) {
      std::string data = in.Text();
      bool valid = true;
      std::vector<Acl> acl = ReadAcl(in, session.identities, &valid);
      const std::int32_t flags = in.Int();
      done.code = !valid ? static_cast<Code>(-114)
                         : draft.Create(path, std::move(data), std::move(acl), flags, session.id,
                                        WallMillis(), session.identities, &done.created, changes);
    } else if (type == jute::kDelete) {
      done.code = draft.Delete(path, in.Int(), session.identities, changes);
    } else if (type == jute::kSet) {
      std::string data = in.Text();
      const std::int32_t version = in.Int();
      done.code =
          draft.Set(path, std::move(data), version, WallMillis(), session.identities, &done.stat, changes);
    } else if (type == jute::kCheck) {
      done.code = draft.Check(path, in.Int());
      if (!failed && done.code != Code::kOk) {
        ++count_.refused;
        if (on_refused) on_refused(path, session.id);
      }
    } else {
      return Code::kUnimplemented;
    }
    if (failed) done.code = Code::kInconsistent;
    failed = failed || done.code != Code::kOk;
    all.push_back(std::move(done));
  }
  if (!in.ok()) return Code::kMarshalling;
  for (const Done& done : all) {
    if (failed) {
      const Code code = done.code;
      out->Int(-1).Bool(false).Int(static_cast<std::int32_t>(code)).Int(static_cast<std::int32_t>(code));
      continue;
    }
    out->Int(done.type).Bool(false).Int(0);
    if (done.type == jute::kCreate || done.type == jute::kCreate2) out->Text(done.created);
    if (done.type == jute::kSet) Put(out, done.stat);
  }
  out->Int(-1).Bool(true).Int(-1);
  if (failed) {
    changes->clear();
  } else {
    tree_ = std::move(draft);
  }
  return Code::kOk;  // what went wrong stands with each part
}

// After a reconnect: what changed behind the client's back is told now, for the rest watches are set anew.
Code Ensemble::SetWatches(Connection& connection, const Session& /*session*/, jute::Reader& in) {
  const std::int64_t seen = in.Long();
  const std::vector<std::string> data = in.Texts(), exists = in.Texts(), children = in.Texts();
  if (!in.ok()) return Code::kMarshalling;
  const Tree& view = ViewOf(connection);
  Stat stat;
  // A notice may have ended the connection: a watch of it would point at nothing.
  const auto watch = [&](auto& watches, const std::string& path) {
    if (connection.stream.open()) watches[path].insert(&connection);
  };
  for (const std::string& path : data) {
    if (view.Exists(path, &stat) != Code::kOk) {
      Notify(&connection, ChangeKind::kDeleted, path);
    } else if (stat.mzxid > seen) {
      Notify(&connection, ChangeKind::kData, path);
    } else {
      watch(watches_.data, path);
    }
  }
  for (const std::string& path : exists) {
    if (view.Exists(path, &stat) == Code::kOk) {
      Notify(&connection, ChangeKind::kCreated, path);
    } else {
      watch(watches_.exists, path);
    }
  }
  for (const std::string& path : children) {
    if (view.Exists(path, &stat) != Code::kOk) {
      Notify(&connection, ChangeKind::kDeleted, path);
    } else if (stat.pzxid > seen) {
      Notify(&connection, ChangeKind::kChildren, path);
    } else {
      watch(watches_.children, path);
    }
  }
  return Code::kOk;
}

}  // namespace umberdyke::lab
