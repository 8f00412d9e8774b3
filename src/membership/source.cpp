#include "membership/source.h"

#include "membership/discovery_source.h"
#include "membership/file_source.h"
#include "membership/nodes_source.h"

namespace umberdyke::net {

std::unique_ptr<MemberSource> MakeSource(Loop& loop, const Platform& platform, const Config& config,
                                         const ServerListChange& known, Counters& counters, log::Log& log,
                                         MemberSource::Callbacks callbacks) {
  if (!config.membership) {
    return std::make_unique<DiscoverySource>(loop, platform, config, known.version, counters, log,
                                             std::move(callbacks));
  }
  if (config.membership->kind == Membership::Kind::kFile) {
    return std::make_unique<FileSource>(loop, platform, config.membership->path, counters, log,
                                        std::move(callbacks));
  }
  return std::make_unique<NodesSource>(loop, platform, *config.membership, Platform::FormatMember(config),
                                       known, counters, log, std::move(callbacks));
}

}  // namespace umberdyke::net
