#include <catch2/catch.hpp>
#include <messages/ClaimRecord.h>
#include <messages/ConfigRecordMessage.h>
#include <messages/ConfigStateMessage.h>
#include <messages/Feed.h>
#include <messages/MessageError.h>
#include <messages/OrderReport.h>
#include <messages/VmListMessage.h>

using namespace masticwall;

TEST_CASE("claims and releases are read as they were written")
{
  ClaimRecord record;
  record.claims.push_back(
    { { "vm-1", 77, 3 }, Digest{ { 1, 2 } }, Digest{ { 3 } }, 1234 });
  record.releases.push_back({ "vm-2", 5, 6 });
  const auto read = decodeClaimRecord(encode(record));
  REQUIRE(read.has_value());
  CHECK(read.value().claims == record.claims);
  CHECK(read.value().releases == record.releases);
}

TEST_CASE("the feed carries the preset, the VMs and the suspects")
{
  Feed feed;
  feed.version = 9;
  feed.preset = "peak";
  feed.sections["general"] = "text";
  feed.vms.push_back(
    { "vm-1", VmRole::Upstream, "r", "d", "s", "127.0.0.1", 1, 2, 3, "i", true });
  feed.suspects.push_back({ Digest{ { 4 } }, "vm-1#1", 2 });
  const auto read = decodeFeed(encode(feed));
  REQUIRE(read.has_value());
  CHECK(read.value().version == 9);
  CHECK(read.value().sections == feed.sections);
  CHECK(read.value().vms == feed.vms);
  CHECK(read.value().suspects.at(0).crashCount == 2);
}

TEST_CASE("a large feed is compressed and read as it was written")
{
  Feed feed;
  for (int i = 0; i < 300; ++i) {
    Vm vm;
    vm.name = "i-" + std::to_string(i * 7919);
    vm.region = "region";
    vm.dataCentre = "centre";
    vm.service = "service";
    vm.host = "10.1.0." + std::to_string(i % 250);
    feed.vms.push_back(vm);
  }
  feed.removed.push_back({ VmRole::Masticwall, "front-9" });
  feed.isVmsDelta = true;
  feed.reading = 12;
  const auto bytes = encode(feed);
  constexpr qsizetype kMostBytes = 12'000;
  CHECK(bytes.size() < kMostBytes);
  const auto read = decodeFeed(bytes);
  REQUIRE(read.has_value());
  CHECK(read.value().vms == feed.vms);
  CHECK(read.value().removed == feed.removed);
  CHECK(read.value().isVmsDelta);
  CHECK(read.value().reading == 12);
}

TEST_CASE("an order's report carries the whole answer")
{
  OrderReport report;
  report.state = OrderState::Answered;
  report.answer.status = 201;
  report.answer.headers.push_back({ "A", "b" });
  report.answer.body = std::string("a\0b", 3);
  const auto read = decodeOrderReport(encode(report));
  REQUIRE(read.has_value());
  CHECK(read.value().state == OrderState::Answered);
  CHECK(read.value().answer.status == 201);
  CHECK(read.value().answer.headers.at(0).value == "b");
  CHECK(read.value().answer.body == report.answer.body);
}

TEST_CASE("what is not a message is a typed error, never a guess")
{
  for (const auto& it :
       { QByteArray(), QByteArray("nonsense"), QByteArray("\xa1\x01\x02") }) {
    CHECK(decodeClaimRecord(it).has_error());
    CHECK(decodeConfigRecord(it).has_error());
    CHECK(decodeConfigState(it).has_error());
    CHECK(decodeFeed(it).has_error());
    CHECK(decodeOrderReport(it).has_error());
    CHECK(parseVmList(it).has_error());
  }
  CHECK(parseVmList("{\"vms\":[{\"name\":\"x\",\"role\":\"cook\"}]}").error() ==
        MessageError::UnknownName);
  CHECK(parseVmList("{\"vms\":[{\"name\":\"x\",\"role\":\"upstream\"}]}").error() ==
        MessageError::FieldMissing);
}
