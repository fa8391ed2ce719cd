#pragma once

#include <QString>
#include <string>
#include <vector>

namespace masticwall::test {

/** A service of a test system. */
struct ServicePlan
{
  std::string name;
  int upstreams = 2; ///< in each region
  int slots = 4;
};

/** What a test system consists of. */
struct SystemPlan
{
  int vms = 2; ///< of masticwall, dealt to the regions in turn
  std::vector<std::string> regions{ "sertao" };
  std::vector<ServicePlan> services{ { "orders", 2, 4 }, { "lookup", 2, 4 } };
  double serviceMs = 2.0;
  int upstreamQueue = 8;
  int coldMs = 0;
  int workers = 2;
  int requestTimeoutMs = 10'000;
  int noticeMs = 300;
  int longestDrainMs = 20'000;
  int logRetentionMs = 3'600'000;
  int orderWindowMs = 600'000;
  int vmListLagMs = 0;
  bool vmListsDiffer = false;    ///< each VM sees itself and the upstreams, no other VM
  bool proxiesUpstreams = false; ///< every upstream is reached through a proxy
  bool proxiesLog = false;
  std::string preset; ///< TOML; empty: a default that fits the services
};

} // namespace masticwall::test
