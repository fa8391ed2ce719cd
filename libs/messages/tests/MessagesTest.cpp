#include <QCborMap>
#include <QCborValue>
#include <catch2/catch.hpp>
#include <messages/ClaimRecord.h>
#include <messages/ConfigRecordMessage.h>
#include <messages/ConfigStateMessage.h>
#include <messages/Feed.h>
#include <messages/MessageError.h>
#include <messages/OrderReport.h>
#include <messages/PermitGrantMessage.h>
#include <messages/PermitRequestMessage.h>
#include <messages/QuotaGrantsMessage.h>
#include <messages/QuotaRequestsMessage.h>
#include <messages/VmListMessage.h>

using namespace masticwall;

TEST_CASE("a record of claims and releases decodes to what was encoded")
{
  ClaimRecord record;
  record.claims.push_back(
    { { "vm-1", 77, 3 }, Digest{ { 1, 2 } }, Digest{ { 3 } }, 1234 });
  record.releases.push_back({ "vm-2", 5, 6 });
  const auto decoded = decodeClaimRecord(encode(record));
  REQUIRE(decoded.has_value());
  CHECK(decoded.value().claims == record.claims);
  CHECK(decoded.value().releases == record.releases);
}

TEST_CASE("a request for permits and its reply decode to what was encoded")
{
  const PermitRequest request{ "i-1", "17", 4.25, 1500ms, Rank::Bulk, 3, true };
  const auto decoded = decodePermitRequest(encode(request));
  REQUIRE(decoded.has_value());
  CHECK(decoded.value().upstream == "i-1");
  CHECK(decoded.value().instance == "17");
  CHECK(decoded.value().perSecond == 4.25);
  CHECK(decoded.value().limitAge == 1500ms);
  CHECK(decoded.value().rank == Rank::Bulk);
  CHECK(decoded.value().wanted == 3);
  CHECK(decoded.value().isLastResort);
  const auto grant = decodePermitGrant(encode(PermitGrant{ 0, 40ms }));
  REQUIRE(grant.has_value());
  CHECK(grant.value().permits == 0);
  CHECK(grant.value().nextIn == 40ms);
  CHECK(decodePermitRequest("odd").has_error());
  CHECK(decodePermitGrant("odd").has_error());
}

TEST_CASE("requests for permits of quotas and their grants decode to what was encoded")
{
  const QuotaRequests sent{ true, { { "t-1", 3, 20, 2 }, { "t-2", 1, 0, 0 } } };
  const auto requests = decodeQuotaRequests(encode(sent));
  REQUIRE(requests.has_value());
  CHECK(requests.value().isRelayed);
  REQUIRE(requests.value().requests.size() == 2);
  CHECK(requests.value().requests[0].tenant == "t-1");
  CHECK(requests.value().requests[0].needed == 3);
  CHECK(requests.value().requests[0].ahead == 20);
  CHECK(requests.value().requests[0].returned == 2);
  CHECK(requests.value().requests[1].tenant == "t-2");
  const auto grants = decodeQuotaGrants(
    encode(std::vector<QuotaGrant>{ { "t-1", true, 2, 40ms, 800ms }, { "t-2", false } }));
  REQUIRE(grants.has_value());
  REQUIRE(grants.value().size() == 2);
  CHECK(grants.value()[0].permits == 2);
  CHECK(grants.value()[0].nextIn == 40ms);
  CHECK(grants.value()[0].retryAfter == 800ms);
  CHECK_FALSE(grants.value()[1].isKnown);
  CHECK(decodeQuotaRequests("odd").has_error());
  CHECK(decodeQuotaGrants("odd").has_error());
}

