// Checks each setting for a valid range.
#include "decide/settings.h"

#include <cmath>
#include <stdexcept>
#include <string>

namespace umberdyke {

void Require(bool ok, const char* setting) {
  if (!ok) throw std::invalid_argument(std::string("invalid value for ") + setting);
}

void Validate(const Settings& s) {
  Require(!s.classes.empty(), "classes");
  for (const RequestClass& c : s.classes) {
    Require(c.window >= 0, "window");
    Require(c.aim >= 0, "aim");
    Require(c.deadline >= 0, "deadline");
    Require(std::isfinite(c.points) && c.points >= 0, "points");
    Require(std::isfinite(c.aim_stretch) && c.aim_stretch >= 0, "aim_stretch");
    Require(std::isfinite(c.late_share) && c.late_share >= 0, "late_share");
  }
  for (const Tenant& t : s.tenants) {
    Require(std::isfinite(t.allowance_per_s) && t.allowance_per_s >= 0, "allowance_per_s");
  }
  Require(s.balancers >= 1, "balancers");
  Require(s.tier >= 0, "tier");
  Require(s.max_attempts >= 1, "max_attempts");
  Require(s.tick > 0, "tick");
  Require(s.ask_every > 0, "ask_every");
  Require(s.max_retry_after >= 0, "max_retry_after");
  Require(s.connection_idle >= 0, "connection_idle");
  Require(std::isfinite(s.over_share_worth) && s.over_share_worth >= 0, "over_share_worth");
  Require(std::isfinite(s.start_capacity) && s.start_capacity >= 0 && s.start_capacity <= 1,
          "start_capacity");
  Require(s.cold_time >= 0, "cold_time");
  Require(s.fall_time >= 0, "fall_time");
  Require(s.close_idle_within >= 0, "close_idle_within");
  Require(std::isfinite(s.check_price) && s.check_price >= 0, "check_price");
  Require(std::isfinite(s.tail_weight) && s.tail_weight >= 0, "tail_weight");
  Require(std::isfinite(s.tail_slack) && s.tail_slack >= 0, "tail_slack");
  Require(std::isfinite(s.fall_multiple) && s.fall_multiple >= 0, "fall_multiple");
}

}  // namespace umberdyke
