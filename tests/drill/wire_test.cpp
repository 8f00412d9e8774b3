// Tests of the bench protocol: parsing of events, formatting of actions and errors for malformed input.
#include "drill/wire.h"

#include <gtest/gtest.h>

#include <sstream>
#include <string>

#include "drill/host.h"

namespace umberdyke::benchlink {
namespace {

constexpr char kConfigure[] =
    "CONFIGURE i=3 nonce64=42 accounts= az=0 balancers=3 ceilings.cancel=true ceilings.most_tries=6 "
    "ceilings.parallel_tries=true discovery=ask period_us=5000 report.columns=inflight,util "
    "request_classes.count=1 request_classes.0.group=all request_classes.0.hard_limit_us=6000000 "
    "request_classes.0.points=3.0 request_classes.0.semantics=pure request_classes.0.target_us=2500000 "
    "rules.cold_us=24000000 rules.start_capacity=0.15 unknown.key=whatever tier=0\n";

struct Result {
  int status;
  std::string out;
  std::string errors;
};

// Runs a host on the whole input.
Result RunHost(const std::string& input) {
  std::istringstream in(input);
  std::ostringstream out, errors;
  Host host;
  const int status = host.Run(in, out, errors);
  return {status, out.str(), errors.str()};
}

// A first batch of six lines: instance 3 with one upstream, upstream_a.
std::string StartInput() {
  return std::string("FRAME time_us=1000\n") + kConfigure +
         "MANIFEST slot=0 elements=1\n"
         "M machine=0 mode=Running capacity_hint=1 upstream=upstream_a cell=0 rack_zone=0\n"
         "UPDATE i=3 slot=0 mode=cached gen=41\nEOB\n";
}

TEST(WireTest, EmptyBatchGetsAnEmptyReply) {
  const Result result = RunHost("FRAME time_us=8\nEOB\n");
  EXPECT_EQ(result.status, 0);
  EXPECT_EQ(result.out, "READY\n");
}

TEST(WireTest, RequestIsSentAndItsAnswerIsAccepted) {
  const Result result =
      RunHost(StartInput() +
              "FRAME time_us=2000\nJOB_IN i=3 rid=913244755235268 qos=0 ttl_us=2400000 new_field=1\n"
              "EOB\nFRAME time_us=9000\nENDED i=3 rid=913244755235268 leg=0 upstream=upstream_a "
              "verdict=10 rtt_us=5000 settled=1 health_info=7,0.62\nSOMETHING_NEW x=1\nEOB\n");
  EXPECT_EQ(result.status, 0) << result.errors;
  EXPECT_NE(result.out.find("STREAM_CHANGES i=3 want=1\n"), std::string::npos);
  EXPECT_NE(result.out.find("ISSUE i=3 rid=913244755235268 upstream=upstream_a"), std::string::npos)
      << result.out;
}

TEST(WireTest, ListSlotsCanBeReusedWithinOneBatch) {
  const Result result =
      RunHost(std::string("FRAME time_us=1000\n") + kConfigure +
              "MANIFEST slot=0 elements=1\nM mode=Running upstream=one\nUPDATE i=3 slot=0 mode=cached gen=1\n"
              "MANIFEST slot=0 elements=1\nM mode=Running upstream=two\nUPDATE i=3 slot=0 mode=full gen=2\n"
              "JOB_IN i=3 rid=5 qos=0 ttl_us=2400000\nEOB\n");
  EXPECT_EQ(result.status, 0);
  EXPECT_NE(result.out.find("ISSUE i=3 rid=5 upstream=two"), std::string::npos) << result.out;
}

TEST(WireTest, HaltRemovesTheInstance) {
  const Result result =
      RunHost(StartInput() + "FRAME time_us=2000\nHALT i=3\nJOB_IN i=3 rid=5 qos=0 ttl_us=2400000\nEOB\n");
  EXPECT_EQ(result.status, 0);
  EXPECT_EQ(result.out.find("ISSUE"), std::string::npos);
}

TEST(WireTest, EventsWithoutActionsAreParsed) {
  const Result result = RunHost(StartInput() +
                                "FRAME time_us=2000\nFLOWING i=3 rid=1 leg=0 upstream=upstream_a rtt_us=5\n"
                                "DATAGRAM i=3 sender=1 content=6869\nDATAGRAM i=3 sender=1 content=-\n"
                                "CHECK_RESULT i=3 upstream=upstream_a verdict=10 rtt_us=5 health_info=1,0.5\n"
                                "CLIENT_GONE i=3 rid=99\nUPDATE i=3 mode=failed\nEOB\n");
  EXPECT_EQ(result.status, 0) << result.errors;
}

struct MalformedInput {
  const char* line;
  const char* event;
  const char* field;
};

class MalformedInputTest : public testing::TestWithParam<MalformedInput> {};

TEST_P(MalformedInputTest, ErrorNamesLineEventAndFieldAndExitStatusIsTwo) {
  const MalformedInput& malformed = GetParam();
  const Result result = RunHost(StartInput() + "FRAME time_us=2000\n" + malformed.line + "\nEOB\n");
  EXPECT_EQ(result.status, 2);
  EXPECT_NE(result.errors.find("line 8: "), std::string::npos) << result.errors;
  EXPECT_NE(result.errors.find(malformed.event), std::string::npos) << result.errors;
  EXPECT_NE(result.errors.find(malformed.field), std::string::npos) << result.errors;
}

INSTANTIATE_TEST_SUITE_P(
    All, MalformedInputTest,
    testing::Values(MalformedInput{"JOB_IN i=3 qos=0 ttl_us=5", "JOB_IN", "rid"},
                    MalformedInput{"JOB_IN i=3 rid=x qos=0 ttl_us=5", "JOB_IN", "rid"},
                    MalformedInput{"JOB_IN i=3 rid=1 qos=7 ttl_us=5", "JOB_IN", "qos"},
                    MalformedInput{"JOB_IN rid=1 qos=0 ttl_us=5", "JOB_IN", "i"},
                    MalformedInput{"ENDED i=3 rid=1 leg=0 upstream=u verdict=11 rtt_us=1", "ENDED",
                                   "verdict"},
                    MalformedInput{"ENDED i=3 rid=1 leg=0 verdict=10 rtt_us=1", "ENDED", "upstream"},
                    MalformedInput{"ENDED i=3 rid=1 leg=0 upstream=u verdict=10 rtt_us=1 settled=yes",
                                   "ENDED", "settled"},
                    MalformedInput{"ENDED i=3 rid=1 leg=0 upstream=u verdict=10 rtt_us=1 health_info=a,1",
                                   "ENDED", "health_info"},
                    MalformedInput{"UPDATE i=3 slot=0 mode=odd gen=1", "UPDATE", "mode"},
                    MalformedInput{"UPDATE i=3 slot=16 mode=full gen=1", "UPDATE", "slot"},
                    MalformedInput{"ELAPSED i=3", "ELAPSED", "name"},
                    MalformedInput{"MANIFEST slot=99 elements=1", "MANIFEST", "slot"},
                    MalformedInput{"DATAGRAM i=3 sender=1 content=zz", "DATAGRAM", "content"}));

TEST(WireTest, InputEndingInsideABatchIsAnError) {
  const Result result = RunHost("FRAME time_us=8\n");
  EXPECT_EQ(result.status, 2);
  EXPECT_NE(result.errors.find("inside a batch"), std::string::npos);
}

TEST(WireTest, InvalidSettingBailsOutWithItsName) {
  const Result result =
      RunHost("FRAME time_us=8\nCONFIGURE i=1 nonce64=1 request_classes.count=1 period_us=-5\nEOB\n");
  EXPECT_NE(result.out.find("BAIL_OUT i=1 what=invalid value for tick"), std::string::npos) << result.out;
}

TEST(WireTest, OptionalSettingsAreParsedAndDefaultToNoRule) {
  const Fields configured(
      "CONFIGURE i=1 nonce64=1 result_mix.punctual=0.2 result_mix.tail_slack=0.03 rules.let_go_in_us=300000 "
      "rules.soft_removal=true");
  const Settings s = ParseConfiguration(configured).settings;
  EXPECT_DOUBLE_EQ(s.tail_weight, 0.2);
  EXPECT_DOUBLE_EQ(s.tail_slack, 0.03);
  EXPECT_EQ(s.close_idle_within, 300'000);
  EXPECT_TRUE(s.only_draining_binds);
  const Settings defaults = ParseConfiguration(Fields("CONFIGURE i=1 nonce64=1")).settings;
  EXPECT_EQ(defaults.tail_weight, 0);
  EXPECT_EQ(defaults.close_idle_within, 0);
  EXPECT_FALSE(defaults.only_draining_binds);
}

TEST(WireTest, EveryActionIsWritten) {
  UpstreamNames names;
  const UpstreamId u = names.Intern("word");
  std::string out;
  for (const Action& action :
       Actions{Send{7, u, 0}, Send{7, u, 9}, Cancel{7, 1}, Refuse{7, 0}, Refuse{7, 5}, Fail{7},
               SetTimer{3, 4}, Subscribe{}, Subscribe{false}, FetchList{}, Check{u}, CloseIdle{u},
               TellPeers{-1, {0x68, 0x0f}}, TellPeers{2, {}}, Log{"a\nb"}}) {
    WriteAction(1, action, names, &out);
  }
  EXPECT_EQ(
      out,
      "ISSUE i=1 rid=7 upstream=word\nISSUE i=1 rid=7 upstream=word limit_us=9\nWITHDRAW i=1 rid=7 leg=1\n"
      "DECLINE i=1 rid=7\nDECLINE i=1 rid=7 come_back_us=5\nEND_FAILED i=1 rid=7\n"
      "SCHEDULE i=1 offset_us=3 name=4\nSTREAM_CHANGES i=1 want=1\nSTREAM_CHANGES i=1 want=0\nPULL i=1\n"
      "PING i=1 upstream=word\nLET_GO i=1 upstream=word\nSHARE i=1 neighbour_id=-1 content=680f\n"
      "SHARE i=1 neighbour_id=2 content=-\nLOG i=1 what=a b\n");
}

}  // namespace
}  // namespace umberdyke::benchlink