TEST_CASE("permits of quotas that are negative or too many are brought into range")
{
  const auto requests =
    decodeQuotaRequests(encode(QuotaRequests{ false, { { "t-1", -1, 1 << 30, 0 } } }));
  REQUIRE(requests.has_value());
  CHECK(requests.value().requests[0].needed <= 100'000);
  CHECK(requests.value().requests[0].needed >= 0);
  CHECK(requests.value().requests[0].ahead == 100'000);
}

TEST_CASE("a feed with a preset, VMs and suspects decodes to what was encoded")
{
  Feed feed;
  feed.version = 9;
  feed.preset = "peak";
  feed.sections["general"] = "text";
  feed.vms.push_back(
    { "vm-1", VmRole::Upstream, "r", "d", "s", "127.0.0.1", 1, 2, 3, "i", true });
  feed.suspects.push_back({ Digest{ { 4 } }, "vm-1#1", 2, 1 });
  const auto decoded = decodeFeed(encode(feed));
  REQUIRE(decoded.has_value());
  CHECK(decoded.value().version == 9);
  CHECK(decoded.value().sections == feed.sections);
  CHECK(decoded.value().vms == feed.vms);
  CHECK(decoded.value().suspects.at(0).crashes == 2);
  CHECK(decoded.value().suspects.at(0).cleared == 1);
}

TEST_CASE("a feed tells evacuated data centres, none, or nothing of them")
{
  Feed feed;
  const auto decodedOf = [](const Feed& aFeed) {
    const auto decoded = decodeFeed(encode(aFeed));
    REQUIRE(decoded.has_value());
    return decoded.value().evacuated;
  };
  CHECK_FALSE(decodedOf(feed).has_value()); // as from an earlier release
  feed.evacuated.emplace();
  REQUIRE(decodedOf(feed).has_value());
  CHECK(decodedOf(feed)->empty());
  feed.evacuated = std::vector<Evacuation>{ { "recife" },
                                            { "natal", 1500ms },
                                            { "petrolina", Duration(1) } };
  CHECK(decodedOf(feed) == std::vector<Evacuation>{
                             { "recife" }, { "natal", 1500ms }, { "petrolina", 1ms } });
}

TEST_CASE("a large feed is compressed and decodes to what was encoded")
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
  feed.readSequence = 12;
  const auto bytes = encode(feed);
  constexpr qsizetype kMaxCompressedBytes = 12'000;
  CHECK(bytes.size() < kMaxCompressedBytes);
  const auto decoded = decodeFeed(bytes);
  REQUIRE(decoded.has_value());
  CHECK(decoded.value().vms == feed.vms);
  CHECK(decoded.value().removed == feed.removed);
  CHECK(decoded.value().isVmsDelta);
  CHECK(decoded.value().readSequence == 12);
}

TEST_CASE(
  "an order report decodes with the status, headers and binary body of its response")
{
  OrderReport report;
  report.state = OrderState::Answered;
  report.response.status = 201;
  report.response.headers.push_back({ "A", "b" });
  report.response.body = std::string("a\0b", 3);
  const auto decoded = decodeOrderReport(encode(report));
  REQUIRE(decoded.has_value());
  CHECK(decoded.value().state == OrderState::Answered);
  CHECK(decoded.value().response.status == 201);
  CHECK(decoded.value().response.headers.at(0).value == "b");
  CHECK(decoded.value().response.body == report.response.body);
}

TEST_CASE("an order report whose response has no status of a response is rejected")
{
  OrderReport report;
  report.state = OrderState::Answered;
  report.response.status = 599;
  const auto bytes = encode(report);
  REQUIRE(decodeOrderReport(bytes).has_value());
  auto map = QCborValue::fromCbor(bytes).toMap();
  for (const qint64 status :
       { qint64{ 0 }, qint64{ 99 }, qint64{ 100 }, qint64{ 600 }, qint64{ 1 } << 32 }) {
    CAPTURE(status);
    for (auto it : map) {
      if (it.second.toInteger() == 599) {
        it.second = status;
      }
    }
    CHECK(decodeOrderReport(map.toCborValue().toCbor()).error() ==
          MessageError::Malformed);
    map = QCborValue::fromCbor(bytes).toMap();
  }
}

TEST_CASE("malformed messages and VM lists with an unknown role or no host are rejected")
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

TEST_CASE("a VM with a port that is out of range is rejected")
{
  const auto parse = [](const char* aPort) {
    return parseVmList(
      QByteArray(R"({"vms":[{"name":"x","role":"upstream","host":"h",)") + R"("port":)" +
      aPort + "}]}");
  };
  CHECK(parse("8080").has_value());
  for (const auto* const it : { "0", "-1", "65536", "73616", "1e300" }) {
    CAPTURE(it);
    CHECK(parse(it).has_error());
  }
}

TEST_CASE("a feed that claims to be very large is rejected without taking memory for it")
{
  // A map with the field of compressed bytes only, whose size is given as 4 GiB.
  const QByteArray bytes("\xa1\x18\x32\x48\xff\xff\xff\xff\x78\x9c\x03\x00", 12);
  CHECK(decodeFeed(bytes).has_error());
  const QByteArray tooShort("\xa1\x18\x32\x42\x00\x00", 6);
  CHECK(decodeFeed(tooShort).has_error());
}
